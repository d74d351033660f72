package reach_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"quetzalmount.dev/quetzalmount/internal/client/reach"
)

// TestRegained guards against a call that waits on a dead connection after the server has answered another call.
func TestRegained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := reach.New()
		begin := func(repeatable bool) (context.Context, *reach.Call) {
			time.Sleep(time.Second)
			return tr.Begin(t.Context(), repeatable)
		}
		pollCtx, poll := begin(true)
		defer poll.Close()
		writeCtx, write := begin(false)
		defer write.Close()
		_, failing := begin(true)
		failing.Failed()
		regained := tr.Regained()
		if !tr.Lost() || pollCtx.Err() != nil {
			t.Fatalf("after a failed call: lost %v, the context of the poll has ended: %v", tr.Lost(), pollCtx.Err())
		}
		answeredCtx, answered := begin(true)
		defer answered.Close()
		answered.Answered()
		select {
		case <-regained:
		default:
			t.Error("the channel of Regained is open after the server answered")
		}
		if got := context.Cause(pollCtx); got != reach.ErrStale {
			t.Errorf("the waiting poll ended with %v, want %v", got, reach.ErrStale)
		}
		if tr.Lost() || writeCtx.Err() != nil || answeredCtx.Err() != nil {
			t.Errorf("lost %v, context of the write %v, of the answered call %v", tr.Lost(), writeCtx.Err(), answeredCtx.Err())
		}
	})
}

// TestOneDeadConnection guards against taking the server for unreachable because of one call, while calls that began later are answered.
func TestOneDeadConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := reach.New()
		_, old := tr.Begin(t.Context(), true)
		time.Sleep(time.Second)
		_, answered := tr.Begin(t.Context(), true)
		answered.Answered()
		old.Failed()
		if tr.Lost() {
			t.Error("the server is lost although it answered a later call")
		}
	})
}

// TestRestarted guards against a read that waits at a server which has been replaced by an older copy of itself.
func TestRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := reach.New()
		pollCtx, poll := tr.Begin(t.Context(), true)
		defer poll.Close()
		writeCtx, write := tr.Begin(t.Context(), false)
		defer write.Close()
		regained := tr.Regained()
		tr.Restarted()
		select {
		case <-regained:
		default:
			t.Error("the channel of Regained is open after the restart")
		}
		if got := context.Cause(pollCtx); got != reach.ErrStale || writeCtx.Err() != nil || tr.Lost() {
			t.Errorf("the waiting poll ended with %v, the write with %v, lost %v; want %v, none, false", got, writeCtx.Err(), tr.Lost(), reach.ErrStale)
		}
	})
}
