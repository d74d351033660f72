package engsrv

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	qm "quetzalmount.dev/quetzalmount"
)

func newTestEngine(o Options) *Server {
	o.Model = "m"
	return New(o)
}

// admitRequest admits a request whose prompt has n blocks and returns its job.
func admitRequest(t *testing.T, s *Server, id, salt string, priority, n int) (*job, *requestError) {
	t.Helper()
	in := CompletionRequest{RequestID: qm.RequestID(id), Model: "m", Stream: true, MaxTokens: 2, CacheSalt: salt, Priority: priority,
		Messages: []qm.Message{{Role: "user", Content: strings.Repeat("x", n*int(qm.BlockTokens)*qm.BytesPerToken)}}}
	for i := range n {
		in.Blocks = append(in.Blocks, Span{Key: qm.PrefixKey(i + 1), End: qm.BlockTokens * qm.Tokens(i+1)})
	}
	j, reqErr := newJob(&in, "m")
	if reqErr != nil {
		t.Fatal(reqErr.msg)
	}
	return s.current().admit(j, "")
}

// waitForEnd waits until a job has ended and returns the number of prompt tokens that were cached.
func waitForEnd(s *Server, j *job) qm.Tokens {
	c := s.current()
	for {
		c.mu.Lock()
		ended, changed := j.ended, j.changed
		c.mu.Unlock()
		if ended {
			return j.cached
		}
		<-changed
	}
}

// TestPrefixCache guards against cache hits across salts, a cache without a size limit, and prefill times that don't depend
// on what is cached.
func TestPrefixCache(t *testing.T) {
	steps := []struct {
		salt   string
		blocks int
		cached qm.Tokens
		took   time.Duration
	}{
		{"a", 2, 0, 82 * time.Millisecond},
		{"a", 2, 8000, 2 * time.Millisecond},
		{"b", 2, 0, 82 * time.Millisecond},
		{"a", 3, 8000, 42 * time.Millisecond}, // stores a fifth block, which evicts the first one of b
		{"b", 2, 0, 82 * time.Millisecond},
	}
	synctest.Test(t, func(t *testing.T) {
		s := newTestEngine(Options{CapacityBlocks: 4, PrefillPerToken: 10 * time.Microsecond, DecodePerToken: time.Millisecond})
		defer s.Close()
		for i, step := range steps {
			start := time.Now()
			j, reqErr := admitRequest(t, s, fmt.Sprint(i), step.salt, 0, step.blocks)
			if reqErr != nil {
				t.Fatal(reqErr.msg)
			}
			cached := waitForEnd(s, j)
			took := time.Since(start)
			if j.answer.length == 1 {
				took += time.Millisecond // this answer has one chunk instead of two
			}
			if cached != step.cached || took != step.took {
				t.Errorf("step %d: %d tokens cached after %v, want %d after %v", i, cached, took, step.cached, step.took)
			}
		}
		if r := s.current().laggedReport(); r.UsedBlocks != 4 || r.EvictedBlocks == 0 {
			t.Errorf("report = %+v, want 4 blocks and evictions", r)
		}
	})
}

// TestQueue guards against a wait queue without a limit, one that ignores priorities, and a repeated request that is queued
// twice.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestEngine(Options{Slots: 1, QueueLength: 3, DecodePerToken: time.Millisecond})
		defer s.Close()
		started := make(chan string, 4)
		for _, v := range []struct {
			id       string
			priority int
		}{{"first", 0}, {"low", 0}, {"high", 2}, {"low too", 0}} {
			j, reqErr := admitRequest(t, s, v.id, "", v.priority, 1)
			if reqErr != nil {
				t.Fatal(reqErr.msg)
			}
			go func() {
				<-j.started
				started <- v.id // there is one slot, so jobs start one after the other
			}()
		}
		if _, reqErr := admitRequest(t, s, "too many", "", 0, 1); reqErr == nil || reqErr.status != 429 {
			t.Errorf("fifth request = %+v, want status 429", reqErr)
		}
		waiting := func() int {
			c := s.current()
			c.mu.Lock()
			defer c.mu.Unlock()
			return len(c.waiting)
		}
		if joined, reqErr := admitRequest(t, s, "low", "", 0, 1); reqErr != nil || joined.id != "low" || waiting() != 3 {
			t.Errorf("second request with a known id = %+v, want it to join the first", reqErr)
		}
		var order []string
		for range 4 {
			order = append(order, <-started)
		}
		if diff := cmp.Diff([]string{"first", "high", "low", "low too"}, order); diff != "" {
			t.Errorf("order (-want +got):\n%s", diff)
		}
	})
}

// TestReportAndEventsLag guards against load reports and cache events that are visible before ReportLag and EventDelay have
// passed, and against event loss that leaves no gap in the sequence numbers.
func TestReportAndEventsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestEngine(Options{CapacityBlocks: 4, ReportLag: time.Second, EventDelay: 500 * time.Millisecond, DecodePerToken: time.Minute})
		defer s.Close()
		time.Sleep(2 * time.Second)
		if _, reqErr := admitRequest(t, s, "a", "", 0, 3); reqErr != nil {
			t.Fatal(reqErr.msg)
		}
		type counts struct{ Running, Events int }
		observe := func() counts {
			return counts{s.current().laggedReport().Running, len(s.current().eventsFrom(1, 10).Events)}
		}
		var got []counts
		for range 3 {
			time.Sleep(400 * time.Millisecond)
			got = append(got, observe())
		}
		if diff := cmp.Diff([]counts{{0, 0}, {0, 3}, {1, 3}}, got); diff != "" {
			t.Errorf("after 400, 800 and 1200 ms (-want +got):\n%s", diff)
		}
		s.SetFaults(Faults{EventLoss: 1})
		if _, reqErr := admitRequest(t, s, "b", "other", 0, 1); reqErr != nil {
			t.Fatal(reqErr.msg)
		}
		time.Sleep(time.Second)
		s.SetFaults(Faults{})
		if _, reqErr := admitRequest(t, s, "c", "third", 0, 1); reqErr != nil {
			t.Fatal(reqErr.msg)
		}
		time.Sleep(time.Second)
		if e := s.current().eventsFrom(4, 10).Events; len(e) != 2 || e[0].Seq != 5 {
			t.Errorf("events from 4 on = %+v, want 5 and 6 after the lost one", e)
		}
	})
}

// TestCommands guards against an engine with fencing that accepts stale commands, an engine without fencing that refuses
// them, and requests that are admitted while weights are loaded.
func TestCommands(t *testing.T) {
	for _, fences := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestEngine(Options{Version: "v1", Fences: fences})
			defer s.Close()
			if reqErr := s.current().applyDesired(Desired{Fence: 7, Version: "v2"}); reqErr != nil {
				t.Fatal(reqErr.msg)
			}
			if _, reqErr := admitRequest(t, s, "early", "", 0, 1); reqErr == nil || reqErr.status != 503 {
				t.Errorf("request during a load = %+v, want status 503", reqErr)
			}
			time.Sleep(2*time.Second + time.Millisecond)
			if v := s.current().laggedReport().Version; v != "v2" {
				t.Errorf("version after 2 s = %s", v)
			}
			if reqErr := s.current().applyDesired(Desired{Fence: 6, Role: "old"}); (reqErr != nil) != fences {
				t.Errorf("stale command = %+v with fences %t", reqErr, fences)
			}
			before := s.Incarnation()
			s.Crash(0)
			if v := s.current().laggedReport().Version; v != "v1" || s.Incarnation() == before {
				t.Errorf("version after a crash = %s", v)
			}
		})
	}
}

// TestStaleHitsAreCounted guards against a fake that misses cache hits across weights: tests rely on the count to check that
// a router's cache salt depends on the version.
func TestStaleHitsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestEngine(Options{Version: "v1", CapacityBlocks: 4})
		defer s.Close()
		for _, v := range []qm.VersionID{"v1", "v2"} {
			_ = s.current().applyDesired(Desired{Version: v})
			time.Sleep(3 * time.Second)
			if _, reqErr := admitRequest(t, s, string(v), "same", 0, 2); reqErr != nil {
				t.Fatal(reqErr.msg)
			}
			time.Sleep(3 * time.Second)
		}
		if n := s.Stats().StaleHits; n != 2 {
			t.Errorf("StaleHits = %d, want 2", n)
		}
	})
}

// TestUnreadStreamEnds guards against engines that continue to compute for clients that have disconnected.
func TestUnreadStreamEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestEngine(Options{DecodePerToken: time.Hour, StreamRetention: time.Second})
		defer s.Close()
		j, reqErr := admitRequest(t, s, "a", "", 0, 1)
		if reqErr != nil {
			t.Fatal(reqErr.msg)
		}
		removeReader := s.current().addReader(j)
		time.Sleep(time.Minute)
		attached := s.Stats().Open
		removeReader()
		time.Sleep(2 * time.Second)
		if unread := s.Stats().Open; attached != 1 || unread != 0 {
			t.Errorf("open requests = %d with a reader and %d without, want 1 and 0", attached, unread)
		}
	})
}

// TestContinuationIsTheSameAnswer guards against answers that depend on the chunk at which generation starts.
func TestContinuationIsTheSameAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := []qm.Message{{Role: "user", Content: rapid.String().Draw(t, "prompt")}}
		whole := newAnswer(m, 30)
		from := rapid.Int64Range(0, whole.length-1).Draw(t, "from")
		in := CompletionRequest{RequestID: "r", Model: "m", Stream: true, MaxTokens: 30, ContinueFrom: from, Messages: m}
		if from > 0 {
			in.Messages = append(m, qm.Message{Role: "assistant", Content: whole.text(from)})
		}
		j, reqErr := newJob(&in, "m")
		if reqErr != nil {
			t.Fatal(reqErr.msg)
		}
		if j.answer != whole {
			t.Errorf("answer = %+v, want %+v", j.answer, whole)
		}
		if from > 0 {
			in.Messages[1].Content += "x"
			if _, reqErr := newJob(&in, "m"); reqErr == nil {
				t.Error("emitted text of another answer is taken")
			}
		}
	})
}
