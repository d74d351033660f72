// Package meter holds the metrics of a router: tally scopes with histograms for each team and class of request, exported
// for scraping in the Prometheus text format.
//
// docs/METRICS.md lists the names. Teams and endpoints get series of their own up to a bound, since a histogram costs memory and the
// target size has 12,000 teams and 3,200 engines; further ones share the label "other".
package meter

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	qm "quetzalmount.dev/quetzalmount"
)

// Class of a request, a label of its metrics.
type Class string

// Classes of requests.
const (
	Completion Class = "completion"
	PlainCall  Class = "call"
)

// Other is the label of the teams and the endpoints above their bounds.
const Other = "other"

// maxEndpoints is the number of endpoints with series of their own, more than any of today's deployments has.
const maxEndpoints = 128

// Step is a part of the time of a request, a label of its metrics.
type Step string

// Steps of a request.
const (
	// StepPlace is choosing an endpoint.
	StepPlace Step = "place"
	// StepHead is from the offer to the head of the answer, connecting included.
	StepHead Step = "head"
	// StepFirst is from the head to the first event, or to the whole body.
	StepFirst Step = "first"
	// StepRest is from the first event to the last.
	StepRest Step = "rest"
)

var steps = []Step{StepPlace, StepHead, StepFirst, StepRest}

// firstTokenBuckets and requestBuckets resolve the target of 0.37 s to the first token.
var (
	firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 20)
	requestBuckets    = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.8, 18)
	// stepBuckets reach from a placement, some 20 µs, to a stream of half a minute.
	stepBuckets = tally.MustMakeExponentialDurationBuckets(20*time.Microsecond, 2.2, 19)
)

// Meter records what happens to requests. It is safe for concurrent use.
type Meter struct {
	scope     tally.Scope
	closer    io.Closer
	handler   http.Handler
	steps     map[Step]tally.Histogram
	teams     *series[qm.TeamID, Team]
	endpoints *series[qm.EndpointID, Endpoint]
}

// series holds the series of things of one kind, made when they are first used and bounded in number.
type series[K ~string, V any] struct {
	most  int
	build func(label string) *V

	mu    sync.RWMutex
	known map[K]*V
	other *V
}

func newSeries[K ~string, V any](most int, build func(string) *V) *series[K, V] {
	return &series[K, V]{most: most, build: build, known: map[K]*V{}, other: build(Other)}
}

func (s *series[K, V]) get(key K) *V {
	s.mu.RLock()
	v, ok := s.known[key]
	s.mu.RUnlock()
	if ok {
		return v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.known[key]; ok {
		return v
	}
	if len(s.known) >= s.most {
		return s.other
	}
	v = s.build(string(key))
	s.known[key] = v
	return v
}

// New returns a meter for an instance with at most maxTeams teams that have series of their own.
func New(instance qm.InstanceID, maxTeams int) *Meter {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "quetzalmount",
		Tags:           map[string]string{"instance": string(instance)},
		CachedReporter: reporter,
		// The names of tally's own cardinality metrics are not valid Prometheus names.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		Separator:              promreporter.DefaultSeparator,
	}, time.Second)
	m := &Meter{scope: scope, closer: closer, handler: reporter.HTTPHandler(), steps: map[Step]tally.Histogram{}}
	for _, step := range steps {
		m.steps[step] = scope.Tagged(map[string]string{"step": string(step)}).Histogram("step_seconds", stepBuckets)
	}
	m.teams = newSeries[qm.TeamID](maxTeams, m.newTeam)
	m.endpoints = newSeries[qm.EndpointID](maxEndpoints, m.newEndpoint)
	return m
}

// Close stops the reporting.
func (m *Meter) Close() error { return errors.WithMessage(m.closer.Close(), "close meter") }

// Handler serves the metrics for scraping.
func (m *Meter) Handler() http.Handler { return m.handler }

// Scope returns the root scope for counters and gauges of other parts.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Step records the time of one step of a request.
func (m *Meter) Step(step Step, took time.Duration) { m.steps[step].RecordDuration(took) }

// Team returns the series of a team.
func (m *Meter) Team(id qm.TeamID) *Team { return m.teams.get(id) }

// Endpoint returns the series of an endpoint.
func (m *Meter) Endpoint(id qm.EndpointID) *Endpoint { return m.endpoints.get(id) }

func (m *Meter) newTeam(label string) *Team {
	scope := m.scope.Tagged(map[string]string{"team": label})
	return &Team{
		scope:      scope,
		firstToken: scope.Histogram("ttft_seconds", firstTokenBuckets),
		prompt:     scope.Counter("prompt_tokens"),
		cached:     scope.Counter("cached_tokens"),
		output:     scope.Counter("output_tokens"),
		resumed:    scope.Counter("streams_resumed"),
		continued:  scope.Counter("streams_continued"),
	}
}

func (m *Meter) newEndpoint(label string) *Endpoint {
	scope := m.scope.Tagged(map[string]string{"endpoint": label})
	return &Endpoint{
		first:     scope.Histogram("endpoint_first_seconds", firstTokenBuckets),
		succeeded: scope.Tagged(map[string]string{"result": "succeeded"}).Counter("endpoint_offers"),
		failed:    scope.Tagged(map[string]string{"result": "failed"}).Counter("endpoint_offers"),
	}
}

// Endpoint records the offers to one endpoint.
type Endpoint struct {
	first             tally.Histogram
	succeeded, failed tally.Counter
}

// FirstResponse records the time from an offer to the first part of its answer.
func (e *Endpoint) FirstResponse(took time.Duration) { e.first.RecordDuration(took) }

// AttemptEnded counts an offer that ended.
func (e *Endpoint) AttemptEnded(ok bool) {
	if ok {
		e.succeeded.Inc(1)
		return
	}
	e.failed.Inc(1)
}

// Team records the requests of one team.
type Team struct {
	scope                  tally.Scope
	firstToken             tally.Histogram
	prompt, cached, output tally.Counter
	resumed, continued     tally.Counter
}

// Request counts one ended request.
func (t *Team) Request(class Class, outcome qm.Outcome, code qm.Code, took time.Duration) {
	tagged := t.scope.Tagged(map[string]string{"class": string(class), "outcome": string(outcome), "code": string(code)})
	tagged.Counter("requests").Inc(1)
	t.scope.Tagged(map[string]string{"class": string(class)}).Histogram("request_seconds", requestBuckets).RecordDuration(took)
}

// FirstToken records the time to the first token and how much of the prompt the engine had cached.
func (t *Team) FirstToken(took time.Duration, prompt, cached qm.Tokens) {
	t.firstToken.RecordDuration(took)
	t.prompt.Inc(int64(prompt))
	t.cached.Inc(int64(cached))
}

// Output counts generated tokens.
func (t *Team) Output(n qm.Tokens) { t.output.Inc(int64(n)) }

// Resumed counts streams that went on over a fresh connection to the same engine.
func (t *Team) Resumed(n int) { t.resumed.Inc(int64(n)) }

// Continued counts streams that went on at another engine.
func (t *Team) Continued(n int) { t.continued.Inc(int64(n)) }
