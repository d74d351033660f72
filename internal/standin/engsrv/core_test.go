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

func testEngine(o Options) *Server {
	o.Model = "m"
	return New(o)
}

// ask takes a request of n blocks in and returns its job.
func ask(t *testing.T, s *Server, id, salt string, priority, n int) (*job, *refusal) {
	t.Helper()
	in := Completion{RequestID: qm.RequestID(id), Model: "m", Stream: true, MaxTokens: 2, CacheSalt: salt, Priority: priority,
		Messages: []qm.Message{{Role: "user", Content: strings.Repeat("x", n*int(qm.BlockTokens)*qm.BytesPerToken)}}}
	for i := range n {
		in.Blocks = append(in.Blocks, Span{Key: qm.PrefixKey(i + 1), End: qm.BlockTokens * qm.Tokens(i+1)})
	}
	j, ref := newJob(&in, "m")
	if ref != nil {
		t.Fatal(ref.msg)
	}
	return s.now().admit(j, "")
}

// finish waits for the end of a job and returns when it got its first chunk ready and what it found in the cache.
func finish(s *Server, j *job) qm.Tokens {
	c := s.now()
	for {
		c.mu.Lock()
		ended, news := j.ended, j.news
		c.mu.Unlock()
		if ended {
			return j.cached
		}
		<-news
	}
}

// TestPrefixCache guards against cache hits across salts, against a cache without a bound, and against prefill times that
// do not depend on what is cached.
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
		{"a", 3, 8000, 42 * time.Millisecond}, // stores a fifth block and evicts the first one of b
		{"b", 2, 0, 82 * time.Millisecond},
	}
	synctest.Test(t, func(t *testing.T) {
		s := testEngine(Options{CapacityBlocks: 4, PrefillPerToken: 10 * time.Microsecond, DecodePerToken: time.Millisecond})
		defer s.Close()
		for i, st := range steps {
			begin := time.Now()
			j, ref := ask(t, s, fmt.Sprint(i), st.salt, 0, st.blocks)
			if ref != nil {
				t.Fatal(ref.msg)
			}
			cached := finish(s, j)
			took := time.Since(begin)
			if j.answer.length == 1 {
				took += time.Millisecond // this prompt's answer ends early
			}
			if cached != st.cached || took != st.took {
				t.Errorf("step %d: %d tokens cached after %v, want %d after %v", i, cached, took, st.cached, st.took)
			}
		}
		if r := s.now().lagged(); r.UsedBlocks != 4 || r.EvictedBlocks == 0 {
			t.Errorf("report = %+v, want 4 blocks and evictions", r)
		}
	})
}

// TestQueue guards against a wait queue without a bound and against one that ignores priorities.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testEngine(Options{Slots: 1, QueueLength: 3, DecodePerToken: time.Millisecond})
		defer s.Close()
		started := make(chan string, 4)
		for _, v := range []struct {
			id       string
			priority int
		}{{"first", 0}, {"low", 0}, {"high", 2}, {"low too", 0}} {
			j, ref := ask(t, s, v.id, "", v.priority, 1)
			if ref != nil {
				t.Fatal(ref.msg)
			}
			go func() {
				<-j.start
				started <- v.id // one slot: no two jobs start at the same time
			}()
		}
		if _, ref := ask(t, s, "too many", "", 0, 1); ref == nil || ref.status != 429 {
			t.Errorf("fifth request = %+v, want status 429", ref)
		}
		if again, ref := ask(t, s, "low", "", 0, 1); ref != nil || again.id != "low" || len(s.now().waiting) != 3 {
			t.Errorf("second request with a known id = %+v, want it to join the first", ref)
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

// TestReportAndEventsLag guards against a load report or cache events that are fresher than an engine's, and against event
// loss that leaves no gap.
func TestReportAndEventsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testEngine(Options{CapacityBlocks: 4, LoadLag: time.Second, EventDelay: 500 * time.Millisecond, DecodePerToken: time.Minute})
		defer s.Close()
		time.Sleep(2 * time.Second)
		if _, ref := ask(t, s, "a", "", 0, 3); ref != nil {
			t.Fatal(ref.msg)
		}
		type view struct{ Running, Events int }
		look := func() view { return view{s.now().lagged().Running, len(s.now().eventsFrom(1, 10).Events)} }
		var got []view
		for range 3 {
			time.Sleep(400 * time.Millisecond)
			got = append(got, look())
		}
		if diff := cmp.Diff([]view{{0, 0}, {0, 3}, {1, 3}}, got); diff != "" {
			t.Errorf("after 400, 800 and 1200 ms (-want +got):\n%s", diff)
		}
		s.SetFaults(Faults{EventLoss: 1})
		if _, ref := ask(t, s, "b", "other", 0, 1); ref != nil {
			t.Fatal(ref.msg)
		}
		time.Sleep(time.Second)
		s.SetFaults(Faults{})
		if _, ref := ask(t, s, "c", "third", 0, 1); ref != nil {
			t.Fatal(ref.msg)
		}
		time.Sleep(time.Second)
		if e := s.now().eventsFrom(4, 10).Events; len(e) != 2 || e[0].Seq != 5 {
			t.Errorf("events from 4 on = %+v, want 5 and 6 after the lost one", e)
		}
	})
}

// TestCommands guards against stale commands being taken by an engine that fences, and refused by one that does not, and
// against requests that run while weights are loaded.
func TestCommands(t *testing.T) {
	for _, fences := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := testEngine(Options{Version: "v1", Fences: fences})
			defer s.Close()
			if ref := s.now().desire(Desired{Fence: 7, Version: "v2"}); ref != nil {
				t.Fatal(ref.msg)
			}
			if _, ref := ask(t, s, "early", "", 0, 1); ref == nil || ref.status != 503 {
				t.Errorf("request during a load = %+v, want status 503", ref)
			}
			time.Sleep(2*time.Second + time.Millisecond)
			if v := s.now().lagged().Version; v != "v2" {
				t.Errorf("version after 2 s = %s", v)
			}
			if ref := s.now().desire(Desired{Fence: 6, Role: "old"}); (ref != nil) != fences {
				t.Errorf("stale command = %+v with fences %t", ref, fences)
			}
			before := s.Incarnation()
			s.Crash(0)
			if v := s.now().lagged().Version; v != "v1" || s.Incarnation() == before {
				t.Errorf("version after a crash = %s", v)
			}
		})
	}
}

// TestStaleHitsAreCounted guards against a fake that cannot tell whether a router's salt covers the weights.
func TestStaleHitsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testEngine(Options{Version: "v1", CapacityBlocks: 4})
		defer s.Close()
		for _, v := range []qm.VersionID{"v1", "v2"} {
			_ = s.now().desire(Desired{Version: v})
			time.Sleep(3 * time.Second)
			if _, ref := ask(t, s, string(v), "same", 0, 2); ref != nil {
				t.Fatal(ref.msg)
			}
			time.Sleep(3 * time.Second)
		}
		if n := s.Stats().StaleHits; n != 2 {
			t.Errorf("StaleHits = %d, want 2", n)
		}
	})
}

// TestUnreadStreamEnds guards against engines that compute for ever for readers that are gone.
func TestUnreadStreamEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testEngine(Options{DecodePerToken: time.Hour, ResumeTime: time.Second})
		defer s.Close()
		j, ref := ask(t, s, "a", "", 0, 1)
		if ref != nil {
			t.Fatal(ref.msg)
		}
		detach := s.now().attach(j)
		time.Sleep(time.Minute)
		open := s.Stats().Open
		detach()
		time.Sleep(2 * time.Second)
		if now := s.Stats().Open; open != 1 || now != 0 {
			t.Errorf("open requests = %d with a reader and %d without, want 1 and 0", open, now)
		}
	})
}

// TestContinuationIsTheSameAnswer guards against answers that depend on where an engine begins.
func TestContinuationIsTheSameAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := []qm.Message{{Role: "user", Content: rapid.String().Draw(t, "prompt")}}
		whole := newAnswer(m, 30)
		from := rapid.Int64Range(0, whole.length-1).Draw(t, "from")
		in := Completion{RequestID: "r", Model: "m", Stream: true, MaxTokens: 30, ContinueFrom: from, Messages: m}
		if from > 0 {
			in.Messages = append(m, qm.Message{Role: "assistant", Content: whole.text(from)})
		}
		j, ref := newJob(&in, "m")
		if ref != nil {
			t.Fatal(ref.msg)
		}
		if j.answer != whole {
			t.Errorf("answer = %+v, want %+v", j.answer, whole)
		}
		if from > 0 {
			in.Messages[1].Content += "x"
			if _, ref := newJob(&in, "m"); ref == nil {
				t.Error("emitted text of another answer is taken")
			}
		}
	})
}
