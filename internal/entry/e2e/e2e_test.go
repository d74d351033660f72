package e2e_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/standin/engsrv"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
	"quetzalmount.dev/quetzalmount/internal/standin/lstsrv"
)

func operatorKeyHash() string {
	sum := sha256.Sum256([]byte(operatorKey))
	return hex.EncodeToString(sum[:])
}

// TestWholePath guards against parts that work alone and not together: six routers, engines and services as processes, a table
// applied by the command line, prompts and calls through all of them.
func TestWholePath(t *testing.T) {
	d := deploy(t, options{routers: 6, engines: 4, services: 2})
	sum := d.during(d.load(1, 4*time.Second, 20, 10), func() {})
	if sum.Refused+sum.Unknown > 0 {
		t.Errorf("%d refused and %d unknown without any fault", sum.Refused, sum.Unknown)
	}
	if sum.HitRate < 0.3 {
		t.Errorf("hit rate = %.2f; prompts that share nested prefixes are not routed to where they are cached", sum.HitRate)
	}
	out, code := d.command("call", "--entry", d.routers[0].callers, "--key", teams[0].Key, "--model", "scribe", "What is line 3?")
	if code != 0 || !strings.HasSuffix(strings.TrimSpace(out), "data: [DONE]") {
		t.Errorf("call: exit %d: %s", code, out)
	}
	if out, code := d.command(append([]string{"status"}, d.instances()...)...); code != 0 || strings.Count(out, "Serving") != 6 {
		t.Errorf("status: exit %d: %s", code, out)
	}
}

// TestEditInForce guards against an edit that is accepted and does not reach every instance, also while the log answers
// slowly and one router cannot reach it at all, and against a restarted instance that goes back to an older table. The routers speak TLS to each other.
func TestEditInForce(t *testing.T) {
	cert, key := writeCert(t)
	d := deploy(t, options{routers: 6, engines: 1, services: 1, cut: 1, settings: [][3]string{
		{"TLS", "PeersCert", cert}, {"TLS", "PeersKey", key}, {"TLS", "PeersCA", cert},
	}})
	d.logFaults(logsrv.Faults{DelayMs: 300})
	if out, code := d.command("table", "set", "--log", d.log, "team", "chess-club", "Concurrency=33"); code != 0 {
		t.Fatalf("table set: exit %d: %s", code, out)
	}
	wait := append([]string{"table", "wait", "--log", d.log, "--within", "30s"}, d.instances()...)
	out, code := d.command(wait...)
	if code != 0 || !strings.Contains(out, "6 of 6") {
		t.Fatalf("table wait: exit %d: %s", code, out)
	}
	// With the log down, a restarted router can have the table only from its peers.
	before := d.tableOffset(d.routers[0])
	d.logFaults(logsrv.Faults{Down: true})
	d.routers[0].signal(t, syscall.SIGKILL)
	d.routers[0].wait(t)
	d.startRouter(d.routers[0])
	d.waitReady(d.routers[0])
	if after := d.tableOffset(d.routers[0]); after < before {
		t.Errorf("table offset after the restart = %d, want at least %d", after, before)
	}
}

func (d *deployment) tableOffset(r *router) int64 {
	d.t.Helper()
	res, err := probe.Get("http://" + r.callers + "/healthz")
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	var h struct{ TableOffset int64 }
	if err := json.NewDecoder(res.Body).Decode(&h); err != nil {
		d.t.Fatal(err)
	}
	return h.TableOffset
}

// TestKills guards against answers that are lost or calls that run twice when routers and engines die under load.
func TestKills(t *testing.T) {
	d := deploy(t, options{routers: 6, engines: 4, services: 2})
	d.during(d.load(2, 8*time.Second, 20, 15), func() {
		for i := range 3 {
			time.Sleep(2 * time.Second)
			r := d.routers[i]
			r.signal(t, syscall.SIGKILL)
			r.wait(t)
			d.fault(d.engines[i], engsrv.Faults{Crash: true, DownMs: 500})
			d.startRouter(r)
		}
	})
}

// TestPause guards against a paused router that comes back and sends calls or stale answers after its leases have lapsed.
func TestPause(t *testing.T) {
	d := deploy(t, options{routers: 6, engines: 2, services: 2})
	d.during(d.load(3, 8*time.Second, 10, 20), func() {
		time.Sleep(2 * time.Second)
		for _, r := range d.routers[:2] {
			r.signal(t, syscall.SIGSTOP)
		}
		time.Sleep(4 * time.Second) // twice the lease
		for _, r := range d.routers[:2] {
			r.signal(t, syscall.SIGCONT)
		}
	})
}

// TestLogOutage guards against prompts that need the log, and against calls that run twice or are called NotRun falsely when
// the log is down or loses its answers.
func TestLogOutage(t *testing.T) {
	d := deploy(t, options{routers: 6, engines: 2, services: 2})
	d.during(d.load(4, 9*time.Second, 10, 15), func() {
		time.Sleep(time.Second)
		d.logFaults(logsrv.Faults{LoseAnswers: 0.5, LateAppendMs: 500})
		time.Sleep(3 * time.Second)
		d.logFaults(logsrv.Faults{Down: true})
		time.Sleep(3 * time.Second)
		d.logFaults(logsrv.Faults{})
	})
}

// TestStalledConnections guards against streams that hang on connections that stalled, and against short or doubled chunks.
func TestStalledConnections(t *testing.T) {
	d := deploy(t, options{routers: 2, engines: 3, services: 1, settings: [][3]string{{"Timeouts", "Progress", "300ms"}}})
	sum := d.during(d.load(5, 6*time.Second, 20, 0), func() {
		for range 4 {
			time.Sleep(time.Second)
			for _, e := range d.engines {
				d.fault(e, engsrv.Faults{Stall: true, Connections: []engsrv.ConnFault{
					{Kind: engsrv.FaultSkip, After: 3}, {Kind: engsrv.FaultDuplicate, After: 2},
					{Kind: engsrv.FaultTruncate, After: 4}, {Kind: engsrv.FaultCrossed, After: 1},
				}})
			}
		}
	})
	if sum.Refused > 0 {
		t.Errorf("%d completions refused; open connections stalled but new ones worked", sum.Refused)
	}
}

// TestPlannedStops guards against a graceful stop that cuts requests.
func TestPlannedStops(t *testing.T) {
	d := deploy(t, options{routers: 4, engines: 3, services: 2})
	const stops = 8
	sum := d.during(d.load(6, 16*time.Second, 20, 10), func() {
		for i := range stops {
			r := d.routers[i%len(d.routers)]
			r.signal(t, syscall.SIGTERM)
			if code := r.wait(t); code != 0 {
				t.Errorf("%s: exit %d after SIGTERM, want 0", r.name, code)
			}
			d.startRouter(r)
			d.waitReady(r)
		}
	})
	if sum.Unknown > 0 {
		t.Errorf("%d calls with an unknown outcome; a planned stop finishes them", sum.Unknown)
	}
}

// exitRefused is the exit code of a request that was refused.
const exitRefused = 6

// TestStopKeepsRecords guards against a planned stop that loses the record of a call that was answered just before: the same
// call through another router would have an unknown outcome.
func TestStopKeepsRecords(t *testing.T) {
	d := deploy(t, options{routers: 2, engines: 1, services: 1})
	// call sends the call until the limits, whose buckets are empty at the start, let it through.
	call := func(r *router) (out string, code int) {
		d.eventually("the call is let through", func() bool {
			out, code = d.command("call", "--entry", r.callers, "--key", teams[0].Key, "--service", "tally", "--name", "post-lodgement",
				"--idempotency-key", "k", `{"Ref":"x","Amount":1}`)
			return code != exitRefused
		})
		return out, code
	}
	// The append of the record waits out the delay and then finds the log down, until the router is past its advice.
	d.logFaults(logsrv.Faults{DelayMs: 500})
	if out, code := call(d.routers[0]); code != 0 {
		t.Fatalf("call: exit %d: %s", code, out)
	}
	d.logFaults(logsrv.Faults{Down: true})
	d.routers[0].signal(t, syscall.SIGTERM)
	time.Sleep(2500 * time.Millisecond)
	d.logFaults(logsrv.Faults{})
	if code := d.routers[0].wait(t); code != 0 {
		t.Errorf("exit %d after SIGTERM", code)
	}
	for _, p := range d.procs {
		if strings.HasPrefix(p.name, "service-") {
			p.signal(t, syscall.SIGKILL) // nobody is left to look the call up
			p.wait(t)
		}
	}
	if out, code := call(d.routers[1]); code != 0 || !strings.Contains(out, `"Repeated":true`) {
		t.Errorf("the same call through another router: exit %d: %s", code, out)
	}
}

// TestSimultaneousRestart guards against routers that cannot start without each other, and against routers that serve without a
// table while the log is down.
func TestSimultaneousRestart(t *testing.T) {
	d := deploy(t, options{routers: 6, engines: 2, services: 1})
	d.logFaults(logsrv.Faults{Down: true})
	for _, r := range d.routers {
		r.signal(t, syscall.SIGKILL)
	}
	for _, r := range d.routers {
		r.wait(t)
		d.startRouter(r)
	}
	for _, r := range d.routers {
		d.waitHTTP(r.callers + "/healthz")
		req, err := http.NewRequest(http.MethodGet, "http://"+r.callers+"/v1/models", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+teams[0].Key)
		res, err := probe.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
			t.Errorf("%s without a table: %s, want 503 with Retry-After", r.name, res.Status)
		}
	}
	d.logFaults(logsrv.Faults{})
	for _, r := range d.routers {
		d.waitReady(r)
	}
	d.during(d.load(7, 2*time.Second, 10, 5), func() {})
}

// TestListDown guards against routers that lose their engines with the list, and against an outage that operators cannot see.
func TestListDown(t *testing.T) {
	d := deploy(t, options{routers: 2, engines: 2, services: 1})
	d.during(d.load(10, 4*time.Second, 10, 5), func() {
		d.fault(d.list, lstsrv.Faults{Down: true})
		d.eventually("a log line about the list", func() bool {
			return len(d.routers[0].lines(t, d, `"Message":"instance list cannot be read"`)) > 0
		})
	})
	d.fault(d.list, lstsrv.Faults{})
	d.eventually("a log line about its end", func() bool {
		return len(d.routers[0].lines(t, d, `"Message":"over: instance list cannot be read"`)) > 0
	})
	out, code := d.command("metrics", "--instances", d.routers[0].admin)
	if code != 0 || !strings.Contains(out, "quetzalmount_instances_live") {
		t.Errorf("metrics: exit %d: %s", code, out)
	}
}

// TestExcessiveLoad guards against a team that gets more than its limit by sending to all instances at once.
func TestExcessiveLoad(t *testing.T) {
	d := deploy(t, options{routers: 6, engines: 4, services: 1, engineArgs: []string{"--decode", "100us", "--slots", "64"}})
	const limit, seconds = 300, 6 // tennis-dalkey may send 300 requests a minute
	body := `{"model":"scribe","messages":[{"role":"user","content":"x"}],"max_tokens":1}`
	admitted := make(chan int, len(d.routers))
	for _, r := range d.routers {
		go func() {
			n := 0
			for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); {
				if postStatus(r.callers, body) == http.StatusOK {
					n++
				}
			}
			admitted <- n
		}()
	}
	total := 0
	for range d.routers {
		total += <-admitted
	}
	// What flows in over the time, the home's burst of a tenth, the floors' bursts of a quarter of a tenth, and one request for
	// rounding on each instance.
	most := limit*seconds/60 + limit/10 + limit/40 + len(d.routers)
	if total == 0 || total > most {
		t.Errorf("%d requests admitted in %d s, want 1 to %d", total, seconds, most)
	}
}

// TestRollOut guards against a new version that takes the group out of service, that does not reach every engine, or that lets
// a request use weights other than those it asked for.
func TestRollOut(t *testing.T) {
	d := deploy(t, options{routers: 3, engines: 4, services: 1})
	set := append([]string{"table", "set", "--log", d.log, "--wait"}, d.instances()...)
	sum := d.during(d.load(8, 12*time.Second, 15, 0), func() {
		time.Sleep(time.Second)
		var out string
		t.Cleanup(func() { t.Log(out) })
		if out, code := d.command(append(set, "model", "scribe", "Version=scribe-2")...); code != 0 {
			t.Fatalf("table set: exit %d: %s", code, out)
		}
		d.eventually("all engines have the new version", func() bool {
			out, _ = d.command("status", "--instances", d.routers[0].admin)
			return strings.Count(out, "version scribe-2, wanted scribe-2") == len(d.engines)
		})
	})
	if sum.Refused+sum.Unknown > 0 {
		t.Errorf("%d requests refused during the roll-out, want 0", sum.Refused+sum.Unknown)
	}
}

// postStatus sends a completion of the team with low limits.
func postStatus(address, body string) int {
	return postStatusAs(address, "ledgerwell-tennis-dalkey-demo", body)
}

func postStatusAs(address, key, body string) int { return post(probe, address, key, body) }

// slowPost waits for answers that take longer than a probe.
func slowPost(address, key, body string) int {
	return post(&http.Client{Timeout: patience}, address, key, body)
}

// post sends a completion and returns the status once the whole answer was read, 0 if there was none.
func post(client *http.Client, address, key, body string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// TestBadSettings guards against a router that starts with settings that it does not understand.
func TestBadSettings(t *testing.T) {
	d := &deployment{t: t, dir: t.TempDir(), log: "127.0.0.1:1", list: "127.0.0.1:1"}
	r := &router{name: "entry", callers: freeAddress(t), admin: freeAddress(t), peers: freeAddress(t), centre: "dub-a"}
	file := d.writeSettings(r, [][3]string{{"Limits", "EntrySlot", "6"}})
	out, code := d.command("serve", "--settings", file)
	if code != 2 || !strings.Contains(out, fmt.Sprintf("%s: [Limits] EntrySlot: unknown key", file)) {
		t.Errorf("serve: exit %d: %s", code, out)
	}
}
