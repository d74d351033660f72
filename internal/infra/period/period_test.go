package period_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"quetzalmount.dev/quetzalmount/internal/infra/period"
)

// TestClose guards against a call that is still running, or a further call, after Close has returned.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, running := 0, false
		l := period.New(t.Context(), time.Second, func(ctx context.Context) {
			calls++
			running = true
			<-ctx.Done()
			running = false
		})
		time.Sleep(1500 * time.Millisecond)
		l.Close()
		if calls != 1 || running {
			t.Errorf("%d calls, running %v after Close; want 1 and false", calls, running)
		}
		time.Sleep(time.Minute)
		if calls != 1 {
			t.Errorf("%d calls after Close, want 1", calls)
		}
	})
}

func ExampleNew() {
	ticks := make(chan struct{})
	l := period.New(context.Background(), time.Millisecond, func(ctx context.Context) {
		select {
		case ticks <- struct{}{}:
		case <-ctx.Done():
		}
	})
	<-ticks
	<-ticks
	l.Close()
	fmt.Println("two calls")
	// Output: two calls
}
