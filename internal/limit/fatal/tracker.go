package fatal

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/logs"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
)

// ReportKind is the kind of a Report.
type ReportKind int

// Kinds of reports.
const (
	// ReportEnded means that an engine ended while it ran the request.
	ReportEnded ReportKind = iota + 1
	// ReportCompleted means that an accused request ran to its end.
	ReportCompleted
	// ReportConvicted means that the request is refused for the time Report.For.
	ReportConvicted
)

// String returns the name of the kind in metrics.
func (k ReportKind) String() string {
	switch k {
	case ReportEnded:
		return "Ended"
	case ReportCompleted:
		return "Completed"
	case ReportConvicted:
		return "Convicted"
	}
	return "Unknown"
}

// Report is an observation of a request that routers pass on to each other.
type Report struct {
	Kind ReportKind
	// Fingerprints are those of the request, the whole request first; for ReportConvicted the convicted one alone.
	Fingerprints []qm.Fingerprint
	// Run is set for ReportEnded, For for ReportConvicted. Ran is the time for which the request had run, for ReportConvicted the time from the
	// conviction to this report of it.
	Run EndpointRun
	Ran time.Duration
	// Request is set for ReportEnded and ReportCompleted.
	Request qm.RequestID
	// Completions are those of Accusation, set for ReportEnded.
	Completions []int
	For         time.Duration
	// Age is the time since the observation.
	Age time.Duration
}

const (
	// maxReportAge is the age from which a report is ignored.
	maxReportAge = evidenceWindow
	// probeTimeout limits the check whether an engine has ended.
	probeTimeout = 300 * time.Millisecond
	// probeDelay is the time between a failed request and that check, in which a process that ends closes its listener.
	probeDelay = 20 * time.Millisecond
	// maxReports limits the reports that wait to be sent.
	maxReports = 256
	// repeatInterval is the time after which convictions are sent again, for routers that have started since.
	repeatInterval = 2 * time.Second
)

// ProbeFunc connects to an endpoint. It returns an error that wraps ECONNREFUSED if no process listens there.
type ProbeFunc func(context.Context, *qm.Endpoint) error

// Options are the dependencies of a Tracker.
type Options struct {
	Probe ProbeFunc
	// Lookup returns what is known of an engine now, nil if it is not listed any more.
	Lookup func(qm.EndpointID) *qm.Endpoint
	// Announce is called when there are reports to take.
	Announce func()
	// IsFirst reports whether this router is the one that tests convicted requests and repeats convictions for others.
	IsFirst func(qm.Fingerprint) bool
	// Scope receives metrics; nil discards them.
	Scope tally.Scope
	Log   logr.Logger
}

// Tracker follows the requests of this router and decides with those of the others which must not run. It is safe for concurrent use.
type Tracker struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	loop   *period.Loop
	// wg counts the probes in progress.
	wg sync.WaitGroup

	mu     sync.Mutex
	ledger *Ledger
	// completions counts the runs at this router that completed lately.
	completions *counts
	durations   durations
	running     map[qm.Fingerprint]map[*Run]bool
	reports     []timedReport
	// probes holds the engines that are being probed.
	probes map[EndpointRun]*probe
}

// probe is the check whether an engine has ended.
type probe struct {
	interrupted []*Run
	// done is closed after the check, when the interrupted runs are accused or not.
	done chan struct{}
}

type timedReport struct {
	report Report
	at     time.Time
}

// New returns a Tracker that works until Close is called.
func New(ctx context.Context, opts Options) *Tracker {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	ctx, cancel := context.WithCancel(ctx)
	now := time.Now()
	t := &Tracker{
		opts: opts, ctx: ctx, cancel: cancel, ledger: NewLedger(), completions: newCounts(completionWindow, now), durations: durations{start: now},
		running: make(map[qm.Fingerprint]map[*Run]bool), probes: make(map[EndpointRun]*probe),
	}
	t.loop = period.New(ctx, repeatInterval, func(context.Context) { t.repeatConvictions(time.Now()) })
	return t
}

// Close ends the probes.
func (t *Tracker) Close() {
	t.cancel()
	t.loop.Close()
	t.wg.Wait()
}

// ErrConvicted is the cause of the cancellation of a run whose request was convicted.
var ErrConvicted = errors.New("the request ends the engines that run it")

// Run is a run of a request at an engine.
type Run struct {
	tracker      *Tracker
	fingerprints []qm.Fingerprint
	request      qm.RequestID
	endpoint     *qm.Endpoint
	began        time.Time
	stop         context.CancelCauseFunc
	// tested are the fingerprints that the run tests after their sentence.
	tested []qm.Fingerprint
}

// Begin returns a run of a request at an engine, and the fingerprint for which it must not run, 0 if it may. stop is called if it is
// convicted meanwhile. A request without fingerprints may always run.
func (t *Tracker) Begin(
	fps []qm.Fingerprint, request qm.RequestID, e *qm.Endpoint, stop context.CancelCauseFunc,
) (*Run, qm.Fingerprint) {
	now := time.Now()
	r := &Run{tracker: t, fingerprints: fps, request: request, endpoint: e, began: now, stop: stop}
	t.mu.Lock()
	defer t.mu.Unlock()
	if fp := t.refused(fps, now); fp != 0 {
		return nil, fp
	}
	for _, fp := range fps {
		if t.ledger.Verdict(fp, now) == OnTrial {
			t.ledger.BeginTest(fp, now)
			r.tested = append(r.tested, fp)
			t.opts.Log.Info("convicted request runs as a test", logs.Fingerprint, formatFingerprint(fp), logs.Endpoint, e.ID)
		}
		if t.running[fp] == nil {
			t.running[fp] = make(map[*Run]bool)
		}
		t.running[fp][r] = true
	}
	t.durations.begin(now)
	return r, 0
}

// Refused returns the fingerprint for which a request must not run, 0 if it may.
func (t *Tracker) Refused(fps []qm.Fingerprint) qm.Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused(fps, time.Now())
}

// refused implements Refused. The caller holds t.mu.
func (t *Tracker) refused(fps []qm.Fingerprint, now time.Time) qm.Fingerprint {
	for _, fp := range fps {
		switch v := t.ledger.Verdict(fp, now); {
		case v == Convicted, v == OnTrial && !t.opts.IsFirst(fp):
			return fp
		}
	}
	return 0
}

// Completed records that the engine ran the request to its end.
func (r *Run) Completed() {
	t := r.tracker
	t.mu.Lock()
	r.remove()
	now := time.Now()
	t.durations.complete()
	for _, fp := range r.fingerprints {
		t.completions.add(fp, r.request, now)
	}
	acquitted := t.acquit(r.fingerprints, r.request, now)
	if len(acquitted) > 0 {
		t.queue(Report{Kind: ReportCompleted, Fingerprints: acquitted, Request: r.request}, now)
		t.count(ReportCompleted)
	}
	t.mu.Unlock()
	if len(acquitted) > 0 {
		t.opts.Log.Info("accused request completed", "Fingerprints", formatFingerprints(acquitted), logs.Endpoint, r.endpoint.ID)
		t.opts.Announce()
	}
}

// acquit records a completion of fingerprints and returns those that were accused or convicted. The caller holds t.mu.
func (t *Tracker) acquit(fps []qm.Fingerprint, request qm.RequestID, at time.Time) []qm.Fingerprint {
	var acquitted []qm.Fingerprint
	for _, fp := range fps {
		if t.ledger.Acquit(fp, request, at) {
			acquitted = append(acquitted, fp)
		}
	}
	return acquitted
}

// Abandoned records that the run ended without a result that says something about the engine.
func (r *Run) Abandoned() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.remove()
	r.abandonTests()
}

// abandonTests records that the run is no test of its fingerprints. The caller holds the tracker's lock.
func (r *Run) abandonTests() {
	for _, fp := range r.tested {
		r.tracker.ledger.AbandonTest(fp)
	}
}

// Interrupted records that the connection to the engine ended before the response was complete. If the engine has ended, the request is
// accused. The returned channel is closed when that is decided.
func (r *Run) Interrupted() <-chan struct{} {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r.remove()
	if len(r.fingerprints) == 0 || t.ctx.Err() != nil {
		return closed
	}
	if r.endpoint.State == qm.Leaving {
		r.abandonTests()
		t.logNotAccused([]*Run{r}, "the engine was leaving")
		return closed
	}
	run := EndpointRun{r.endpoint.ID, r.endpoint.Incarnation}
	p := t.probes[run]
	if p == nil {
		p = &probe{done: make(chan struct{})}
		t.probes[run] = p
		at := time.Now()
		t.wg.Go(func() {
			defer close(p.done)
			t.probe(r.endpoint, run, at)
		})
	}
	p.interrupted = append(p.interrupted, r)
	return p.done
}

// closed is a channel that is closed.
var closed = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// EndsOf returns the number of engines that ended while they ran a request with these fingerprints and this ID.
func (t *Tracker) EndsOf(fps []qm.Fingerprint, request qm.RequestID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.EndsOf(fps[0], request)
}

// RefusedUntil returns the time until which a fingerprint is refused, zero if it is not. One run follows as a test.
func (t *Tracker) RefusedUntil(fp qm.Fingerprint) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.ConvictedUntil(fp, time.Now())
}

// remove removes the run from those in progress. The caller holds the tracker's lock.
func (r *Run) remove() {
	r.tracker.durations.end(r.began, time.Now())
	for _, fp := range r.fingerprints {
		runs := r.tracker.running[fp]
		delete(runs, r)
		if len(runs) == 0 {
			delete(r.tracker.running, fp)
		}
	}
}

// probe accuses the interrupted requests of an engine if it has ended. at is the time of the first interruption.
func (t *Tracker) probe(e *qm.Endpoint, run EndpointRun, at time.Time) {
	ctx, cancel := context.WithTimeout(t.ctx, probeTimeout)
	defer cancel()
	timer := time.NewTimer(probeDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	err := t.opts.Probe(ctx, e)
	t.mu.Lock()
	accused := t.probes[run].interrupted
	delete(t.probes, run)
	t.mu.Unlock()
	if !errors.Is(err, syscall.ECONNREFUSED) {
		// The connection was reset, or the engine can't be reached: neither shows that its process has ended.
		t.notAccused(accused, "its port is open or can't be reached")
		return
	}
	if !e.IsExpected(t.opts.Lookup(e.ID)) {
		t.notAccused(accused, "the engine leaves or was replaced")
		return // a planned end
	}
	requests, fingerprints := identify(accused)
	t.opts.Log.Info("engine ended while it ran requests", logs.Endpoint, e.ID, "Incarnation", run.Incarnation, "Address", e.Address,
		"Requests", requests, "Fingerprints", fingerprints)
	for _, r := range accused {
		t.apply(Report{
			Kind: ReportEnded, Fingerprints: r.fingerprints, Completions: t.completionsOf(r.fingerprints), Request: r.request, Run: run,
			Ran: at.Sub(r.began),
		}, at)
	}
	t.opts.Announce()
}

// ApplyReport applies a report of another router and reports whether it was new.
func (t *Tracker) ApplyReport(r Report) bool {
	if r.Age > maxReportAge || len(r.Fingerprints) == 0 || r.Fingerprints[0] == 0 {
		return false
	}
	return t.apply(r, time.Now().Add(-r.Age))
}

// apply applies a report of an observation at a time, and queues it if it was new.
func (t *Tracker) apply(r Report, at time.Time) bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var isNew bool
	var convicted qm.Fingerprint
	switch r.Kind {
	case ReportEnded:
		a := Accusation{
			Fingerprints: r.Fingerprints, Completions: r.Completions, Request: r.Request, Run: r.Run, Began: at.Add(-r.Ran), At: at,
		}
		if isNew = t.ledger.Record(a); isNew {
			t.acquitCompleted(r.Fingerprints, at)
			t.ledger.SetRunTime(t.durations.mean(now))
			convicted = t.ledger.Judge(a)
		}
	case ReportCompleted:
		isNew = len(t.acquit(r.Fingerprints, r.Request, at)) > 0
	case ReportConvicted:
		if isNew = t.ledger.Convict(r.Fingerprints[0], at.Add(-r.Ran), at.Add(r.For), now); isNew {
			convicted = r.Fingerprints[0]
		}
	}
	if isNew {
		t.queue(r, at)
		t.count(r.Kind)
	}
	if convicted != 0 {
		stopped := t.running[convicted]
		t.opts.Log.Info("request convicted", logs.Fingerprint, formatFingerprint(convicted), logs.Endpoint, r.Run.Endpoint,
			"Incarnation", r.Run.Incarnation, "Stopped", len(stopped))
		for run := range stopped {
			run.stop(ErrConvicted)
		}
	}
	return isNew
}

// acquitCompleted acquits fingerprints that have completed at this router since an end at a time, which it hears of only now, and tells the other
// routers. The caller holds t.mu.
func (t *Tracker) acquitCompleted(fps []qm.Fingerprint, at time.Time) {
	for _, fp := range fps {
		for _, done := range t.completions.after(fp, at) {
			if t.ledger.Acquit(fp, done.request, done.at) {
				t.queue(Report{Kind: ReportCompleted, Fingerprints: []qm.Fingerprint{fp}, Request: done.request}, done.at)
			}
		}
	}
}

// completionsOf returns how many runs with each fingerprint completed lately at this router.
func (t *Tracker) completionsOf(fps []qm.Fingerprint) []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]int, 0, len(fps))
	for _, fp := range fps {
		out = append(out, t.completions.count(fp, time.Now()))
	}
	return out
}

// count counts a report that was new.
func (t *Tracker) count(k ReportKind) {
	t.opts.Scope.Tagged(map[string]string{"kind": k.String()}).Counter("request_reports").Inc(1)
}

// queue queues a report for other routers. The caller holds t.mu.
func (t *Tracker) queue(r Report, at time.Time) {
	t.reports = append(t.reports, timedReport{r, at})
	if over := len(t.reports) - maxReports; over > 0 {
		t.reports = append(t.reports[:0:0], t.reports[over:]...)
	}
}

// TakeReports returns the reports that were queued since the last call, oldest first.
func (t *Tracker) TakeReports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Report, 0, len(t.reports))
	for _, r := range t.reports {
		r.report.Age = time.Since(r.at)
		out = append(out, r.report)
	}
	t.reports = nil
	return out
}

// repeatConvictions queues the convictions that this router is responsible for.
func (t *Tracker) repeatConvictions(now time.Time) {
	t.mu.Lock()
	n := 0
	convictions := t.ledger.Convictions(now)
	t.opts.Scope.Gauge("requests_convicted").Update(float64(len(convictions)))
	for _, c := range convictions {
		if t.opts.IsFirst(c.Fingerprint) {
			n++
			t.queue(Report{Kind: ReportConvicted, Fingerprints: []qm.Fingerprint{c.Fingerprint}, Ran: now.Sub(c.At), For: c.Until.Sub(now)}, now)
		}
	}
	t.mu.Unlock()
	if n > 0 {
		t.opts.Announce()
	}
}

// IsFirst reports whether self is the router that tests a convicted request and repeats its conviction, by rendezvous hashing over the live
// routers.
func IsFirst(members qm.Members, self qm.InstanceID, fp qm.Fingerprint) bool {
	score := func(id qm.InstanceID) uint64 {
		var h xxhash.Digest
		h.ResetWithSeed(uint64(fp))
		_, _ = h.WriteString(string(id))
		return h.Sum64()
	}
	own := score(self)
	for _, m := range members {
		if !m.IsSelf && m.State == qm.Live && score(m.Instance) > own {
			return false
		}
	}
	return true
}

func formatFingerprint(fp qm.Fingerprint) string { return strconv.FormatUint(uint64(fp), 16) }

func formatFingerprints(fps []qm.Fingerprint) []string {
	out := make([]string, 0, len(fps))
	for _, fp := range fps {
		out = append(out, formatFingerprint(fp))
	}
	return out
}

// identify returns the requests and the fingerprints of runs, for the log.
func identify(runs []*Run) (requests []qm.RequestID, fingerprints [][]string) {
	for _, r := range runs {
		requests, fingerprints = append(requests, r.request), append(fingerprints, formatFingerprints(r.fingerprints))
	}
	return requests, fingerprints
}

// notAccused ends runs at one engine whose interruption is not held against their requests.
func (t *Tracker) notAccused(runs []*Run, cause string) {
	t.mu.Lock()
	for _, r := range runs {
		r.abandonTests()
	}
	t.mu.Unlock()
	t.logNotAccused(runs, cause)
}

// logNotAccused logs that the interruption of runs at one engine is not held against their requests.
func (t *Tracker) logNotAccused(runs []*Run, cause string) {
	requests, fingerprints := identify(runs)
	t.opts.Log.Info("interrupted requests not accused", logs.Endpoint, runs[0].endpoint.ID, "Incarnation", runs[0].endpoint.Incarnation,
		"Requests", requests, "Fingerprints", fingerprints, "Cause", cause)
}
