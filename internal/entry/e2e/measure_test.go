package e2e_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/standin/engsrv"
	"quetzalmount.dev/quetzalmount/internal/standin/loadgn"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
)

// measure turns on the tests that measure instead of checking; their figures depend on the machine.
var measure = flag.Bool("measure", false, "run the measurements")

func needMeasure(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
}

// spread describes measured times in milliseconds.
func spread(times []time.Duration) string {
	slices.Sort(times)
	at := func(q float64) float64 { return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000 }
	return fmt.Sprintf("%d samples: median %.1f ms, p99 %.1f ms, worst %.1f ms", len(times), at(0.5), at(0.99), at(1))
}

// TestMeasureInForce measures the time from the acceptance of an edit until all six routers have it.
func TestMeasureInForce(t *testing.T) {
	needMeasure(t)
	for _, cut := range []int{0, 1} {
		measureInForce(t, cut)
	}
}

func measureInForce(t *testing.T, cut int) {
	d := deploy(t, options{routers: 6, engines: 1, services: 1, cut: cut})
	for _, c := range []struct {
		name   string
		faults logsrv.Faults
		edits  int
	}{
		{"log without faults", logsrv.Faults{}, 200},
		{"log slow by 3 s", logsrv.Faults{DelayMs: 3000}, 5},
	} {
		d.logFaults(c.faults)
		var times []time.Duration
		for i := range c.edits {
			out, code := d.command("table", "set", "--log", d.log, "--output", "json", "team", "chess-club", fmt.Sprint("Concurrency=", 32+i%8+1))
			accepted := time.Now()
			if code != 0 {
				t.Fatalf("table set: exit %d: %s", code, out)
			}
			var o struct{ Offset int64 }
			if err := json.Unmarshal([]byte(out), &o); err != nil || o.Offset == 0 {
				t.Fatalf("table set printed %s: %v", out, err)
			}
			d.eventually("edit in force", func() bool {
				for _, r := range d.routers {
					if d.tableOffset(r) < o.Offset {
						return false
					}
				}
				return true
			})
			times = append(times, time.Since(accepted))
		}
		t.Logf("%d routers cut from the log, %s: %s, from the answer to the editor until 6 of 6 routers have it, polled every 20 ms", cut, c.name, spread(times))
	}
}

// TestMeasureStart measures the time from exec to the first served request.
func TestMeasureStart(t *testing.T) {
	needMeasure(t)
	d := deploy(t, options{routers: 6, engines: 2, services: 1})
	body := `{"model":"scribe","messages":[{"role":"user","content":"x"}],"max_tokens":1}`
	var ready []time.Duration
	restart := func(r *router) time.Duration {
		r.signal(t, syscall.SIGKILL)
		r.wait(t)
		begin := time.Now()
		d.startRouter(r)
		for status(r.callers+"/readyz") != http.StatusOK && time.Since(begin) < patience {
			time.Sleep(time.Millisecond)
		}
		ready = append(ready, time.Since(begin))
		for postStatusAs(r.callers, teams[0].Key, body) != http.StatusOK {
			if time.Since(begin) > patience {
				t.Fatal("not served")
			}
			time.Sleep(time.Millisecond)
		}
		return time.Since(begin)
	}
	for _, c := range []struct {
		name   string
		faults logsrv.Faults
	}{{"with peers and log", logsrv.Faults{}}, {"with peers, log down", logsrv.Faults{Down: true}}} {
		d.logFaults(c.faults)
		var times []time.Duration
		ready = nil
		for i := range 20 {
			times = append(times, restart(d.routers[i%len(d.routers)]))
		}
		t.Logf("%s, until ready: %s", c.name, spread(ready))
		t.Logf("%s, until the first request is served: %s", c.name, spread(times))
	}
	d.logFaults(logsrv.Faults{})
	for _, r := range d.routers {
		r.signal(t, syscall.SIGKILL)
		r.wait(t)
	}
	var times []time.Duration
	begin := time.Now()
	for _, r := range d.routers {
		d.startRouter(r)
	}
	for _, r := range d.routers {
		for postStatusAs(r.callers, teams[0].Key, body) != http.StatusOK && time.Since(begin) < patience {
			time.Sleep(time.Millisecond)
		}
		times = append(times, time.Since(begin))
	}
	t.Logf("all six together, with the log: %s", spread(times))
}

// TestMeasureStops measures the requests that 20 planned stops under load cut.
func TestMeasureStops(t *testing.T) {
	needMeasure(t)
	d := deploy(t, options{routers: 6, engines: 4, services: 2})
	sum := d.during(d.load(9, 50*time.Second, 20, 10), func() {
		for i := range 20 {
			r := d.routers[i%len(d.routers)]
			r.signal(t, syscall.SIGTERM)
			if code := r.wait(t); code != 0 {
				t.Errorf("%s: exit %d", r.name, code)
			}
			d.startRouter(r)
			d.waitReady(r)
		}
	})
	t.Logf("20 planned stops: sent %d, served %d, refused %d, unknown %d, cut 0 if unknown, lost and short are 0",
		sum.Sent, sum.Served, sum.Refused, sum.Unknown)
}

// TestMeasureNeighbours measures what a team that sends excessive load does to the others' time to first token.
func TestMeasureNeighbours(t *testing.T) {
	needMeasure(t)
	d := deploy(t, options{routers: 6, engines: 4, services: 1})
	quiet := func(seed uint64) *loadgn.Summary {
		return d.during(d.load(seed, 20*time.Second, 10, 0), func() {})
	}
	quiet(20) // fills buckets and caches
	before := quiet(21)
	stop := make(chan struct{})
	body := `{"model":"scribe","messages":[{"role":"user","content":"` + strings.Repeat("excess ", 2000) + `"}],"max_tokens":20}`
	for _, r := range d.routers {
		for range 8 {
			go func() {
				for {
					select {
					case <-stop:
						return
					default:
						postStatusAs(r.callers, "ledgerwell-film-society-demo", body)
					}
				}
			}()
		}
	}
	during := quiet(21)
	close(stop)
	t.Logf("other teams' TTFT p99: %.0f ms quiet, %.0f ms while one team loads all six routers with 48 callers, ratio %.2f",
		before.TTFTP99, during.TTFTP99, during.TTFTP99/before.TTFTP99)
}

// TestMeasureStall measures the time from the stall of a connection until its stream goes on.
func TestMeasureStall(t *testing.T) {
	needMeasure(t)
	d := deploy(t, options{routers: 1, engines: 1, services: 1, engineArgs: []string{"--decode", "1ms"}})
	body := `{"model":"scribe","messages":[{"role":"user","content":"x"}],"max_tokens":20}`
	time.Sleep(5 * time.Second) // the home of the teams lends after its lease, and its buckets fill
	var plain, silent []time.Duration
	for range 10 {
		begin := time.Now()
		postStatusAs(d.routers[0].callers, teams[0].Key, body)
		plain = append(plain, time.Since(begin))
	}
	for range 10 {
		d.fault(d.engines[0], engsrv.Faults{Connections: []engsrv.ConnFault{{Kind: engsrv.FaultStall, After: 5}}})
		begin := time.Now()
		if s := slowPost(d.routers[0].callers, teams[0].Key, body); s != http.StatusOK {
			t.Errorf("status %d", s)
		}
		silent = append(silent, time.Since(begin))
	}
	t.Logf("whole answer without a fault: %s", spread(plain))
	t.Logf("whole answer with one connection silent after 5 chunks (progress timeout 2 s): %s", spread(silent))
}
