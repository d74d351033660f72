// Package period calls a function periodically in the background, and has a Sleep that a context can interrupt.
package period

import (
	"context"
	"sync"
	"time"
)

// Loop calls a function periodically until it is closed.
type Loop struct {
	stop context.CancelFunc
	done sync.WaitGroup
}

// New starts a loop that calls f every d, for the first time after d. The loop ends when ctx ends or Close is called. Calls
// do not overlap: a call that takes longer than d delays the next.
func New(ctx context.Context, d time.Duration, f func(ctx context.Context)) *Loop {
	l := &Loop{}
	ctx, l.stop = context.WithCancel(ctx)
	l.done.Go(func() {
		tick := time.NewTicker(d)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				f(ctx)
			}
		}
	})
	return l
}

// Close ends the loop, cancels the context of a running call and waits for it to return.
func (l *Loop) Close() {
	l.stop()
	l.done.Wait()
}

// Sleep pauses for d and returns true, or returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
