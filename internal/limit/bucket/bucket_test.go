package bucket_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalmount.dev/quetzalmount/internal/limit/bucket"
)

func ExampleBucket() {
	b := bucket.New(0, 2, 10, 0) // 2 a second, at most 10, empty
	fmt.Println(b.Take(0, 1))
	wait, _ := b.Wait(0, 1)
	fmt.Println(wait, b.Take(wait, 1))
	b.Refund(time.Minute, 100)
	fmt.Println(b.Level(time.Minute))
	// Output:
	// false
	// 500ms true
	// 10
}

// TestBucketBound guards against tokens that come from neither refill nor refund, over any sequence of changes of rate and
// burst, and against waits after which the tokens are still missing.
func TestBucketBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(0, 100).Draw(t, "rate"), rapid.Float64Range(0, 100).Draw(t, "burst")
		b := bucket.New(0, rate, burst, 0)
		allowed, taken, now := 0.0, 0.0, time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			d := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "d"))
			now += d
			allowed += rate * d.Seconds()
			n := rapid.Float64Range(0, 50).Draw(t, "n")
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				rate, burst = n, rapid.Float64Range(0, 100).Draw(t, "burst")
				b.Set(now, rate, burst)
			case 1:
				b.Refund(now, n)
				allowed += n
			default:
				if b.Take(now, n) {
					taken += n
				}
			}
			if taken > allowed+1e-6 || b.Level(now) > burst+1e-9 {
				t.Fatalf("took %v of %v, level %v of %v", taken, allowed, b.Level(now), burst)
			}
			if w, ok := b.Wait(now, n); ok {
				if c := b; !c.Take(now+w+1, n*(1-1e-9)) {
					t.Fatalf("%v tokens are not there after the wait of %v", n, w)
				}
			}
		}
	})
}

// TestSlots guards against admitting requests while as many are running as a lowered capacity allows.
func TestSlots(t *testing.T) {
	var s bucket.Slots
	s.SetCapacity(2)
	if !s.Acquire() || !s.Acquire() || s.Acquire() {
		t.Fatal("capacity of 2 did not take exactly 2")
	}
	s.SetCapacity(1)
	s.Release()
	if s.Acquire() {
		t.Error("1 runs with a capacity of 1 and another was taken")
	}
	s.Release()
	if !s.Acquire() || s.Used() != 1 || s.Capacity() != 1 {
		t.Error("a free slot was not taken")
	}
}
