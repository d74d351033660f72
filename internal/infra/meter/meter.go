// Package meter records the metrics of a router in tally scopes, with histograms by team and request class, and exports
// them in the Prometheus text format.
//
// docs/METRICS.md lists the metric names. A limited number of teams and endpoints have their own series, since every
// histogram takes memory and a router is designed for 12,000 teams and 3,200 engines. The others share the label "other".
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

// Class is the class of a request, used as a metric label.
type Class string

// Request classes.
const (
	Completion Class = "completion"
	PlainCall  Class = "call"
)

// Other is the label shared by the teams and endpoints without their own series.
const Other = "other"

// maxEndpoints is the maximum number of endpoints with their own series. No current deployment has more endpoints.
const maxEndpoints = 128

// Step is a phase of a request, used as a metric label.
type Step string

// Steps of a request, in order.
const (
	// StepPlace is the choice of an endpoint.
	StepPlace Step = "place"
	// StepHead lasts from the start of the attempt, including the connection setup, to the response headers.
	StepHead Step = "head"
	// StepFirst lasts from the response headers to the first event, or to the end of a body that is not a stream.
	StepFirst Step = "first"
	// StepRest lasts from the first event to the last.
	StepRest Step = "rest"
)

var steps = []Step{StepPlace, StepHead, StepFirst, StepRest}

var (
	// firstTokenBuckets and requestBuckets are fine enough to check the target of 0.37 s to the first token.
	firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 20)
	requestBuckets    = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.8, 18)
	// stepBuckets range from a placement of about 20 µs to a stream of half a minute.
	stepBuckets = tally.MustMakeExponentialDurationBuckets(20*time.Microsecond, 2.2, 19)
)

// Meter records the metrics of requests. It is safe for concurrent use.
type Meter struct {
	scope     tally.Scope
	closer    io.Closer
	handler   http.Handler
	steps     map[Step]tally.Histogram
	teams     *seriesSet[qm.TeamID, Team]
	endpoints *seriesSet[qm.EndpointID, Endpoint]

	wrongRequests tally.Counter
}

// seriesSet contains series by label value. They are created on first use; keys beyond the limit share the series other.
type seriesSet[K ~string, V any] struct {
	limit     int
	newSeries func(label string) *V

	mu    sync.RWMutex
	byKey map[K]*V
	other *V
}

func newSeriesSet[K ~string, V any](limit int, newSeries func(string) *V) *seriesSet[K, V] {
	return &seriesSet[K, V]{limit: limit, newSeries: newSeries, byKey: map[K]*V{}, other: newSeries(Other)}
}

func (s *seriesSet[K, V]) get(key K) *V {
	s.mu.RLock()
	v, ok := s.byKey[key]
	s.mu.RUnlock()
	if ok {
		return v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.byKey[key]; ok {
		return v
	}
	if len(s.byKey) >= s.limit {
		return s.other
	}
	v = s.newSeries(string(key))
	s.byKey[key] = v
	return v
}

// New returns a meter for an instance. At most maxTeams teams have their own series.
func New(instance qm.InstanceID, maxTeams int) *Meter {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "quetzalmount",
		Tags:           map[string]string{"instance": string(instance)},
		CachedReporter: reporter,
		// tally's internal cardinality metrics do not have valid Prometheus names.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		Separator:              promreporter.DefaultSeparator,
	}, time.Second)
	m := &Meter{scope: scope, closer: closer, handler: reporter.HTTPHandler(), steps: map[Step]tally.Histogram{}}
	m.wrongRequests = scope.Counter("responses_to_other_requests")
	for _, step := range steps {
		m.steps[step] = scope.Tagged(map[string]string{"step": string(step)}).Histogram("step_seconds", stepBuckets)
	}
	m.teams = newSeriesSet[qm.TeamID](maxTeams, m.newTeam)
	m.endpoints = newSeriesSet[qm.EndpointID](maxEndpoints, m.newEndpoint)
	return m
}

// Close reports the remaining values and stops the meter.
func (m *Meter) Close() error { return errors.WithMessage(m.closer.Close(), "close meter") }

// Handler returns the handler of the Prometheus endpoint.
func (m *Meter) Handler() http.Handler { return m.handler }

// Scope returns the root scope, for counters and gauges of other packages.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Step records the duration of a step of a request.
func (m *Meter) Step(step Step, took time.Duration) { m.steps[step].RecordDuration(took) }

// WrongRequest counts a response that belongs to another request than the one it was received for.
func (m *Meter) WrongRequest() { m.wrongRequests.Inc(1) }

// BrokenOff counts a response that ended after its caller had part of it. cause is what ended its last attempt.
func (m *Meter) BrokenOff(cause string) {
	m.scope.Tagged(map[string]string{"cause": cause}).Counter("responses_broken_off").Inc(1)
}

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
		firstResponse: scope.Histogram("endpoint_first_seconds", firstTokenBuckets),
		succeeded:     scope.Tagged(map[string]string{"result": "succeeded"}).Counter("endpoint_offers"),
		failed:        scope.Tagged(map[string]string{"result": "failed"}).Counter("endpoint_offers"),
	}
}

// Endpoint records the attempts at an endpoint.
type Endpoint struct {
	firstResponse     tally.Histogram
	succeeded, failed tally.Counter
}

// FirstResponse records the time from the start of an attempt to the first event or the whole body of its response.
func (e *Endpoint) FirstResponse(took time.Duration) { e.firstResponse.RecordDuration(took) }

// AttemptEnded counts a completed attempt.
func (e *Endpoint) AttemptEnded(ok bool) {
	if ok {
		e.succeeded.Inc(1)
		return
	}
	e.failed.Inc(1)
}

// Team records the requests of a team.
type Team struct {
	scope                  tally.Scope
	firstToken             tally.Histogram
	prompt, cached, output tally.Counter
	resumed, continued     tally.Counter
}

// Request counts a completed request and records its duration.
func (t *Team) Request(class Class, outcome qm.Outcome, code qm.Code, took time.Duration) {
	tagged := t.scope.Tagged(map[string]string{"class": string(class), "outcome": string(outcome), "code": string(code)})
	tagged.Counter("requests").Inc(1)
	t.scope.Tagged(map[string]string{"class": string(class)}).Histogram("request_seconds", requestBuckets).RecordDuration(took)
}

// FirstToken records the time to first token, the length of the prompt, and the part of it that the engine had cached.
func (t *Team) FirstToken(took time.Duration, prompt, cached qm.Tokens) {
	t.firstToken.RecordDuration(took)
	t.prompt.Inc(int64(prompt))
	t.cached.Inc(int64(cached))
}

// Output counts generated tokens.
func (t *Team) Output(n qm.Tokens) { t.output.Inc(int64(n)) }

// Resumed counts streams that were resumed over a new connection to the same engine.
func (t *Team) Resumed(n int) { t.resumed.Inc(int64(n)) }

// Continued counts streams that another engine continued.
func (t *Team) Continued(n int) { t.continued.Inc(int64(n)) }
