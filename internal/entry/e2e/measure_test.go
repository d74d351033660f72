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

// measure enables the tests that only measure. Their results depend on the machine.
var measure = flag.Bool("measure", false, "run the measurements")

func skipUnlessMeasure(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
}

// summarize returns the number, median, 99th percentile and maximum of times, in milliseconds. It sorts times.
func summarize(times []time.Duration) string {
	slices.Sort(times)
	quantile := func(q float64) float64 { return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000 }
	return fmt.Sprintf("%d samples: median %.1f ms, p99 %.1f ms, worst %.1f ms", len(times), quantile(0.5), quantile(0.99), quantile(1))
}

// TestMeasureInForce measures the time from the acceptance of an edit until all six routers have it in force.
func TestMeasureInForce(t *testing.T) {
	skipUnlessMeasure(t)
	for _, cut := range []int{0, 1} {
		measureInForce(t, cut)
	}
}

func measureInForce(t *testing.T, logUnreachable int) {
	d := deploy(t, options{routers: 6, engines: 1, services: 1, logUnreachable: logUnreachable})
	for _, c := range []struct {
		name   string
		faults logsrv.Faults
		edits  int
	}{
		{"log without faults", logsrv.Faults{}, 200},
		{"log slow by 3 s", logsrv.Faults{DelayMs: 3000}, 5},
	} {
		d.setLogFaults(c.faults)
		var times []time.Duration
		for i := range c.edits {
			out, code := d.command("table", "set", "--log", d.logAddress, "--output", "json", "team", "chess-club", fmt.Sprint("Concurrency=", 32+i%8+1))
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
		t.Logf("%d routers cut from the log, %s: %s, from the answer to the editor until 6 of 6 routers have it, polled every 20 ms", logUnreachable, c.name, summarize(times))
	}
}

// TestMeasureStart measures the time from the start of a router process to its first served request.
func TestMeasureStart(t *testing.T) {
	skipUnlessMeasure(t)
	d := deploy(t, options{routers: 6, engines: 2, services: 1})
	body := `{"model":"scribe","messages":[{"role":"user","content":"x"}],"max_tokens":1}`
	var ready []time.Duration
	restart := func(r *router) time.Duration {
		r.signal(t, syscall.SIGKILL)
		r.waitExit(t)
		begin := time.Now()
		d.startRouter(r)
		for getStatus(r.callersAddress+"/readyz") != http.StatusOK && time.Since(begin) < waitTimeout {
			time.Sleep(time.Millisecond)
		}
		ready = append(ready, time.Since(begin))
		for postCompletion(r.callersAddress, teams[0].Key, body) != http.StatusOK {
			if time.Since(begin) > waitTimeout {
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
		d.setLogFaults(c.faults)
		var times []time.Duration
		ready = nil
		for i := range 20 {
			times = append(times, restart(d.routers[i%len(d.routers)]))
		}
		t.Logf("%s, until ready: %s", c.name, summarize(ready))
		t.Logf("%s, until the first request is served: %s", c.name, summarize(times))
	}
	d.setLogFaults(logsrv.Faults{})
	for _, r := range d.routers {
		r.signal(t, syscall.SIGKILL)
		r.waitExit(t)
	}
	var times []time.Duration
	begin := time.Now()
	for _, r := range d.routers {
		d.startRouter(r)
	}
	for _, r := range d.routers {
		for postCompletion(r.callersAddress, teams[0].Key, body) != http.StatusOK && time.Since(begin) < waitTimeout {
			time.Sleep(time.Millisecond)
		}
		times = append(times, time.Since(begin))
	}
	t.Logf("all six together, with the log: %s", summarize(times))
}

// TestMeasureStops counts the requests that 20 graceful stops under load abort.
func TestMeasureStops(t *testing.T) {
	skipUnlessMeasure(t)
	d := deploy(t, options{routers: 6, engines: 4, services: 2})
	summary := d.runLoad(d.newLoad(9, 50*time.Second, 20, 10), func() {
		for i := range 20 {
			r := d.routers[i%len(d.routers)]
			r.signal(t, syscall.SIGTERM)
			if code := r.waitExit(t); code != 0 {
				t.Errorf("%s: exit %d", r.name, code)
			}
			d.startRouter(r)
			d.waitReady(r)
		}
	})
	t.Logf("20 planned stops: sent %d, served %d, refused %d, unknown %d, cut 0 if unknown, lost and short are 0",
		summary.Sent, summary.Served, summary.Refused, summary.Unknown)
}

// TestMeasureNeighbours measures the effect of a team with excessive load on the time to first token of the other teams.
func TestMeasureNeighbours(t *testing.T) {
	skipUnlessMeasure(t)
	d := deploy(t, options{routers: 6, engines: 4, services: 1})
	runOtherTeams := func(seed uint64) *loadgn.Summary {
		return d.runLoad(d.newLoad(seed, 20*time.Second, 10, 0), func() {})
	}
	runOtherTeams(20) // fills token buckets and caches
	unloaded := runOtherTeams(21)
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
						postCompletion(r.callersAddress, "ledgerwell-film-society-demo", body)
					}
				}
			}()
		}
	}
	underLoad := runOtherTeams(21)
	close(stop)
	t.Logf("other teams' TTFT p99: %.0f ms quiet, %.0f ms while one team loads all six routers with 48 callers, ratio %.2f",
		unloaded.TTFTP99, underLoad.TTFTP99, underLoad.TTFTP99/unloaded.TTFTP99)
}

// TestMeasureStall measures how much a stalled connection delays a stream.
func TestMeasureStall(t *testing.T) {
	skipUnlessMeasure(t)
	d := deploy(t, options{routers: 1, engines: 1, services: 1, engineArgs: []string{"--decode", "1ms"}})
	body := `{"model":"scribe","messages":[{"role":"user","content":"x"}],"max_tokens":20}`
	time.Sleep(5 * time.Second) // until the teams' home instance lends, after its lease, and the token buckets are full
	var withoutFault, withStall []time.Duration
	for range 10 {
		begin := time.Now()
		postCompletion(d.routers[0].callersAddress, teams[0].Key, body)
		withoutFault = append(withoutFault, time.Since(begin))
	}
	for range 10 {
		d.setFaults(d.engineAddresses[0], engsrv.Faults{Connections: []engsrv.ConnFault{{Kind: engsrv.FaultStall, After: 5}}})
		begin := time.Now()
		if s := postSlowCompletion(d.routers[0].callersAddress, teams[0].Key, body); s != http.StatusOK {
			t.Errorf("status %d", s)
		}
		withStall = append(withStall, time.Since(begin))
	}
	t.Logf("whole answer without a fault: %s", summarize(withoutFault))
	t.Logf("whole answer with one connection silent after 5 chunks (progress timeout 2 s): %s", summarize(withStall))
}
