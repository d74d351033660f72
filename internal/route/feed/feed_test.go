package feed_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/feed"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// fakeEngine is an engine whose events are numbered from 1 in each incarnation.
type fakeEngine struct {
	mu    sync.Mutex
	inc   qm.Incarnation
	last  int64
	reads map[qm.EndpointID]int
}

// addEvents adds n events.
func (s *fakeEngine) addEvents(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last += n
}

// restart starts another incarnation with n events and returns the number of events of the previous one.
func (s *fakeEngine) restart(inc qm.Incarnation, n int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.last
	s.inc, s.last = inc, n
	return old
}

func (s *fakeEngine) readsOf(id qm.EndpointID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[id]
}

func (s *fakeEngine) read(_ context.Context, e *qm.Endpoint, from int64, limit int) (feed.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[e.ID]++
	p := feed.Page{Incarnation: s.inc, Next: from}
	for p.Next <= s.last && len(p.Events) < limit {
		p.Events = append(p.Events, qm.CacheEvent{Seq: p.Next, Stored: true, Block: qm.PrefixKey(p.Next)})
		p.Next++
	}
	return p, nil
}

// recorder collects the observed events by incarnation.
type recorder struct {
	events map[qm.Incarnation][]int64
	forgot []qm.Incarnation
}

func (s *recorder) Observe(_ qm.EndpointID, inc qm.Incarnation, events []qm.CacheEvent, _ bool, _ time.Time) {
	for _, e := range events {
		s.events[inc] = append(s.events[inc], e.Seq)
	}
}

func (s *recorder) Forget(_ qm.EndpointID, inc qm.Incarnation) { s.forgot = append(s.forgot, inc) }

func sequence(n int64) []int64 {
	var s []int64
	for i := int64(1); i <= n; i++ {
		s = append(s, i)
	}
	return s
}

// TestFollow guards against events that are skipped, applied twice, or mixed between incarnations of an engine, and
// against reads from engines without requests.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(1, 2))
		b := board.New()
		b.Endpoints.Store(qm.Endpoints{{ID: "e", Kind: qm.KindEngine}, {ID: "idle", Kind: qm.KindEngine}})
		src := &fakeEngine{inc: "i1", reads: map[qm.EndpointID]int{}}
		obs := &recorder{events: map[qm.Incarnation][]int64{}}
		f := feed.New(t.Context(), feed.Options{
			Board: b, Observer: obs, Interval: time.Second, Log: logr.Discard(), Read: src.read,
		})
		defer f.Close()
		f.MarkUsed("e", time.Now())
		for range 10 {
			src.addEvents(int64(rnd.IntN(300)))
			time.Sleep(time.Second)
			synctest.Wait()
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		first := src.restart("i2", 40)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		want := map[qm.Incarnation][]int64{"i1": sequence(first), "i2": sequence(40)}
		if diff := cmp.Diff(want, obs.events); diff != "" {
			t.Errorf("events differ (-want +got):\n%s", diff)
		}
		if !slices.Contains(obs.forgot, "i2") {
			t.Errorf("Forget calls = %v, want one for i2", obs.forgot)
		}
		if src.readsOf("idle") != 0 {
			t.Errorf("%d reads of an engine without work, want 0", src.readsOf("idle"))
		}
		time.Sleep(feed.FollowTimeout)
		synctest.Wait()
		before := src.readsOf("e")
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if src.readsOf("e") != before {
			t.Errorf("%d reads after the engine was idle for %v, want 0", src.readsOf("e")-before, feed.FollowTimeout)
		}
	})
}
