// Package relay runs one completion: it admits the request under its team's limits, waits for a slot in the fair queue,
// chooses the weights and the engine, and delivers the stream.
//
// A request stays on one weights version from its first chunk to its last, since an answer that two versions wrote together
// would be neither's. While a version rolls out, new requests are spread over the versions in proportion to the engines that
// have them, so that neither part of the group is overloaded.
package relay

import (
	"context"
	"math/rand/v2"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/meter"
	"quetzalmount.dev/quetzalmount/internal/route/prefix"
	"quetzalmount.dev/quetzalmount/internal/route/stream"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// NoEngineRetry is the time after which a caller should try again when no engine can take its request.
const NoEngineRetry = time.Second

// Admit takes the cost of a request from the limits of its team, or refuses.
type Admit func(ctx context.Context, team *qm.Team, cost qm.Cost) (qm.Grant, error)

// Slots grants a place at the engines of a group. It waits in the fair queue.
type Slots func(ctx context.Context, team *qm.Team, group qm.GroupID, cost qm.Tokens) (release func(), err error)

// Deps are the parts that a Relay works with.
type Deps struct {
	Board *board.Board
	// Admit takes the cost of a request from the limits of its team.
	Admit       Admit
	AcquireSlot Slots
	Placer      qm.Placer
	Streamer    *stream.Streamer
	Health      qm.Health
	Budget      qm.RetryBudget
	Meter       *meter.Meter
}

// Relay runs completions. It is safe for concurrent use.
type Relay struct{ deps Deps }

var _ qm.Completer = (*Relay)(nil)

// New returns a Relay.
func New(deps Deps) *Relay { return &Relay{deps: deps} }

// Complete implements quetzalmount.Completer.
func (r *Relay) Complete(ctx context.Context, c *qm.Completion, deliver func(qm.Chunk) error) error {
	cost := qm.Cost{PromptTokens: qm.EstimateTokens(c.PromptBytes), OutputTokens: c.MaxTokens}
	grant, err := r.deps.Admit(ctx, c.Team, cost)
	if err != nil {
		return err
	}
	var used qm.Tokens
	defer func() { grant.Release(used) }()
	release, err := r.deps.AcquireSlot(ctx, c.Team, c.Model.Group, cost.PromptTokens+cost.OutputTokens)
	if err != nil {
		return err
	}
	defer release()
	used, err = r.stream(ctx, c, deliver)
	return err
}

// stream delivers the answer and returns the number of tokens that were generated.
func (r *Relay) stream(ctx context.Context, c *qm.Completion, deliver func(qm.Chunk) error) (qm.Tokens, error) {
	r.deps.Budget.Request(c.Team.ID)
	series := r.deps.Meter.Team(c.Team.ID)
	j := &job{r: r, c: c, series: series, start: time.Now()}
	sum, err := r.deps.Streamer.Run(ctx, &stream.Request{
		Engine:   &j.engine,
		Continue: c.Model.Continue,
		Place:    j.place,
		Budget:   func(k stream.Recovery) bool { return k == stream.Resume || r.deps.Budget.Retry(c.Team.ID) },
		Deliver: func(chunk qm.Chunk) error {
			j.delivered = true
			return deliver(chunk)
		},
		FirstToken: j.firstToken,
		Failed:     func(_ qm.Decision, err error) { j.attempt.Failed(err) },
		Finished:   func(d qm.Decision) { r.deps.Placer.Finished(&j.request, d, time.Now()) },
	})
	series.Resumed(sum.Resumes)
	series.Continued(sum.Failovers)
	used := qm.Tokens(sum.Chunks)
	if sum.Usage != nil {
		used = sum.Usage.Output
	}
	series.Output(used)
	return used, err
}

// job is one completion at the engines.
type job struct {
	r       *Relay
	c       *qm.Completion
	series  *meter.Team
	start   time.Time
	engine  qm.EngineRequest
	request qm.PlaceRequest
	// delivered is set with the first chunk; from then on the weights version stays.
	delivered bool
	counted   bool
	attempt   qm.Attempt
}

// place chooses an engine for the job.
func (j *job) place(_ context.Context, exclude []qm.EndpointID) (qm.Decision, error) {
	now := time.Now()
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	engines := j.r.usable(j.c.Model.Group, exclude)
	if !j.delivered {
		j.choose(pickVersion(engines, j.c.Model.Version, rnd))
	}
	j.request.Exclude = exclude
	d, ok := j.r.deps.Placer.Place(&j.request, withVersion(engines, j.engine.Version, j.c.Model.Version), now, rnd)
	if !ok {
		return d, qm.Refuse(qm.CodeNoEndpoint, "place",
			"No engine can take a request for %s now; nothing was run, try again later.", j.c.Model.ID).After(NoEngineRetry)
	}
	j.r.deps.Placer.Dispatched(&j.request, d, now)
	j.attempt = j.r.deps.Health.Begin(d.Endpoint.ID)
	return d, nil
}

// choose fills in what depends on the weights version.
func (j *job) choose(v qm.VersionID) {
	c := j.c
	scope := prefix.Scope{Team: c.Team.ID, Model: c.Model.ID, Version: v}
	spans := scope.Spans(c.Messages)
	j.request = qm.PlaceRequest{
		Team: c.Team.ID, Model: c.Model.ID, Spans: spans, PromptTokens: qm.EstimateTokens(c.PromptBytes),
	}
	j.engine = qm.EngineRequest{
		Request: c.Request, Model: c.Model.ID, Version: v, CacheSalt: scope.Salt(), Messages: c.Messages,
		MaxTokens: c.MaxTokens, Blocks: spans,
	}
}

func (j *job) firstToken(d qm.Decision, cached qm.Tokens) {
	now := time.Now()
	j.attempt.Succeeded()
	j.r.deps.Placer.FirstToken(&j.request, d, cached, now)
	if !j.counted {
		j.counted = true
		j.series.FirstToken(now.Sub(j.start), j.request.PromptTokens, cached)
	}
}
