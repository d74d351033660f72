package claim_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
	"quetzalmount.dev/quetzalmount/internal/state/claim"
)

var (
	schedules = flag.Int("schedules", 60, "number of random fault schedules")
	firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")
)

const (
	routers = 3
	keys    = 5
	steps   = 60
	// logRetention is the log's retention time in the schedules in which it drops records. It is shorter than a schedule.
	logRetention = 5 * time.Second
)

// report is the result of a request.
type report struct {
	call   *qm.Call
	result qm.CallResult
	err    error
}

// cluster is the state of a schedule: routers, a faulty log, a service, and the results of the requests.
type cluster struct {
	rnd             *rand.Rand
	log             *logsrv.Store
	svc             *service
	options         func(index int) claim.Options
	routers         [routers]*router
	service         *qm.Service
	logExpires      bool // the log drops records after logRetention
	serviceReliable bool // no crashes and no service faults, so every key must be done in the end

	mu      sync.Mutex
	reports []report
	crashes int
	callers sync.WaitGroup
}

func newCluster(seed uint64) (*cluster, error) {
	cl := &cluster{rnd: rand.New(rand.NewPCG(seed, 1)), svc: newService(seed), service: &qm.Service{ID: "tally", Timeout: 6 * time.Second}}
	cl.service.SupportsIdempotencyKeys, cl.serviceReliable = seed%5 == 0, seed%4 == 1
	faultRand := rand.New(rand.NewPCG(seed, 3))
	var mu sync.Mutex
	o := logsrv.Options{AppendsPerSecond: 300, Random: func() float64 { mu.Lock(); defer mu.Unlock(); return faultRand.Float64() }}
	if seed%3 == 0 {
		o.Retention, cl.logExpires = logRetention, true
	}
	cl.log = logsrv.New(o)
	cl.options = func(index int) claim.Options {
		c := claim.Options{Instance: qm.InstanceID(fmt.Sprint("r", index)), Retention: o.Retention}
		if seed%2 == 0 { // without an owner, keys are lost when the log drops their records
			c.Owner = func(int) bool { return true } // all routers own all shards, as when their instance lists differ
		}
		return c
	}
	for i := range cl.routers {
		if err := cl.start(i); err != nil {
			return nil, err
		}
	}
	return cl, nil
}

func (cl *cluster) start(i int) (err error) {
	cl.routers[i], err = startRouter(cl.log, cl.svc, cl.options(i))
	return err
}

// request sends a call to a router and records its result.
func (cl *cluster) request(index, key, body int, limit time.Duration) {
	call := &qm.Call{Team: "club", Service: cl.service, Name: "post", Key: fmt.Sprint("key-", key),
		Body: json.RawMessage(fmt.Sprint(body)), Request: qm.RequestID(fmt.Sprint("q", cl.rnd.Uint64()))}
	c := cl.routers[index].claims
	cl.callers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		r, err := c.Run(ctx, call)
		cl.mu.Lock()
		defer cl.mu.Unlock()
		cl.reports = append(cl.reports, report{call, r, err})
	})
}

// step executes a random event of the schedule. The names in brackets are the steps of spec/claim.pml.
func (cl *cluster) step() error {
	index := cl.rnd.IntN(routers)
	p := cl.rnd.IntN(100)
	if cl.serviceReliable && p >= 92 {
		p = 60
	}
	switch {
	case p < 50: // [SendClaim], often concurrently for the same key
		key := cl.rnd.IntN(keys)
		for range 1 + cl.rnd.IntN(3) {
			cl.request(cl.rnd.IntN(routers), key, cl.rnd.IntN(12)/11, time.Duration(100+cl.rnd.IntN(8000))*time.Millisecond)
		}
	case p < 70: // [LoseAnswer] [LateAppend]
		cl.log.SetFaults(logsrv.Faults{Down: cl.rnd.IntN(6) == 0, DelayMs: cl.rnd.Int64N(300), LoseAnswers: 0.7 * cl.rnd.Float64(),
			LateAppendMs: cl.rnd.Int64N(2) * cl.rnd.Int64N(6000)})
	case p < 76:
		cl.log.SetFaults(logsrv.Faults{})
	case p < 84: // pause a router, usually for longer than the deadline of a call
		cl.routers[index].gate.setPaused(true)
	case p < 92:
		cl.routers[index].gate.setPaused(false)
	case p < 96: // [Crash]
		cl.crashes++
		cl.svc.mu.Lock()
		cl.svc.injectFaults = true
		cl.svc.mu.Unlock()
		_ = cl.routers[index].crash() // the error reports records that were not appended, as in a crash
		return cl.start(index)
	default:
		cl.svc.mu.Lock()
		cl.svc.injectFaults = !cl.svc.injectFaults
		cl.svc.mu.Unlock()
	}
	return nil
}

// endFaults ends all faults and waits for the callers and for delayed appends. If the log drops records, it then restarts
// all routers.
func (cl *cluster) endFaults() error {
	cl.log.SetFaults(logsrv.Faults{})
	cl.svc.mu.Lock()
	cl.svc.injectFaults = false
	cl.svc.mu.Unlock()
	for _, r := range cl.routers {
		r.gate.setPaused(false)
	}
	cl.callers.Wait()
	time.Sleep(15 * time.Second)
	if !cl.logExpires {
		return nil
	}
	// The restarted routers cannot read the first claims, which the log has dropped.
	for i, r := range cl.routers {
		cl.crashes++
		_ = r.crash()
		if err := cl.start(i); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}

// check returns the violations in the results of the requests and in the executions.
func (cl *cluster) check() (faults []string) {
	cl.svc.mu.Lock()
	defer cl.svc.mu.Unlock()
	for k, n := range cl.svc.runs {
		if n > 1 {
			faults = append(faults, fmt.Sprintf("duplicated: %s ran %d times", k, n))
		}
	}
	if cl.svc.lateDispatches > 0 {
		faults = append(faults, fmt.Sprintf("late: %d dispatches began after the deadline", cl.svc.lateDispatches))
	}
	for _, r := range cl.reports {
		switch {
		case r.err != nil && qm.AsError(r.err).Outcome != qm.OutcomeNotRun:
			faults = append(faults, fmt.Sprintf("untyped: %v", r.err))
		case r.err != nil && cl.svc.requests[r.call.Request] > 0:
			faults = append(faults, fmt.Sprintf("false NotRun: %s of %s ran: %v", r.call.Request, r.call.Key, r.err))
		case r.err == nil && r.result.Outcome == qm.OutcomeDone && cl.svc.runs[r.call.Key] == 0:
			faults = append(faults, fmt.Sprintf("lost: %s has the result Done but was never executed", r.call.Key))
		case r.err == nil && r.result.Outcome == qm.OutcomeDone && string(r.result.Answer) != answerOf(r.call):
			faults = append(faults, fmt.Sprintf("swapped: %s got %s", r.call.Key, r.result.Answer))
		}
	}
	return faults
}

// retryKeys sends a request for every key after the faults have ended and returns the keys that are not done. A key need
// not be done if a crash or a call that did not reach the service left its outcome unknown, or if the history of its shard
// is lost.
func (cl *cluster) retryKeys() (faults []string) {
	for k := range keys {
		from := len(cl.reports)
		for body := range 2 {
			cl.request(cl.rnd.IntN(routers), k, body, 20*time.Second)
			cl.callers.Wait()
		}
		done := false
		var answers []string
		for _, r := range cl.reports[from:] {
			done = done || r.err == nil && r.result.Outcome == qm.OutcomeDone
			answers = append(answers, fmt.Sprint(r.result.Outcome, r.err))
		}
		text := strings.Join(answers, "; ")
		key := fmt.Sprint("key-", k)
		excused := cl.crashes > 0 || cl.svc.lostCalls[key] || strings.Contains(text, "history of keys")
		if !done && !excused {
			faults = append(faults, fmt.Sprintf("lost: %s has no outcome: %s", key, text))
		}
	}
	return faults
}

// runSchedule runs a schedule on a fake clock and returns the violations, the number of requests and the number of
// executed keys.
func runSchedule(t *testing.T, seed uint64) (faults []string, requests, runs int) {
	synctest.Test(t, func(t *testing.T) {
		cl, err := newCluster(seed)
		if err != nil {
			t.Fatal(err)
		}
		for range steps {
			if err := cl.step(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Duration(cl.rnd.IntN(900)) * time.Millisecond)
		}
		if err := cl.endFaults(); err != nil {
			t.Fatal(err)
		}
		faults = cl.retryKeys()
		faults = append(faults, cl.check()...)
		requests, runs = len(cl.reports), len(cl.svc.runs)
		for _, r := range cl.routers {
			r.claims.Close()
		}
	})
	return faults, requests, runs
}

// TestSchedules guards against duplicated calls, lost calls and wrong NotRun results under random faults. To run more
// schedules:
//
//	go test ./internal/state/claim -run TestSchedules -schedules 1000
func TestSchedules(t *testing.T) {
	requests, runs, failed := 0, 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*schedules); seed++ {
		faults, n, m := runSchedule(t, seed)
		requests, runs = requests+n, runs+m
		if len(faults) > 0 {
			failed++
			t.Errorf("seed %d: %s", seed, strings.Join(faults, "\n\t"))
		}
	}
	t.Logf("seeds %d to %d: %d requests, %d executions of keys, %d schedules with faults", *firstSeed,
		*firstSeed+uint64(*schedules)-1, requests, runs, failed)
	if runs == 0 {
		t.Error("no call was executed")
	}
}

// TestRapidSchedules runs schedules with random seeds chosen by rapid.
func TestRapidSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		if faults, _, _ := runSchedule(t, seed); len(faults) > 0 {
			rt.Fatalf("seed %d: %s", seed, strings.Join(faults, "\n\t"))
		}
	})
}
