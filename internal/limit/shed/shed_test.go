package shed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/limit/shed"
)

func Example() {
	rnd := rand.New(rand.NewPCG(1, 1))
	s := shed.Request{ExpectedTTFT: 400 * time.Millisecond, QueueDelay: 350 * time.Millisecond, Objective: 500 * time.Millisecond, Remaining: 15 * time.Second}
	_, refuse := shed.Refuse(s, rnd)
	fmt.Println("in time:", refuse)
	s.ExpectedTTFT, s.QueueDelay = 900*time.Millisecond, 850*time.Millisecond
	_, refuse = shed.Refuse(s, rnd)
	fmt.Println("late:", refuse)
	s.ExpectedTTFT, s.QueueDelay = 900*time.Millisecond, 100*time.Millisecond
	_, refuse = shed.Refuse(s, rnd)
	fmt.Println("too large to be in time, but the queue is short:", refuse)
	// Output:
	// in time: false
	// late: true
	// too large to be in time, but the queue is short: false
}

// TestRetryDelay guards against retry delays that are longer than callers accept, that make callers retry together, or that are
// given although a retry cannot succeed.
func TestRetryDelay(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	s := shed.Request{ExpectedTTFT: 3 * time.Second, QueueDelay: 2 * time.Second, Objective: 500 * time.Millisecond, Remaining: 15 * time.Second}
	least, most := time.Hour, time.Duration(0)
	for range 100 {
		after, refuse := shed.Refuse(s, rnd)
		if !refuse || after <= 0 || after > s.Remaining/3 {
			t.Fatalf("Refuse() = %v, %v", after, refuse)
		}
		least, most = min(least, after), max(most, after)
	}
	if most-least < 500*time.Millisecond {
		t.Errorf("callers retry after between %v and %v", least, most)
	}
	s.Remaining = 200 * time.Millisecond
	if after, refuse := shed.Refuse(s, rnd); !refuse || after != 0 {
		t.Errorf("without time for a retry: Refuse() = %v, %v", after, refuse)
	}
}

// engine is an engine that processes prompts one at a time.
type engine struct {
	busyUntil time.Time
}

func (e *engine) wait(now time.Time) time.Duration { return max(0, e.busyUntil.Sub(now)) }

// replay sends requests for 20 s at 1.5 times the rate that an engine serves and returns the fractions that were in time and
// late. Callers retry once.
func replay(decide func(shed.Request, *rand.Rand) (time.Duration, bool)) (inTime, late float64) {
	const (
		work, every, duration = 30 * time.Millisecond, 20 * time.Millisecond, 20 * time.Second
		objective, timeout    = 500 * time.Millisecond, 5 * time.Second
	)
	type arrival struct {
		at, first time.Duration
		retried   bool
	}
	rnd := rand.New(rand.NewPCG(3, 4))
	start := time.Unix(0, 0)
	var pending []arrival
	for at := time.Duration(0); at < duration; at += every {
		pending = append(pending, arrival{at: at, first: at})
	}
	total := float64(len(pending))
	e := &engine{busyUntil: start}
	ok, slow := 0, 0
	for len(pending) > 0 {
		next := 0
		for i := range pending {
			if pending[i].at < pending[next].at {
				next = i
			}
		}
		a := pending[next]
		pending = append(pending[:next], pending[next+1:]...)
		now := start.Add(a.at)
		wait := e.wait(now)
		left := a.first + timeout - a.at
		after, refuse := decide(shed.Request{ExpectedTTFT: wait + work, QueueDelay: wait, Objective: objective, Remaining: left}, rnd)
		if refuse {
			if !a.retried && after > 0 {
				pending = append(pending, arrival{at: a.at + after, first: a.first, retried: true})
			}
			continue
		}
		e.busyUntil = now.Add(wait + work)
		switch took := a.at + wait + work - a.first; {
		case took <= objective:
			ok++
		case took <= timeout:
			slow++
		}
	}
	return float64(ok) / total, float64(slow) / total
}

// TestOverload guards against late answers under an overload of 1.5 times the capacity: without refusals nearly all answers are
// late, with them at least half must be in time.
func TestOverload(t *testing.T) {
	withoutRefusals, _ := replay(func(shed.Request, *rand.Rand) (time.Duration, bool) { return 0, false })
	inTime, late := replay(shed.Refuse)
	t.Logf("in time without refusals %.2f; with them %.2f, late %.2f", withoutRefusals, inTime, late)
	if withoutRefusals > 0.1 {
		t.Errorf("the load is no overload: %.2f in time without refusals", withoutRefusals)
	}
	if inTime < 0.5 {
		t.Errorf("%.2f in time, want at least 0.5", inTime)
	}
}
