package board_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"quetzalmount.dev/quetzalmount/internal/state/board"
)

func ExampleCell() {
	var c board.Cell[int]
	_, ok := c.Load()
	fmt.Println(ok)
	c.Store(7)
	v, ok := c.Load()
	fmt.Println(v, ok)
	// Output:
	// false
	// 7 true
}

// TestChangedMissesNoStore guards against a watcher that misses a Store after its call of Changed.
func TestChangedMissesNoStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c board.Cell[int]
		last := 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			for last < 3 {
				changed := c.Changed()
				if v, ok := c.Load(); ok && v > last {
					last = v
					continue
				}
				<-changed
			}
		}()
		for i := 1; i <= 3; i++ {
			synctest.Wait()
			c.Store(i)
		}
		<-done
		if last != 3 {
			t.Errorf("watcher saw %d last, want 3", last)
		}
	})
}
