// Package exchg runs exchanges: it chooses an endpoint, offers the exchange to it, relays the answer, and tries another endpoint
// where that is allowed.
//
// What follows a failed attempt is decided by next, without input or output. The rules are: what an endpoint did not run may go to
// another one; what it may have run only if the route's kind repeats; an arrival beyond the first needs a repeat from the budget that
// all routers share; and an answer that has begun is never replaced by another, only continued.
package exchg

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/infra/logs"
	"quetzalmount.dev/quetzalmount/internal/infra/meter"
	"quetzalmount.dev/quetzalmount/internal/limit/shed"
	"quetzalmount.dev/quetzalmount/internal/route/retry"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// Writer takes the answer to one exchange.
type Writer interface {
	// Whole takes an answer that is complete.
	WriteComplete(a *qm.Answer, body []byte) error
	// Begin takes the head of an answer that comes in events, Event one or more whole events, and End the end of the answer. flush
	// tells that no more events are at hand.
	BeginStream(a *qm.Answer) error
	WriteEvents(raw []byte, flush bool) error
	EndStream() error
}

// Deps are the parts that a Runner works with.
type Deps struct {
	Board   *board.Board
	Carrier qm.Carrier
	// Engines places exchanges at model engines, Services at plain services.
	Engines, Services qm.Placer
	Health            qm.Health
	RetryBudget       *retry.GroupBudget
	Observer          Observer
	// DataCentre is that of this router; of several cache stores the one there is used.
	DataCentre qm.DataCentre
	// StoreAway reports whether the cache store can't be reached, or is not used.
	StoreUnavailable func() bool
	// Many reports whether there are so many routers that each knows little of the others.
	ManyRouters func() bool
	// OldWeights is how long after new weights were named engines with older ones may be used, 0 for ever.
	OldWeightsGrace time.Duration
	Meter           *meter.Meter
	Log             logr.Logger
}

// Observer learns from the answers of endpoints.
type Observer interface {
	// SawVersion tells which weights an endpoint named.
	SawVersion(id qm.EndpointID, model qm.ModelID, v qm.VersionID)
}

// Runner runs exchanges. It is safe for concurrent use.
type Runner struct{ deps Deps }

// New returns a Runner.
func New(deps Deps) *Runner { return &Runner{deps: deps} }

// Run runs x and hands its answer to w. The error is nil if an answer was handed over whole, else an *quetzalmount.Error whose
// outcome tells whether an endpoint may have run the exchange. ErrBegun tells that part of an answer was handed over.
func (r *Runner) Run(ctx context.Context, x *qm.Exchange, w Writer) error {
	ctx, cancel := context.WithDeadlineCause(ctx, x.GiveUp, errGivenUp)
	defer cancel()
	r.deps.RetryBudget.AddRequest(x.Group, x.Received)
	t := &run{r: r, x: x, w: w, last: x.LastEvent}
	err := t.attempts(ctx)
	r.account(x, t, err)
	return err
}

// ErrBegun is in the chain of errors that end an answer after a part of it was handed over.
var ErrIncomplete = errors.New("the answer is incomplete")

var (
	errGivenUp = errors.New("the time for the request is up")
	errStalled = errors.New("no progress")
	errCaller  = errors.New("caller is gone")
)

// run is one exchange.
type run struct {
	r *Runner
	x *qm.Exchange
	w Writer
	// last is the id of the last event that was handed over.
	last    string
	begun   bool
	tally   tally
	exclude []qm.EndpointID
	// path is the endpoints tried and what became of each, for the log.
	path []visit
	// first is the time to the first byte of the answer.
	first time.Duration
	// failure is a complete answer with a server error that is handed over if no attempt does better.
	failure *whole
}

type whole struct {
	answer *qm.Answer
	body   []byte
}

// visit is one attempt, for the log.
type visit struct {
	Endpoint qm.EndpointID
	Address  string
	Reason   string
	// Expected is the time to the first token that placement expected, Took what the attempt took, both in milliseconds.
	Expected, Took float64
	Version        qm.VersionID `json:",omitempty"`
	// Prompt is the tokens of the prompt, Hit those that were expected in the cache, Source the endpoint to fetch others from.
	Prompt, Hit qm.Tokens     `json:",omitempty"`
	Source      qm.EndpointID `json:",omitempty"`
	Outcome     string
}

// attempts tries one endpoint after the other.
func (t *run) attempts(ctx context.Context) error {
	for {
		err := t.attempt(ctx)
		if err == nil {
			return nil
		}
		e := qm.AsError(err)
		left := time.Until(t.x.GiveUp)
		s, budget := next(situation{kind: t.x.Route.Kind, attempts: t.x.Route.Attempts, tally: t.tally, err: e, left: left})
		if s == again && ctx.Err() == nil && (!budget || t.r.deps.RetryBudget.Spend(t.x.Group, time.Now())) {
			continue
		}
		return t.final(ctx, e)
	}
}

// final returns the error that ends the exchange, with the outcome over all attempts.
func (t *run) final(ctx context.Context, e *qm.Error) error {
	if t.failure != nil && !t.begun && ctx.Err() == nil {
		return t.w.WriteComplete(t.failure.answer, t.failure.body)
	}
	out := *e
	switch {
	case errors.Is(context.Cause(ctx), errGivenUp):
		out.Code = qm.CodeTimeout
	case ctx.Err() != nil, errors.Is(e, errCaller):
		out.Code, out.Step, out.Message = qm.CodeCallerLeft, "deliver", "the caller left before its answer was whole"
	}
	if t.tally.runs > 0 {
		out.Outcome = qm.Unknown
	}
	if t.begun {
		return out.Because(errors.WithMessage(ErrIncomplete, out.Message))
	}
	return &out
}

// attempt offers the exchange to one endpoint and relays its answer.
func (t *run) attempt(ctx context.Context) error {
	began := time.Now()
	p, err := t.place()
	t.r.deps.Meter.Step(meter.StepPlace, time.Since(began))
	if err != nil {
		return err
	}
	began = time.Now()
	err = t.send(ctx, p)
	p.done(time.Now())
	t.tally.add(err)
	v := visit{
		Endpoint: p.decision.Endpoint.ID, Address: p.decision.Endpoint.Address, Reason: p.decision.Reason,
		Expected: millis(p.decision.Expected), Took: millis(time.Since(began)), Version: p.offer.Version, Outcome: outcomeOf(err),
		Prompt: p.request.PromptTokens, Hit: p.decision.Hit,
	}
	if p.decision.Source != nil {
		v.Source = p.decision.Source.ID
	}
	t.path = append(t.path, v)
	t.report(ctx, p, err)
	return err
}

// report tells health what became of an attempt.
func (t *run) report(ctx context.Context, p *placed, err error) {
	series := t.r.deps.Meter.Endpoint(p.decision.Endpoint.ID)
	if err == nil {
		series.Ended(true)
		p.attempt.Succeeded()
		return
	}
	e := qm.AsError(err)
	if errors.Is(err, errCaller) || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errGivenUp) {
		// The caller left; the endpoint is not to blame.
		p.attempt.Abandoned()
		return
	}
	series.Ended(false)
	t.exclude = append(t.exclude, p.decision.Endpoint.ID)
	switch e.Code {
	case qm.CodeEndpointFull, qm.CodeMisdirected, qm.CodeAnsweredError:
		p.attempt.Abandoned()
	default:
		p.attempt.Failed(err)
	}
}

// send sends one offer and relays the answer.
func (t *run) send(ctx context.Context, p *placed) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := newStall(cancel)
	defer stall.stop()
	stall.set(patience(t.x, t.tally, false, p.decision.Expected, time.Until(t.x.GiveUp)))
	p.sent = time.Now()
	a, err := t.r.deps.Carrier.Send(ctx, t.x, p.offer)
	p.head = time.Now()
	t.r.deps.Meter.Step(meter.StepHead, p.head.Sub(p.sent))
	if err != nil {
		return t.cause(ctx, p, err)
	}
	defer func() { _ = a.Body.Close() }()
	t.observe(p, a)
	if t.x.Route.Kind.Streams() && a.Status < 300 {
		err = t.stream(p, a, stall)
	} else {
		err = t.whole(p, a)
	}
	return t.cause(ctx, p, err)
}

// cause gives a failure that the attempt's own time limit brought about its real name.
func (t *run) cause(ctx context.Context, p *placed, err error) error {
	if err == nil || ctx.Err() == nil || errors.Is(err, errCaller) || qm.AsError(err).Outcome == qm.NotRun {
		return err
	}
	return qm.Fail(qm.CodeTimeout, "answer", p.decision.Endpoint.Address, errors.WithMessage(context.Cause(ctx), err.Error()))
}

func (t *run) observe(p *placed, a *qm.Answer) {
	e := p.decision.Endpoint
	if a.Version != "" {
		t.r.deps.Observer.SawVersion(e.ID, t.x.Model, a.Version)
	}
}

// whole reads a complete answer and hands it over. A server error is kept, for another endpoint may do better.
func (t *run) whole(p *placed, a *qm.Answer) error {
	body, err := pool.ReadBody(a.Body)
	if err != nil {
		return qm.Fail(qm.CodeEndpoint, "read answer", p.decision.Endpoint.Address, err)
	}
	if a.Status >= 500 && t.x.Route.Kind.Repeats() {
		t.failure = &whole{a, body}
		return qm.Fail(qm.CodeAnsweredError, "answer", p.decision.Endpoint.Address, errors.Errorf("status %d", a.Status))
	}
	if t.begun {
		return qm.Fail(qm.CodeEndpoint, "resume", p.decision.Endpoint.Address, errors.Errorf("status %d", a.Status))
	}
	t.first = time.Since(t.x.Received)
	t.noteFirst(p, time.Now())
	if err := t.w.WriteComplete(a, body); err != nil {
		return errors.WithMessage(errCaller, err.Error())
	}
	return nil
}

// stream relays events as they arrive.
func (t *run) stream(p *placed, a *qm.Answer, stall *stall) error {
	ev := newEvents(a.Body)
	if !t.begun {
		if err := t.w.BeginStream(a); err != nil {
			return errors.WithMessage(errCaller, err.Error())
		}
		t.begun = true
	}
	got, began := false, time.Time{}
	for {
		raw, id, err := ev.next()
		if isEnd(err) {
			if !got {
				return qm.Fail(qm.CodeEndpoint, "read events", p.decision.Endpoint.Address, errors.New("the stream has no events"))
			}
			t.r.deps.Meter.Step(meter.StepRest, time.Since(began))
			if err := t.w.EndStream(); err != nil {
				return errors.WithMessage(errCaller, err.Error())
			}
			return nil
		}
		if err != nil {
			return qm.Fail(qm.CodeEndpoint, "read events", p.decision.Endpoint.Address, err)
		}
		if !got {
			got = true
			if t.first == 0 {
				t.first = time.Since(t.x.Received)
			}
			began = time.Now()
			t.noteFirst(p, began)
		}
		stall.set(patience(t.x, t.tally, true, 0, time.Until(t.x.GiveUp)))
		if seen(id, t.last) {
			continue
		}
		if err := t.w.WriteEvents(raw, !ev.buffered()); err != nil {
			return errors.WithMessage(errCaller, err.Error())
		}
		if id != "" {
			t.last = id
		}
	}
}

// place chooses an endpoint for the next attempt.
func (t *run) place() (*placed, error) {
	now := time.Now()
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	candidates := t.r.usable(t.x, t.exclude)
	placer := t.r.deps.Services
	q := &qm.PlaceRequest{Team: t.x.Team, Model: t.x.Model, PromptTokens: t.x.PromptTokens, Exclude: t.exclude, Once: !t.x.Route.Kind.Repeats()}
	offer := qm.Offer{LastEvent: t.last, Urgency: t.x.Priority}
	var d qm.Decision
	var ok bool
	if t.x.Model != "" {
		placer = t.r.deps.Engines
		if routes, ok := t.r.deps.Board.Routes.Load(); ok && !t.r.deps.StoreUnavailable() {
			q.Store = routes.Store(t.r.deps.DataCentre)
		}
		d, offer.Version, ok = t.placeEngine(q, candidates, now, rnd)
	} else {
		d, ok = placer.Place(q, candidates, now, rnd)
	}
	if !ok {
		return nil, qm.Refuse(qm.CodeNoEndpoint, "place", "no endpoint of group %s can take the request now", t.x.Group).After(noEndpointRetry)
	}
	if t.tally.arrivals == 0 && t.x.Model != "" {
		after, refuse := shed.Refuse(shed.Situation{
			Expected: d.Expected, Wait: d.Wait, Objective: t.x.Route.Objective, Spent: now.Sub(t.x.Received), Left: t.x.GiveUp.Sub(now),
		}, rnd)
		if refuse {
			return nil, qm.Refuse(qm.CodeOverload, "admit", "the first token is expected after %d ms, %d of them waiting for others, too late", d.Expected.Milliseconds(),
				d.Wait.Milliseconds()).After(after).At(string(d.Endpoint.ID))
		}
	}
	offer.Endpoint, offer.Source = d.Endpoint, d.Source
	if d.Save {
		offer.Store = q.Store
	}
	placer.Dispatched(q, d, now)
	return &placed{
		placer: placer, request: q, decision: d, offer: offer, attempt: t.r.deps.Health.Begin(d.Endpoint.ID),
	}, nil
}

// noEndpointRetry is the time after which a caller should try again when no endpoint is known: a new one appears, or an old one
// answers again, within about this time.
const noEndpointRetry = 300 * time.Millisecond

// placed is an attempt at an endpoint.
type placed struct {
	placer   qm.Placer
	request  *qm.PlaceRequest
	decision qm.Decision
	offer    qm.Offer
	attempt  qm.Attempt
	// sent is when the offer was sent, head when the head of the answer came.
	sent, head time.Time
}

// noteFirst tells placement and the meter that the answer has begun, or is there whole.
func (t *run) noteFirst(p *placed, now time.Time) {
	p.placer.FirstToken(p.request, p.decision, p.decision.Hit, now)
	t.r.deps.Meter.Step(meter.StepFirst, now.Sub(p.head))
	t.r.deps.Meter.Endpoint(p.decision.Endpoint.ID).First(now.Sub(p.sent))
}

func (p *placed) done(now time.Time) { p.placer.Finished(p.request, p.decision, now) }

// usable returns the endpoints of the exchange's group that may take it.
func (r *Runner) usable(x *qm.Exchange, exclude []qm.EndpointID) []*qm.Endpoint {
	all, _ := r.deps.Board.Endpoints.Load()
	return qm.Usable(all, r.deps.Health, func(e *qm.Endpoint) bool {
		return e.Group == x.Group && !slices.Contains(exclude, e.ID)
	})
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// account writes one log line and counts the exchange. Exchanges that went as usual are logged only at the debug level.
func (r *Runner) account(x *qm.Exchange, t *run, err error) {
	took := time.Since(x.Received)
	outcome, code := qm.Done, qm.Code("")
	if err != nil {
		e := qm.AsError(err)
		outcome, code = e.Outcome, e.Code
	}
	r.deps.Meter.Team(x.Team).Request(meter.Class(x.Route.ID), outcome, code, took)
	keys := []any{
		logs.RequestID, x.Request, logs.Team, x.Team, "Route", x.Route.ID, "Kind", x.Route.Kind, "Group", x.Group,
		logs.Outcome, outcome, logs.Code, code, "TookMs", millis(took), "FirstMs", millis(t.first), "LeftMs", millis(time.Until(x.Deadline)),
		"Attempts", t.path,
	}
	if err != nil {
		r.deps.Log.Error(err, "request failed", keys...)
		return
	}
	switch {
	case len(t.path) > 1:
		r.deps.Log.Info("request answered after a retry", keys...)
	case xxhash.Sum64String(string(x.Request))%sampled == 0:
		r.deps.Log.Info("request answered", keys...)
	default:
		r.deps.Log.V(1).Info("request answered", keys...)
	}
}

// sampled is the number of ordinary answers of which one is logged.
const sampled = 16
