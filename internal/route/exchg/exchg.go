// Package exchg runs exchanges: it selects an endpoint, forwards the exchange to it, relays the response, and retries at another
// endpoint where that is safe.
//
// The pure function nextAction decides what follows a failed attempt. An exchange that the endpoint did not run may go to another
// endpoint; one that it may have run is retried only if the route's kind allows repetition. Once an exchange has reached an endpoint,
// each further attempt takes a retry from the budget that all routers share. Once part of a response was delivered, the response is only
// continued, never replaced by another one.
//
// An endpoint that is silent may be sound and go on. If the exchange may be repeated, a takeover tries other endpoints beside it, and the
// attempt at the silent one ends only when another endpoint has a response, or with its own connection.
package exchg

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/ending"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/infra/logs"
	"quetzalmount.dev/quetzalmount/internal/infra/meter"
	"quetzalmount.dev/quetzalmount/internal/limit/fatal"
	"quetzalmount.dev/quetzalmount/internal/limit/pause"
	"quetzalmount.dev/quetzalmount/internal/limit/shed"
	"quetzalmount.dev/quetzalmount/internal/route/lane"
	"quetzalmount.dev/quetzalmount/internal/route/retry"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// Writer writes the response to one exchange to the caller. An error of any method means that the caller has disconnected.
type Writer interface {
	// WriteComplete writes a complete response.
	WriteComplete(resp *qm.Response, body []byte) error
	// BeginStream writes the head of a streamed response, WriteEvents one or more whole events, and EndStream the end of the response.
	// flush is true if no further whole event has been received yet.
	BeginStream(resp *qm.Response) error
	WriteEvents(raw []byte, flush bool) error
	EndStream() error
}

// Deps are the dependencies of a Runner.
type Deps struct {
	Board  *board.Board
	Client qm.ExchangeClient
	// Engines selects model engines, Services processes of plain services.
	Engines, Services qm.Placer
	Health            qm.Health
	// Pauses holds the endpoints that have asked for no requests; nil for none.
	Pauses *pause.Table
	// Lanes separates long prompts from short streams; nil for not at all.
	Lanes *lane.Lanes
	// Fatal recognises requests that end engines; nil for none.
	Fatal *fatal.Tracker
	// Probe probes the endpoint of a response that ended with its connection; nil if such responses are always whole.
	Probe ending.ProbeFunc
	// RetryBudget bounds the retries at each group of endpoints over all routers.
	RetryBudget *retry.GroupBudget
	Observer    Observer
	// DataCentre is this router's data centre. A cache store there is preferred over others.
	DataCentre qm.DataCentre
	// CacheStoreUnavailable reports whether the cache store is unreachable or disabled.
	CacheStoreUnavailable func() bool
	// ManyRouters reports whether there are so many routers that each knows little of the load that the others cause.
	ManyRouters func() bool
	// OldWeightsGrace is how long engines with older weights may be used after newer ones became the desired weights; 0 means no limit.
	OldWeightsGrace time.Duration
	Meter           *meter.Meter
	Log             logr.Logger
}

// Observer receives the state of endpoints that responses report.
type Observer interface {
	// RecordVersion records the weights version of a model that an endpoint reported.
	RecordVersion(id qm.EndpointID, model qm.ModelID, v qm.VersionID)
	// RecordMisdirected records that a request was answered as misdirected. versioned reports whether it named the expected weights.
	RecordMisdirected(e *qm.Endpoint, versioned bool)
}

// Runner runs exchanges. It is safe for concurrent use.
type Runner struct {
	deps Deps
	// endings is nil without Deps.Probe.
	endings *ending.Checker
}

// New returns a Runner.
func New(deps Deps) *Runner {
	r := &Runner{deps: deps}
	if deps.Probe != nil {
		r.endings = ending.New(deps.Probe, deps.Board.Endpoint)
	}
	return r
}

// configuration returns the version of the configuration in force, 0 if there is none.
func (r *Runner) configuration() int64 {
	if routes, ok := r.deps.Board.Routes.Load(); ok {
		return routes.Version
	}
	return 0
}

// Run runs x and writes its response to w. It returns nil if a complete response was written, else an *quetzalmount.Error whose outcome
// says whether an endpoint may have run the exchange. The error wraps ErrIncomplete if part of a response was written.
func (r *Runner) Run(ctx context.Context, x *qm.Exchange, w Writer) error {
	ctx, cancel := context.WithDeadlineCause(ctx, x.EffectiveDeadline, errDeadline)
	defer cancel()
	r.deps.RetryBudget.RecordRequest(x.Group, x.Received)
	t := &task{runner: r, x: x, writer: w, lastEvent: x.LastEventID, configuration: r.configuration()}
	defer t.close()
	if r.deps.Fatal != nil {
		t.fingerprints = x.Fingerprints()
	}
	err := t.runAttempts(ctx)
	r.recordOutcome(x, t, err)
	return err
}

// ErrIncomplete is wrapped by errors that end a response after part of it was written.
var ErrIncomplete = errors.New("answer is incomplete")

// ErrStopping is the cause of the cancellation of exchanges that must be answered because this router ends.
var ErrStopping = errors.New("router is stopping")

// stoppingRetryAfter is the Retry-After time of an exchange that was not run because this router ends. The caller can go to another one at once.
const stoppingRetryAfter = 10 * time.Millisecond

var (
	errDeadline   = errors.New("request deadline exceeded")
	errCallerLeft = errors.New("caller disconnected")
	errTakenOver  = errors.New("endpoint was silent and another one has taken over")
	errNotNeeded  = errors.New("the endpoint that ran the request before has gone on")
)

// task is the state of one exchange over all its attempts.
type task struct {
	runner *Runner
	x      *qm.Exchange
	writer Writer
	// fingerprints are those of the exchange, nil if fatal requests are not recognised.
	fingerprints []qm.Fingerprint
	// configuration is the version of the configuration in force when the exchange began.
	configuration int64
	// lastEvent is the ID of the last event that was delivered.
	lastEvent string
	// eventAt is when the head or the last event was delivered, zero before.
	eventAt time.Time
	// rounds counts the waits of askAgain.
	rounds int
	// started is true once the head of a streamed response was written. It changes with the lock of the current watch.
	started bool
	// firstByte is the time from the receipt of the request to the first event or the complete response, 0 before.
	firstByte time.Duration
	// longestGap is the longest time between two events.
	longestGap time.Duration
	// next is the attempt that has taken over from the last one, nil if none has.
	next *endpointRun

	// mu guards the fields below, which attempts of a takeover change too.
	mu     sync.Mutex
	counts attemptCounts
	// exclude lists the endpoints whose attempts failed, mayHaveRoom those of them that were full or not reached.
	exclude, mayHaveRoom []qm.EndpointID
	// history holds one record for each attempt, for the log.
	history []attemptRecord
	// fallback is a complete response with a server error, which is written if no later attempt succeeds.
	fallback *completeResponse
	// bodies are those of complete responses. They are closed with the task, since what was read stays in memory until it was written.
	bodies []io.Closer
}

// close releases the memory of complete responses.
func (t *task) close() {
	for _, b := range t.bodies {
		_ = b.Close()
	}
}

type completeResponse struct {
	response *qm.Response
	body     []byte
}

// attemptRecord describes one attempt. Its fields are written to the log under their own names.
type attemptRecord struct {
	Endpoint qm.EndpointID
	Address  string
	Reason   string
	// Expected is the predicted time to first token, Took the duration of the attempt, both in milliseconds.
	Expected, Took float64
	Version        qm.VersionID `json:",omitempty"`
	// Prompt counts the tokens of the prompt, Hit those expected in the endpoint's cache. Source is the endpoint from which it
	// fetches further cache entries.
	Prompt, Hit qm.Tokens     `json:",omitempty"`
	Source      qm.EndpointID `json:",omitempty"`
	Outcome     string
	// Reused and SentBefore are those of the attempt's ConnUse.
	Reused     bool `json:",omitempty"`
	SentBefore bool `json:",omitempty"`
	// EndedBy is what ended an attempt that failed, and SilentMs the time in milliseconds for which the endpoint had sent nothing by then.
	EndedBy  endCause `json:",omitempty"`
	SilentMs float64  `json:",omitempty"`
}

// endCause is what ended an attempt.
type endCause string

const (
	// endedByEndpoint means that the endpoint failed, refused or broke off the attempt, or that the kernel closed its connection.
	endedByEndpoint endCause = "Endpoint"
	endedBySilence  endCause = "Silence"
	endedByDeadline endCause = "Deadline"
	endedByCaller   endCause = "Caller"
	// endedByProgress means that the attempt was part of a takeover, and another endpoint had progress before it.
	endedByProgress endCause = "Progress"
	// endedByRouter means that this router stops, or refuses the request.
	endedByRouter endCause = "Router"
)

// endCauseOf returns what ended an attempt with the error err, empty if it succeeded. ctx is that of the attempt.
func endCauseOf(ctx context.Context, err error) endCause {
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		return ""
	case errors.Is(err, errCallerLeft):
		return endedByCaller
	case ctx.Err() == nil:
		return endedByEndpoint
	case errors.Is(cause, errTakenOver):
		return endedBySilence
	case errors.Is(cause, errNotNeeded):
		return endedByProgress
	case errors.Is(cause, errDeadline):
		return endedByDeadline
	case errors.Is(cause, ErrStopping), errors.Is(cause, fatal.ErrConvicted):
		return endedByRouter
	}
	return endedByCaller
}

// runAttempts makes attempts until one succeeds or no further one is allowed.
func (t *task) runAttempts(ctx context.Context) error {
	for {
		err := t.attempt(ctx)
		if err == nil {
			return nil
		}
		if t.next != nil {
			continue
		}
		if e := qm.AsError(err); !t.mayTryNext(ctx, e) && !t.askAgain(ctx, e) {
			return t.conclude(ctx, e)
		}
	}
}

// failedAttempt returns the input of the decisions after an attempt that ended with e.
func (t *task) failedAttempt(e *qm.Error) failedAttempt {
	return failedAttempt{
		kind: t.x.Route.Kind, maxRuns: t.x.Route.MaxAttempts, counts: t.counts, rounds: t.rounds, err: e, left: time.Until(t.x.EffectiveDeadline),
	}
}

// mayTryNext reports whether another attempt follows one that ended with e, and takes the unit of the retry budget that it needs.
func (t *task) mayTryNext(ctx context.Context, e *qm.Error) bool {
	next, needsRetry := nextAction(t.failedAttempt(e))
	return next == tryNext && ctx.Err() == nil && (!needsRetry || t.runner.deps.RetryBudget.TakeRetry(t.x.Group, time.Now()))
}

// askAgain waits until another endpoint may be asked to go on with a stream that has begun. It returns false if none is to be asked.
func (t *task) askAgain(ctx context.Context, e *qm.Error) bool {
	for ctx.Err() == nil && t.started && mayAskAgain(t.failedAttempt(e), t.x.Route, time.Since(t.eventAt)) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(askAgainInterval):
		}
		t.rounds++
		t.exclude = slices.DeleteFunc(t.exclude, func(id qm.EndpointID) bool { return slices.Contains(t.mayHaveRoom, id) })
		t.mayHaveRoom = nil
		if t.runner.deps.RetryBudget.TakeRetry(t.x.Group, time.Now()) {
			return true
		}
	}
	return false
}

// conclude ends an exchange whose last attempt failed with e. It writes the fallback response if there is one, else it returns the error
// with the outcome over all attempts.
func (t *task) conclude(ctx context.Context, e *qm.Error) error {
	stopping, late := errors.Is(context.Cause(ctx), ErrStopping), errors.Is(context.Cause(ctx), errDeadline)
	if t.fallback != nil && !t.started && (ctx.Err() == nil || stopping || late) {
		return t.writer.WriteComplete(t.fallback.response, t.fallback.body)
	}
	out := *e
	switch {
	case late:
		out.Code = qm.CodeTimeout
	case stopping:
		out.Code, out.Step, out.Message = qm.CodeLeaving, "deliver", "this router stops before the answer has arrived"
		out.RetryAfter = stoppingRetryAfter
	case ctx.Err() != nil, errors.Is(e, errCallerLeft):
		out.Code, out.Step, out.Message = qm.CodeCallerLeft, "deliver", "the caller disconnected before its answer was complete"
	}
	if t.counts.possibleRuns > 0 {
		out.Outcome = qm.OutcomeUnknown
	}
	if t.started {
		return out.WithCause(errors.WithMessage(ErrIncomplete, out.Message))
	}
	return &out
}

// attempt goes on with the attempt that has taken over, or selects an endpoint and sends the exchange to it. It relays the response and
// sets next if another attempt has taken over meanwhile.
func (t *task) attempt(ctx context.Context) error {
	a := t.next
	t.next = nil
	if a == nil {
		began := time.Now()
		p, err := t.placeAfterPauses(ctx)
		t.runner.deps.Meter.Step(meter.StepPlace, time.Since(began))
		if err != nil {
			return err
		}
		a = newEndpointRun(ctx, p)
	}
	w := &watch{task: t, ctx: ctx, run: a}
	err := t.deliver(a, w)
	t.next = w.stop(err)
	t.finish(ctx, a, err)
	return err
}

// finish closes an attempt that ended with err and records its result.
func (t *task) finish(ctx context.Context, a *endpointRun, err error) {
	cause := endCauseOf(a.ctx, err)
	if a.end != nil {
		a.end(a.ctx, a.answered, err)
	}
	a.close()
	a.finished(time.Now())
	if t.runner.deps.Lanes != nil && t.x.Model != "" && !a.firstAt.IsZero() {
		t.runner.deps.Lanes.RecordEnd(t.x.Group, t.x.Route.ID, time.Since(a.firstAt), time.Now())
	}
	a.ended(err == nil || qm.AsError(err).Outcome != qm.OutcomeNotRun)
	record := attemptRecord{
		Endpoint: a.placement.Endpoint.ID, Address: a.placement.Endpoint.Address, Reason: a.placement.Reason,
		Expected: millis(a.placement.ExpectedTTFT), Took: millis(time.Since(a.began)), Version: a.exchangeAttempt.Version, Outcome: outcomeText(err),
		Prompt: a.placeRequest.PromptTokens, Hit: a.placement.CachedTokens,
		Reused: a.exchangeAttempt.Conn.Reused, SentBefore: a.exchangeAttempt.Conn.SentBefore,
	}
	if err != nil && !a.sentAt.IsZero() {
		record.EndedBy, record.SilentMs = cause, millis(time.Since(a.progressAt))
	}
	if a.placement.CacheSource != nil {
		record.Source = a.placement.CacheSource.ID
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.add(err)
	t.history = append(t.history, record)
	t.reportHealth(ctx, a, err)
}

// reportHealth reports the result of an attempt to the endpoint's health and metrics, and excludes the endpoint if it failed. The caller
// holds mu.
func (t *task) reportHealth(ctx context.Context, p *endpointRun, err error) {
	series := t.runner.deps.Meter.Endpoint(p.placement.Endpoint.ID)
	if err == nil {
		series.AttemptEnded(true)
		p.healthAttempt.Succeeded()
		return
	}
	e := qm.AsError(err)
	if errors.Is(err, fatal.ErrConvicted) || e.Code == qm.CodeFatalRequest {
		// The run was stopped or not begun because of the request.
		p.healthAttempt.Abandoned()
		return
	}
	if e.Code == qm.CodeOverload {
		// This router had no socket for the attempt.
		p.healthAttempt.Abandoned()
		return
	}
	if errors.Is(err, errCallerLeft) || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline) || errors.Is(context.Cause(p.ctx), errNotNeeded) {
		// The caller disconnected or the attempt was not needed any more, which says nothing about the endpoint.
		p.healthAttempt.Abandoned()
		return
	}
	series.AttemptEnded(false)
	if errors.Is(err, qm.ErrWrongRequest) {
		t.runner.deps.Meter.WrongRequest()
	}
	t.exclude = append(t.exclude, p.placement.Endpoint.ID)
	if e.Code == qm.CodeEndpointFull || e.Code == qm.CodeEndpointUnreached {
		t.mayHaveRoom = append(t.mayHaveRoom, p.placement.Endpoint.ID)
	}
	if e.Code == qm.CodeMisdirected {
		t.runner.deps.Observer.RecordMisdirected(p.placement.Endpoint, p.exchangeAttempt.Version != "")
	}
	switch e.Code {
	case qm.CodeEndpointFull, qm.CodeMisdirected, qm.CodeEndpointAnsweredError:
		// The endpoint answered, so this counts neither as a success nor as a failure.
		p.healthAttempt.Abandoned()
	default:
		p.healthAttempt.Failed(err)
	}
}

// deliver sends the exchange to the endpoint of a, unless a has a response already, and relays the response.
func (t *task) deliver(a *endpointRun, w *watch) error {
	w.begin(t.stallTimeout(false, a.placement.ExpectedTTFT))
	if a.response == nil {
		if err := t.open(a); err != nil {
			return err
		}
	}
	if !t.mayRepeat() {
		t.x.DropBody()
	}
	if a.isStream {
		return t.timeoutError(a, t.relayEvents(a, w))
	}
	return t.timeoutError(a, t.relayComplete(a, w))
}

// open sends the exchange to the endpoint of a and waits for the head of the response.
func (t *task) open(a *endpointRun) error {
	end, err := t.beginRun(a.placedAttempt, a.cancel)
	if err != nil {
		return err
	}
	a.end = end
	a.sentAt = time.Now()
	a.progressAt = a.sentAt
	a.response, err = t.runner.deps.Client.Send(a.ctx, t.x, a.exchangeAttempt)
	a.headAt = time.Now()
	t.runner.deps.Meter.Step(meter.StepHead, a.headAt.Sub(a.sentAt))
	if err != nil {
		a.response = nil
		return t.timeoutError(a, err)
	}
	a.progressAt = a.headAt
	a.answered = a.response.Status < 300
	a.isStream = t.x.Route.Kind.IsStreamed() && a.answered
	t.observeVersion(a.placedAttempt, a.response)
	return nil
}

// stallTimeout returns how long the current attempt may be silent before a takeover is tried; see the function of that name.
func (t *task) stallTimeout(started bool, expected time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return stallTimeout(t.x, t.counts, started, expected, time.Until(t.x.EffectiveDeadline))
}

// ended counts the attempts that have ended.
func (t *task) ended() attemptCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// mayRepeat reports whether another run may follow the current attempt, or the one that is placed next.
func (t *task) mayRepeat() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.x.Route.Kind.IsRepeatable() && t.counts.possibleRuns+1 < t.x.Route.MaxAttempts
}

// beginRun registers a run of the exchange with Deps.Fatal, which calls stop if the request must not run any more. The returned function
// ends the run; answered is set if the endpoint answered with success, and its error is that of the attempt.
func (t *task) beginRun(p *placedAttempt, stop context.CancelCauseFunc) (end func(ctx context.Context, answered bool, err error), err error) {
	if t.runner.deps.Fatal == nil {
		return func(context.Context, bool, error) {}, nil
	}
	run, refused := t.runner.deps.Fatal.Begin(t.fingerprints, t.x.Request, p.placement.Endpoint, stop)
	if refused != 0 {
		return nil, t.fatalError(refused)
	}
	return func(ctx context.Context, answered bool, err error) {
		switch {
		case err == nil && answered:
			run.Completed()
		case err != nil && ctx.Err() == nil && qm.AsError(err).Code == qm.CodeEndpointFailed && qm.AsError(err).Outcome != qm.OutcomeNotRun:
			run.Interrupted()
		default:
			run.Abandoned()
		}
	}, nil
}

// fatalError returns the refusal of an exchange that must not run.
func (t *task) fatalError(fp qm.Fingerprint) error {
	what := "equal requests"
	if fp != t.fingerprints[0] {
		what = "requests with the same part of a prompt"
	}
	return qm.Refuse(qm.CodeFatalRequest, "admit", "%s ended the engines that ran them; %x is refused", what, uint64(fp))
}

// timeoutError returns a timeout error in place of an err that is only the effect of the attempt's context being cancelled. It returns
// err unchanged if the context is not done, the caller disconnected or the endpoint certainly did not run the exchange.
func (t *task) timeoutError(a *endpointRun, err error) error {
	ctx := a.ctx
	if err == nil || ctx.Err() == nil || errors.Is(err, errCallerLeft) || qm.AsError(err).Outcome == qm.OutcomeNotRun {
		return err
	}
	e, cause := qm.AsError(err), context.Cause(ctx)
	out := qm.Fail(qm.CodeTimeout, "answer", a.placement.Endpoint.Address, cause)
	out.Message = e.Step + ": " + e.Message
	if !strings.Contains(e.Message, cause.Error()) {
		out.Message += ": " + cause.Error()
	}
	return out
}

// observeVersion reports the weights version in a response to the Observer.
func (t *task) observeVersion(p *placedAttempt, resp *qm.Response) {
	e := p.placement.Endpoint
	if resp.Version != "" {
		t.runner.deps.Observer.RecordVersion(e.ID, t.x.Model, resp.Version)
	}
}

// relayComplete reads a complete response and writes it to the caller. It keeps a server error as the fallback if the exchange may be
// repeated, since another endpoint may succeed.
func (t *task) relayComplete(a *endpointRun, w *watch) error {
	if err := t.readComplete(a, w, 0); err != nil {
		return err
	}
	if t.started {
		return notResumable(a)
	}
	if err := t.keepFallback(a); err != nil {
		return err
	}
	if !w.progressed() {
		return errTakenOver
	}
	t.firstByte = time.Since(t.x.Received)
	t.recordFirstByte(a.placedAttempt, time.Now())
	if err := t.writer.WriteComplete(a.response, a.complete.body); err != nil {
		return errors.WithMessage(errCallerLeft, err.Error())
	}
	return nil
}

// notResumable returns the error for a complete response in place of the rest of a stream.
func notResumable(a *endpointRun) error {
	return qm.Fail(qm.CodeEndpointFailed, "resume", a.placement.Endpoint.Address, errors.Errorf("got status %d, want an event stream", a.response.Status))
}

// readComplete reads the body of a complete response, unless that was done before. It reads up to limit bytes if limit is positive; a.complete
// stays nil if there are more. w watches the attempt, nil if it is not watched.
func (t *task) readComplete(a *endpointRun, w *watch, limit int64) error {
	if a.complete != nil {
		return nil
	}
	if a.limited == nil {
		a.limited = pool.LimitBody(a.ctx, a.response.Body, pool.EndpointBudget)
		t.mu.Lock()
		t.bodies = append(t.bodies, a.limited)
		t.mu.Unlock()
	}
	r := io.Reader(a.limited)
	if limit > 0 {
		r = io.LimitReader(r, limit)
	}
	part, err := io.ReadAll(r)
	if a.body = append(a.body, part...); err != nil {
		_ = a.limited.Close()
		return qm.Fail(qm.CodeEndpointFailed, "read body", a.placement.Endpoint.Address, err)
	}
	if limit > 0 && int64(len(part)) == limit {
		return nil
	}
	if err := t.checkWhole(a, w, "read body"); err != nil {
		return err
	}
	a.complete = &completeResponse{a.response, a.body}
	return nil
}

// keepFallback keeps a complete response with a server error as the fallback if the exchange may be repeated, and returns an error then.
func (t *task) keepFallback(a *endpointRun) error {
	status := a.response.Status
	// A large response is written at once: it keeps others from being read while it is kept.
	if status < 500 || !t.x.Route.Kind.IsRepeatable() || a.limited.IsLarge() {
		return nil
	}
	t.mu.Lock()
	t.fallback = a.complete
	t.mu.Unlock()
	return qm.Fail(qm.CodeEndpointAnsweredError, "answer", a.placement.Endpoint.Address, errors.Errorf("server error, status %d", status))
}

// relayEvents relays the events of a stream as they arrive, except those that an earlier attempt delivered.
func (t *task) relayEvents(a *endpointRun, w *watch) error {
	peer := a.placement.Endpoint.Address
	resumed := t.started
	if !t.started {
		if err := w.beginStream(); err != nil {
			return err
		}
	}
	gotEvent, firstAt := false, time.Time{}
	for {
		raw, id, err := a.nextEvent()
		if isCleanEnd(err) {
			if err := t.checkWhole(a, w, "read events"); err != nil {
				return err
			}
			if !gotEvent {
				return errNoEvents(a)
			}
			if !w.progressed() {
				return errTakenOver
			}
			t.runner.deps.Meter.Step(meter.StepRest, time.Since(firstAt))
			if err := t.writer.EndStream(); err != nil {
				return errors.WithMessage(errCallerLeft, err.Error())
			}
			return nil
		}
		if err != nil {
			return qm.Fail(qm.CodeEndpointFailed, "read events", peer, err)
		}
		if resumed && !hasNumber(id) {
			return errNoNumber(a, id)
		}
		if !w.progressed() {
			return errTakenOver
		}
		a.progressAt = time.Now()
		if !gotEvent {
			gotEvent = true
			if t.firstByte == 0 {
				t.firstByte = time.Since(t.x.Received)
			}
			firstAt = time.Now()
			t.recordFirstByte(a.placedAttempt, firstAt)
		}
		hasNext := a.events.hasNext()
		if !alreadyDelivered(id, t.lastEvent) {
			if err := t.writer.WriteEvents(raw, !hasNext); err != nil {
				return errors.WithMessage(errCallerLeft, err.Error())
			}
			if now := time.Now(); t.lastEvent != "" {
				t.longestGap, t.eventAt = max(t.longestGap, now.Sub(t.eventAt)), now
			} else {
				t.eventAt = now
			}
			if id != "" {
				t.lastEvent = id
			}
		}
		if !hasNext {
			w.begin(t.stallTimeout(true, 0))
		}
	}
}

func errNoEvents(a *endpointRun) error {
	return qm.Fail(qm.CodeEndpointFailed, "read events", a.placement.Endpoint.Address, errors.New("stream ended without an event"))
}

func errNoNumber(a *endpointRun, id string) error {
	return qm.Fail(qm.CodeEndpointFailed, "resume", a.placement.Endpoint.Address, errors.Errorf("got text with event ID %q, want a numbered event", id))
}

// checkWhole checks the end of a response that was read without an error. It returns an error if the response ends with its connection, and its
// endpoint may have ended with it.
func (t *task) checkWhole(a *endpointRun, w *watch, step string) error {
	if !a.response.EndsWithConnection || t.runner.endings == nil {
		return nil
	}
	if w != nil {
		// The endpoint has sent all. The check is a wait of its own.
		if !w.progressed() {
			return errTakenOver
		}
		w.begin(t.stallTimeout(t.started, a.placement.ExpectedTTFT))
	}
	if err := t.runner.endings.CheckAlive(a.ctx, a.placement.Endpoint); err != nil {
		return qm.Fail(qm.CodeEndpointFailed, step, a.placement.Endpoint.Address, err)
	}
	return nil
}

// attemptState is the state of an exchange at the start of an attempt.
type attemptState struct {
	// lastEvent is the ID of the last event that was delivered.
	lastEvent string
	// exclude lists the endpoints that must not be tried.
	exclude []qm.EndpointID
	// isFirst is set if no endpoint was reached before.
	isFirst bool
}

// state returns the state of the exchange while no attempt is in progress.
func (t *task) state() attemptState {
	return attemptState{lastEvent: t.lastEvent, exclude: t.exclude, isFirst: t.counts.reached == 0}
}

// placeAttempt selects the endpoint of the next attempt and registers the attempt with placement and health. It refuses the exchange if
// no endpoint is available or if the first token is expected too late.
func (t *task) placeAttempt(state attemptState) (*placedAttempt, error) {
	if t.runner.deps.Fatal != nil {
		if fp := t.runner.deps.Fatal.Refused(t.fingerprints); fp != 0 {
			return nil, t.fatalError(fp)
		}
	}
	now := time.Now()
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	candidates, pausedUntil := t.runner.usable(t.x, state.exclude, now)
	placer := t.runner.deps.Services
	q := &qm.PlaceRequest{
		Team: t.x.Team, Model: t.x.Model, PromptTokens: t.x.PromptTokens, Exclude: state.exclude, NonResumable: !t.mayRepeat(),
	}
	attempt := qm.ExchangeAttempt{LastEventID: state.lastEvent, EndpointPriority: t.x.Priority, Conn: &qm.ConnUse{}}
	var d qm.Placement
	var ok bool
	if t.x.Model != "" {
		placer = t.runner.deps.Engines
		if routes, ok := t.runner.deps.Board.Routes.Load(); ok && !t.runner.deps.CacheStoreUnavailable() {
			q.CacheStore = routes.CacheStoreFor(t.runner.deps.DataCentre)
		}
		d, attempt.Version, ok = t.placeEngine(q, candidates, now, rnd)
	} else {
		d, ok = placer.Place(q, candidates, now, rnd)
	}
	if !ok && !pausedUntil.IsZero() {
		return nil, &pausedError{until: pausedUntil}
	}
	if !ok {
		return nil, qm.Refuse(qm.CodeNoEndpoint, "place", "no endpoint of group %s can take the request now", t.x.Group).
			WithRetryAfter(noEndpointRetryAfter)
	}
	if state.isFirst && t.x.Model != "" {
		after, refuse := shed.Refuse(shed.Request{
			ExpectedTTFT: d.ExpectedTTFT, QueueDelay: d.QueueDelay, Objective: t.x.Route.LatencyObjective,
			Elapsed: now.Sub(t.x.Received), Remaining: t.x.EffectiveDeadline.Sub(now),
		}, rnd)
		if refuse {
			return nil, qm.Refuse(qm.CodeOverload, "admit", "the first token is expected after %d ms, of which %d ms are queueing time; this is too late",
				d.ExpectedTTFT.Milliseconds(), d.QueueDelay.Milliseconds()).WithRetryAfter(after).WithPeer(string(d.Endpoint.ID))
		}
	}
	attempt.Endpoint, attempt.CacheSource = d.Endpoint, d.CacheSource
	if d.SaveToStore {
		attempt.CacheStore = q.CacheStore
	}
	placer.Dispatched(q, d, now)
	if t.runner.deps.Lanes != nil && t.x.Model != "" {
		t.runner.deps.Lanes.RecordStart(t.x.Group, t.x.Route, t.x.PromptTokens, d.ExpectedTTFT-d.QueueDelay, now)
	}
	return &placedAttempt{
		ended:  t.runner.pauseSent(d.Endpoint, now),
		placer: placer, placeRequest: q, placement: d, exchangeAttempt: attempt, healthAttempt: t.runner.deps.Health.Begin(d.Endpoint.ID),
	}, nil
}

// noEndpointRetryAfter is the Retry-After time when no endpoint is available. New endpoints appear and failed ones recover within about
// this time.
const noEndpointRetryAfter = 300 * time.Millisecond

// placedAttempt is an attempt for which an endpoint was selected.
type placedAttempt struct {
	placer          qm.Placer
	placeRequest    *qm.PlaceRequest
	placement       qm.Placement
	exchangeAttempt qm.ExchangeAttempt
	healthAttempt   qm.Attempt
	// ended records in Deps.Pauses whether the endpoint took the request.
	ended func(taken bool)
	// sentAt is when the exchange was sent, headAt when the head of the response arrived or sending failed.
	sentAt, headAt time.Time
	// progressAt is when the endpoint last sent the head or an event, or the exchange was sent.
	progressAt time.Time
	// firstAt is when the first event or the complete response arrived, zero before.
	firstAt time.Time
}

// recordFirstByte reports the arrival of the first event or the complete response to placement and metrics. Responses do not carry the
// number of cached prompt tokens, so the expected number is reported.
func (t *task) recordFirstByte(p *placedAttempt, now time.Time) {
	p.firstAt = now
	p.placer.FirstToken(p.placeRequest, p.placement, p.placement.CachedTokens, now)
	t.runner.deps.Meter.Step(meter.StepFirst, now.Sub(p.headAt))
	t.runner.deps.Meter.Endpoint(p.placement.Endpoint.ID).FirstResponse(now.Sub(p.sentAt))
}

// finished reports to placement that the attempt has ended.
func (p *placedAttempt) finished(now time.Time) { p.placer.Finished(p.placeRequest, p.placement, now) }

// withdraw ends an attempt that is not made.
func (p *placedAttempt) withdraw(now time.Time) {
	p.finished(now)
	p.ended(false)
	p.healthAttempt.Abandoned()
}

// usable returns the endpoints of the exchange's group that may take it, without the excluded ones and those that want no requests now.
// pausedUntil is the earliest time at which one of the latter may take it, zero if there is none.
func (r *Runner) usable(x *qm.Exchange, exclude []qm.EndpointID, now time.Time) (usable []*qm.Endpoint, pausedUntil time.Time) {
	all, _ := r.deps.Board.Endpoints.Load()
	usable = qm.UsableEndpoints(all, r.deps.Health, func(e *qm.Endpoint) bool {
		if e.Group != x.Group || slices.Contains(exclude, e.ID) {
			return false
		}
		if r.deps.Pauses == nil || r.deps.Pauses.MayTake(e.ID, e.Incarnation, now) {
			return true
		}
		// An endpoint whose pause has ended takes more requests when it has answered those that it has.
		until := r.deps.Pauses.Until(e.ID, e.Incarnation, now)
		if until.IsZero() {
			until = now.Add(stepWait)
		}
		if pausedUntil.IsZero() || until.Before(pausedUntil) {
			pausedUntil = until
		}
		return false
	})
	return usable, pausedUntil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// recordOutcome counts the exchange in the metrics and writes one log line. Exchanges that succeeded at the first attempt are sampled;
// the rest of them are logged at debug level.
func (r *Runner) recordOutcome(x *qm.Exchange, t *task, err error) {
	took := time.Since(x.Received)
	outcome, code := qm.OutcomeDone, qm.Code("")
	if err != nil {
		e := qm.AsError(err)
		outcome, code = e.Outcome, e.Code
	}
	r.deps.Meter.Team(x.Team).Request(meter.Class(x.Route.ID), outcome, code, took)
	keys := []any{
		logs.RequestID, x.Request, logs.Team, x.Team, "Route", x.Route.ID, "Kind", x.Route.Kind, "Group", x.Group,
		logs.Outcome, outcome, logs.Code, code, "TookMs", millis(took), "FirstMs", millis(t.firstByte), "GapMs", millis(t.longestGap), "LeftMs", millis(time.Until(x.CallerDeadline)),
		"Attempts", t.history,
	}
	if err != nil {
		r.deps.Log.Error(err, "request failed", append(keys, "Parts", partIDs(x), "Configuration", t.configuration, "ConfigurationAtEnd", r.configuration())...)
		if errors.Is(err, ErrIncomplete) && len(t.history) > 0 {
			r.deps.Meter.BrokenOff(string(t.history[len(t.history)-1].EndedBy))
		}
		return
	}
	switch {
	case len(t.history) > 1:
		r.deps.Log.Info("request answered after a retry", keys...)
	case xxhash.Sum64String(string(x.Request))%responsesPerLogLine == 0:
		r.deps.Log.Info("request answered", keys...)
	default:
		r.deps.Log.V(1).Info("request answered", keys...)
	}
}

// partIDs returns the IDs of the parts of the prompt that other requests may share, for the log.
func partIDs(x *qm.Exchange) []string {
	var out []string
	for _, s := range x.SharedSegments() {
		out = append(out, s.ID)
	}
	return out
}

// responsesPerLogLine is the number of first-attempt responses for each one logged at info level.
const responsesPerLogLine = 16
