package claim_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
	"quetzalmount.dev/quetzalmount/internal/state/claim"
)

var measure = flag.Bool("measure", false, "print throughput, latency, memory and record bytes")

// countingLog counts the bytes of records and the appends that the log refused.
type countingLog struct {
	*logsrv.Store
	mu      *sync.Mutex
	bytes   *int64
	refused *int64
}

func (l countingLog) Append(ctx context.Context, id qm.StreamID, data [][]byte) (qm.Offset, error) {
	o, err := l.Store.Append(ctx, id, data)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range data {
		*l.bytes += int64(len(d))
	}
	if err != nil {
		*l.refused++
	}
	return o, err
}

// load configures a measurement. The callers are distributed over the routers, and each sends calls one after another.
type load struct {
	callers, routers, batch int
	time                    time.Duration
	thinkTime               time.Duration // delay of a caller after each call
}

type measurement struct {
	calls, failed, appends, bytes, refused int64
	latency                                *hdrhistogram.Histogram // microseconds
}

func (l load) run(t *testing.T) (f measurement) {
	f.latency = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		log := logsrv.New(logsrv.Options{AppendsPerSecond: 300})
		log.SetFaults(logsrv.Faults{DelayMs: 1}) // the latency to another data centre
		svc := &qm.Service{ID: "tally", Timeout: 30 * time.Second}
		var all []*claim.Claims
		for i := range l.routers {
			c, err := claim.New(t.Context(), claim.Options{Log: countingLog{log, &mu, &f.bytes, &f.refused},
				Instance: qm.InstanceID(fmt.Sprint("entry-", i)), MaxBatch: l.batch,
				Dispatch: func(context.Context, qm.OperationID, *qm.Call) (int, json.RawMessage, error) {
					return 200, json.RawMessage(`{"Posted":true}`), nil
				}})
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, c)
		}
		time.Sleep(time.Second)
		end := time.Now().Add(l.time)
		var callers sync.WaitGroup
		for n := range l.callers {
			callers.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					began := time.Now()
					call := &qm.Call{Team: "club", Service: svc, Name: "post", Key: fmt.Sprint(n, "-", i), Body: json.RawMessage(`{}`)}
					_, err := all[n%l.routers].Run(t.Context(), call)
					mu.Lock()
					if f.calls++; err != nil {
						f.failed++
					}
					_ = f.latency.RecordValue(time.Since(began).Microseconds())
					mu.Unlock()
					if time.Sleep(l.thinkTime); err != nil {
						time.Sleep(time.Second) // the fake clock does not advance during a refused call
					}
				}
			})
		}
		callers.Wait()
		for _, c := range all {
			if err := c.Close(); err != nil {
				t.Error(err)
			}
		}
		f.appends = log.Appends()
	})
	return f
}

// TestMeasure guards against routers that exceed the log's append rate: with six routers under load and a limit of 300
// appends per second, no call may fail and at most 1% of the appends may be refused. With -measure it also measures other
// loads.
func TestMeasure(t *testing.T) {
	loads := []load{{callers: 100, routers: 6, batch: claim.MaxBatch}}
	if *measure {
		loads = append(loads, load{callers: 6, routers: 6, batch: claim.MaxBatch, thinkTime: time.Second})
		for _, n := range []int{1, 10, 100} {
			for _, batch := range []int{claim.MaxBatch, 1} {
				loads = append(loads, load{callers: n, routers: 1, batch: batch}, load{callers: n, routers: 6, batch: batch})
			}
		}
	}
	for _, l := range loads {
		l.time = 20 * time.Second
		f := l.run(t)
		ms := func(q float64) float64 { return float64(f.latency.ValueAtQuantile(q)) / 1000 }
		t.Logf("callers %3d think %v routers %d batch %3d: %6.1f calls/s, p50 %.0f ms, p99 %.0f ms, %d failed, %.1f appends/s, %d refused, %d bytes/call",
			l.callers, l.thinkTime, l.routers, l.batch, float64(f.calls)/l.time.Seconds(), ms(50), ms(99), f.failed,
			float64(f.appends)/l.time.Seconds(), f.refused, f.bytes/f.calls)
		if l.batch != 1 && (f.failed > 0 || f.refused*100 > f.appends) {
			t.Errorf("%d calls failed, %d of %d appends were refused, want at most 1%%", f.failed, f.refused, f.appends)
		}
	}
}

// TestMemory guards against keys that take more memory than the limits of the package assume. It logs the bytes per key.
func TestMemory(t *testing.T) {
	const n = 20000 // less than half of the keys that all shards may hold
	var before, after runtime.MemStats
	synctest.Test(t, func(t *testing.T) {
		log := logsrv.New(logsrv.Options{Retention: time.Second})
		c, err := claim.New(t.Context(), claim.Options{Log: log, Dispatch: func(context.Context, qm.OperationID, *qm.Call) (int, json.RawMessage, error) {
			return 200, nil, nil
		}})
		if err != nil {
			t.Fatal(err)
		}
		svc := &qm.Service{ID: "tally"}
		time.Sleep(time.Second)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := 0; i < n; i += 1000 {
			var g sync.WaitGroup
			for k := range 1000 {
				g.Go(func() {
					if _, err := c.Run(t.Context(), &qm.Call{Service: svc, Key: fmt.Sprint(i + k)}); err != nil {
						t.Error(err)
					}
				})
			}
			g.Wait()
		}
		time.Sleep(30 * time.Second) // the log drops its records when they are read after the retention time
		runtime.GC()
		runtime.ReadMemStats(&after)
		c.Close()
	})
	perKey := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / n
	t.Logf("%d bytes per key", perKey)
	if perKey > 600 {
		t.Errorf("%d bytes per key, want at most 600", perKey)
	}
}
