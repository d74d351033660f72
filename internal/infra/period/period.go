// Package period runs a function at a fixed period in the background, and waits.
package period

import (
	"context"
	"sync"
	"time"
)

// Loop calls its function until it is closed.
type Loop struct {
	stop context.CancelFunc
	done sync.WaitGroup
}

// New starts a loop that calls f after each period of length d. It ends with the context or with Close. A call that takes longer
// than the period delays the next one.
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

// Close ends the loop and waits for a call that is under way.
func (l *Loop) Close() {
	l.stop()
	l.done.Wait()
}

// Sleep waits for d and reports false if the context ended first.
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
