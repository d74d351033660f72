package fatal_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/fatal"
)

// routers are the trackers of several routers in front of the same engines.
type routers struct {
	trackers []*fatal.Tracker
	engines  map[qm.EndpointID]*qm.Endpoint
	probeErr map[qm.EndpointID]error
	stopped  int
}

func newRouters(t *testing.T, n, engines int) *routers {
	t.Helper()
	r := &routers{engines: map[qm.EndpointID]*qm.Endpoint{}, probeErr: map[qm.EndpointID]error{}}
	for i := range engines {
		id := qm.EndpointID(fmt.Sprint("e", i))
		r.engines[id] = &qm.Endpoint{ID: id, State: qm.Live, Incarnation: "1"}
	}
	for i := range n {
		tr := fatal.New(t.Context(), fatal.Options{
			Probe:   func(_ context.Context, e *qm.Endpoint) error { return r.probeErr[e.ID] },
			Lookup:  func(id qm.EndpointID) *qm.Endpoint { return r.engines[id] },
			IsFirst: func(qm.Fingerprint) bool { return i == 0 }, Announce: func() {},
		})
		t.Cleanup(tr.Close)
		r.trackers = append(r.trackers, tr)
	}
	return r
}

func (r *routers) begin(router int, fp qm.Fingerprint, engine qm.EndpointID) (*fatal.Run, bool) {
	run, refused := r.trackers[router].Begin([]qm.Fingerprint{fp}, newRequest(), r.engines[engine], func(error) { r.stopped++ })
	return run, refused == 0
}

// end lets the runs of an engine be interrupted because its process ended.
func (r *routers) end(engine qm.EndpointID, runs ...*fatal.Run) {
	r.probeErr[engine] = syscall.ECONNREFUSED
	r.interrupt(runs...)
}

func (r *routers) interrupt(runs ...*fatal.Run) {
	for _, run := range runs {
		run.Interrupted()
	}
	time.Sleep(50 * time.Millisecond)
	synctest.Wait()
	r.exchange()
}

// exchange passes all reports on until no router has any.
func (r *routers) exchange() {
	for again := true; again; {
		again = false
		for i, from := range r.trackers {
			for _, report := range from.TakeReports() {
				again = true
				for j, to := range r.trackers {
					if i != j {
						to.ApplyReport(report)
					}
				}
			}
		}
	}
}

// gossip passes reports on as the routers do, for a time, and returns how many were new to a router. In each step a router sends its reports to
// two others, each report to twelve in all, with its age in whole milliseconds.
func (r *routers) gossip(d time.Duration) int {
	const fanout, copies = 2, 12
	type sent struct {
		report fatal.Report
		at     time.Time
		left   int
	}
	random := rand.New(rand.NewPCG(1, 2))
	queues := make([][]sent, len(r.trackers))
	applied := 0
	for start := time.Now(); time.Since(start) < d; {
		i := random.IntN(len(r.trackers))
		for _, report := range r.trackers[i].TakeReports() {
			queues[i] = append(queues[i], sent{report, time.Now().Add(-report.Age), copies})
		}
		var to []int
		for len(to) < fanout {
			if j := random.IntN(len(r.trackers)); j != i {
				to = append(to, j)
			}
		}
		var message []fatal.Report
		for k := range queues[i] {
			q := &queues[i][k]
			q.report.Age = time.Since(q.at).Truncate(time.Millisecond)
			q.left -= len(to)
			message = append(message, q.report)
		}
		queues[i] = slices.DeleteFunc(queues[i], func(q sent) bool { return q.left <= 0 })
		time.Sleep(time.Millisecond)
		for _, j := range to {
			for _, report := range message {
				if r.trackers[j].ApplyReport(report) {
					applied++
				}
			}
		}
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
	return applied
}

func (r *routers) mayRun(fp qm.Fingerprint) []bool {
	var out []bool
	for _, tr := range r.trackers {
		out = append(out, tr.Refused([]qm.Fingerprint{fp}) == 0)
	}
	return out
}

func (r *routers) mustBegin(t *testing.T, router int, fp qm.Fingerprint, engine qm.EndpointID) *fatal.Run {
	t.Helper()
	run, ok := r.begin(router, fp, engine)
	if !ok {
		t.Fatalf("router %d refuses request %d", router, fp)
	}
	return run
}

// convictCulprit lets culprit end e0 and e1 at the first router.
func (r *routers) convictCulprit(t *testing.T) {
	t.Helper()
	for _, id := range []qm.EndpointID{"e0", "e1"} {
		r.end(id, r.mustBegin(t, 0, culprit, id))
		time.Sleep(time.Second)
	}
}

// TestSharedConviction guards against a request that callers repeat at several routers: two ends of engines convict it at all of them, also
// if each router saw only one, and the runs in progress are stopped.
func TestSharedConviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouters(t, 3, 4)
		r.end("e0", r.mustBegin(t, 0, culprit, "e0"), r.mustBegin(t, 1, bystander, "e0"))
		r.mustBegin(t, 1, bystander, "e1").Completed()
		r.exchange()
		time.Sleep(time.Second)
		r.mustBegin(t, 2, culprit, "e2")
		r.end("e1", r.mustBegin(t, 1, culprit, "e1"))
		if diff := cmp.Diff([]bool{false, false, false}, r.mayRun(culprit)); diff != "" {
			t.Errorf("the request may run after it ended two engines (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]bool{true, true, true}, r.mayRun(bystander)); diff != "" {
			t.Errorf("a bystander may not run (-want +got):\n%s", diff)
		}
		if r.stopped != 1 {
			t.Errorf("%d runs of the request in progress were stopped, want 1", r.stopped)
		}
		time.Sleep(40 * time.Second)
		if diff := cmp.Diff([]bool{true, false, false}, r.mayRun(culprit)); diff != "" {
			t.Errorf("after its sentence one router may test the request (-want +got):\n%s", diff)
		}
		r.mustBegin(t, 0, culprit, "e3").Completed()
		r.exchange()
		if diff := cmp.Diff([]bool{true, true, true}, r.mayRun(culprit)); diff != "" {
			t.Errorf("the request may not run after a test that completed (-want +got):\n%s", diff)
		}
	})
}

// TestContradictoryReports guards against reports that are new again and again: a conviction that is repeated, and completions of runs in
// progress that the router that repeats it doesn't know yet, would be applied and undone in turns at all routers, and keep out other reports.
func TestContradictoryReports(t *testing.T) {
	for before := time.Duration(0); before < 100*time.Millisecond; before += 10 * time.Millisecond {
		t.Run(fmt.Sprint(before, " before a repetition"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const routers = 8
				r := newRouters(t, routers, 8)
				created := time.Now()
				inProgress := []*fatal.Run{r.mustBegin(t, 1, culprit, "e4"), r.mustBegin(t, 2, culprit, "e5")}
				r.convictCulprit(t)
				// Convictions are repeated every 2 s.
				r.gossip(time.Until(created.Add(4*time.Second - before)))
				for _, run := range inProgress {
					run.Completed()
				}
				applied := r.gossip(10 * time.Second)
				// Each completion, and the conviction each time that it is repeated, may be new to each router once.
				if most := routers * (len(inProgress) + 5); applied > most {
					t.Errorf("reports were new %d times in 10 s, want %d at most", applied, most)
				}
				if applied = r.gossip(5 * time.Second); applied > 0 {
					t.Errorf("reports were new %d times later, want none", applied)
				}
				if diff := cmp.Diff(slices.Repeat([]bool{true}, routers), r.mayRun(culprit)); diff != "" {
					t.Errorf("the request may not run after as many completions as ends (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestNoEnd guards against accusing requests of connections that were reset, of engines that can't be reached, and of engines that load
// weights, leave or were replaced.
func TestNoEnd(t *testing.T) {
	refused := error(syscall.ECONNREFUSED)
	tests := []struct {
		name   string
		err    error
		change func(*qm.Endpoint) *qm.Endpoint
	}{
		{"reset", nil, nil},
		{"silent", context.DeadlineExceeded, nil},
		{"leaving", refused, func(e *qm.Endpoint) *qm.Endpoint { c := *e; c.State = qm.Leaving; return &c }},
		{"replaced", refused, func(e *qm.Endpoint) *qm.Endpoint { c := *e; c.Incarnation = "2"; return &c }},
		{"unlisted", refused, func(*qm.Endpoint) *qm.Endpoint { return nil }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouters(t, 1, 4)
				for _, id := range []qm.EndpointID{"e0", "e1", "e2"} {
					run := r.mustBegin(t, 0, culprit, id)
					r.probeErr[id] = tt.err
					if tt.change != nil {
						r.engines[id] = tt.change(r.engines[id])
					}
					r.interrupt(run)
					time.Sleep(time.Second)
				}
				if r.trackers[0].Refused([]qm.Fingerprint{culprit}) != 0 {
					t.Error("the request was convicted")
				}
			})
		})
	}
}

// TestLateRouter guards against a router that starts later and runs a convicted request: the first router repeats convictions.
func TestLateRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouters(t, 1, 3)
		r.convictCulprit(t)
		time.Sleep(3 * time.Second)
		got := r.trackers[0].TakeReports()
		want := []fatal.Report{{Kind: fatal.ReportConvicted, Fingerprints: []qm.Fingerprint{culprit}, Ran: 2950 * time.Millisecond, For: 27 * time.Second}}
		if diff := cmp.Diff(want, got[max(0, len(got)-1):], cmpopts.IgnoreFields(fatal.Report{}, "Age", "For")); diff != "" {
			t.Errorf("the last report (-want +got):\n%s", diff)
		}
	})
}

// TestIsFirst guards against two routers that test a convicted request at the same time.
func TestIsFirst(t *testing.T) {
	members := func(self int) qm.Members {
		var out qm.Members
		for i := range 5 {
			out = append(out, qm.Member{Instance: qm.InstanceID(fmt.Sprint("r", i)), State: qm.Live, IsSelf: i == self})
		}
		return out
	}
	for fp := range qm.Fingerprint(50) {
		first := 0
		for i := range 5 {
			if fatal.IsFirst(members(i), qm.InstanceID(fmt.Sprint("r", i)), fp) {
				first++
			}
		}
		if first != 1 {
			t.Errorf("%d routers are first for %d", first, fp)
		}
	}
}

// TestAbandonedTest guards against refusing a request for another sentence because its test ended without a result, such as at a full engine.
func TestAbandonedTest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouters(t, 1, 4)
		r.convictCulprit(t)
		time.Sleep(40 * time.Second)
		r.mustBegin(t, 0, culprit, "e2").Abandoned()
		r.interrupt(r.mustBegin(t, 0, culprit, "e2"))
		r.mustBegin(t, 0, culprit, "e3").Completed()
		if diff := cmp.Diff([]bool{true}, r.mayRun(culprit)); diff != "" {
			t.Errorf("after a test that completed (-want +got):\n%s", diff)
		}
	})
}

// TestReportWithoutFingerprint guards against accusing, by a report that names no request, all requests without a fingerprint.
func TestReportWithoutFingerprint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouters(t, 1, 1)
		for _, fps := range [][]qm.Fingerprint{nil, {0}, {0, culprit}} {
			if r.trackers[0].ApplyReport(fatal.Report{Kind: fatal.ReportConvicted, Fingerprints: fps, For: time.Minute}) {
				t.Errorf("a report with the fingerprints %v was applied", fps)
			}
		}
	})
}
