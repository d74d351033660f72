// Package meter holds the metrics of a router: tally scopes with histograms for each team and class of request, exported
// for scraping in the Prometheus text format.
//
// docs/METRICS.md lists the names. Teams get series of their own up to a bound, since a histogram costs memory and the
// target size has 12,000 teams; further teams share the label "other".
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

// OtherTeams is the label of the teams above the bound.
const OtherTeams = "other"

// firstTokenBuckets and requestBuckets resolve the target of 0.37 s to the first token.
var (
	firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 20)
	requestBuckets    = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.8, 18)
)

// Meter records what happens to requests. It is safe for concurrent use.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	handler  http.Handler
	maxTeams int

	mu    sync.RWMutex
	teams map[qm.TeamID]*Team
	other *Team
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
	m := &Meter{scope: scope, closer: closer, handler: reporter.HTTPHandler(), maxTeams: maxTeams,
		teams: make(map[qm.TeamID]*Team)}
	m.other = m.newTeam(OtherTeams)
	return m
}

// Close stops the reporting.
func (m *Meter) Close() error { return errors.WithMessage(m.closer.Close(), "close meter") }

// Handler serves the metrics for scraping.
func (m *Meter) Handler() http.Handler { return m.handler }

// Scope returns the root scope for counters and gauges of other parts.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Team returns the series of a team.
func (m *Meter) Team(id qm.TeamID) *Team {
	m.mu.RLock()
	t, ok := m.teams[id]
	m.mu.RUnlock()
	if ok {
		return t
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.teams[id]; ok {
		return t
	}
	if len(m.teams) >= m.maxTeams {
		return m.other
	}
	t = m.newTeam(string(id))
	m.teams[id] = t
	return t
}

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
