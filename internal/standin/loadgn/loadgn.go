// Package loadgn generates traffic like that of the users' callers and checks every answer.
//
// It sends completions whose prompts share nested prefixes, with some prefixes much hotter than others, and calls to plain
// services with and without idempotency keys. Like a caller it asks the routers for addresses, keeps the advice for its
// validity, and tries another address when one fails. It compares each answer with the text that the engine stand-in computes
// for the prompt, and the executions that the service stand-ins counted with what the routers said about each call.
package loadgn

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	qm "quetzalmount.dev/quetzalmount"
)

// Options describe the traffic.
type Options struct {
	// Entries are the addresses that callers know from the start.
	Entries []string
	// Teams are the callers, with their keys in clear.
	Teams []Team
	// Models are used in turn.
	Models []string
	// Service is the plain service and Calls its calls that must not run twice; Services are its processes.
	Service  string
	Calls    []string
	Services []string
	// Duration is how long requests are sent; open ones are then finished.
	Duration time.Duration
	// CompletionsPerSecond and CallsPerSecond are mean rates of random arrivals.
	CompletionsPerSecond, CallsPerSecond float64
	// PromptTokens are the sizes of the nested levels of a prompt.
	PromptTokens [3]int
	MaxTokens    int
	Seed         uint64
}

// Team is one caller.
type Team struct{ Name, Key string }

// Summary is the outcome of a run. Times are in milliseconds.
type Summary struct {
	Sent, Served, Refused, Unknown, Lost, Duplicated int64
	// FalseNotRun counts calls that ran although the caller was told that they did not.
	FalseNotRun int64
	// Short counts streams that ended early without an error, Wrong those whose text was not the expected one.
	Short, Wrong int64
	// Retried counts requests that the caller sent again.
	Retried int64
	// Prompt and Cached are the tokens of all prompts and those that the engines had cached; HitRate is their ratio.
	Prompt, Cached   int64
	HitRate          float64
	TTFTP50, TTFTP99 float64
	// Recomputed is the prompt tokens of prefixes sent before that no engine had cached where the request ran.
	Recomputed int64
	// ByTeam has the 99th percentile of the time to first token for each team.
	ByTeam map[string]float64
	// Failures describes the first requests that were not served.
	Failures []string `json:",omitempty"`
}

// maxFailures bounds Failures.
const maxFailures = 20

func (s *Summary) fail(format string, args ...any) {
	if len(s.Failures) < maxFailures {
		s.Failures = append(s.Failures, fmt.Sprintf(format, args...))
	}
}

// Failed reports whether anything was lost, doubled or wrong.
func (s *Summary) Failed() bool {
	return s.Lost+s.Duplicated+s.FalseNotRun+s.Short+s.Wrong > 0
}

// Run is a running load.
type Run struct {
	opts   Options
	client *http.Client

	mu         sync.Mutex
	rnd        *rand.Rand
	advice     map[string]advice
	prompt     int64
	cached     int64
	seen       map[string]bool
	firstToken *hdrhistogram.Histogram
	byTeam     map[string]*hdrhistogram.Histogram
	calls      map[string]*callRecord
	sum        Summary
}

// longest is the largest time to first token that is told apart, in microseconds.
const longest = int64(10 * time.Minute / time.Microsecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, 3) }

// New prepares a run.
func New(opts Options) *Run {
	return &Run{
		opts: opts,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, ResponseHeaderTimeout: 60 * time.Second,
		}},
		rnd:    rand.New(rand.NewPCG(opts.Seed, 1)),
		advice: make(map[string]advice), seen: make(map[string]bool),
		firstToken: newHistogram(), byTeam: make(map[string]*hdrhistogram.Histogram),
		calls: make(map[string]*callRecord),
	}
}

// Do sends the traffic, waits for all answers and returns what was counted. Requests go on after ctx ends the sending.
func (r *Run) Do(ctx context.Context) (*Summary, error) {
	sending, cancel := context.WithTimeout(ctx, r.opts.Duration)
	defer cancel()
	var open sync.WaitGroup
	var loops sync.WaitGroup
	loops.Go(func() { r.arrivals(sending, &open, r.opts.CompletionsPerSecond, r.completion) })
	loops.Go(func() { r.arrivals(sending, &open, r.opts.CallsPerSecond, r.call) })
	loops.Wait()
	open.Wait()
	if err := r.verify(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	return r.summary(), nil
}

// arrivals starts one request after the other at random times, whatever the state of earlier ones.
func (r *Run) arrivals(ctx context.Context, open *sync.WaitGroup, perSecond float64, one func(n int64)) {
	if perSecond <= 0 {
		return
	}
	for n := int64(0); ; n++ {
		r.mu.Lock()
		gap := time.Duration(r.rnd.ExpFloat64() / perSecond * float64(time.Second))
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		open.Go(func() { one(n) })
	}
}

func (r *Run) count(f func(s *Summary)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.sum)
}

func (r *Run) summary() *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sum
	s.Prompt, s.Cached = r.prompt, r.cached
	s.setHitRate()
	s.TTFTP50 = millis(r.firstToken.ValueAtQuantile(50))
	s.TTFTP99 = millis(r.firstToken.ValueAtQuantile(99))
	s.ByTeam = make(map[string]float64)
	for team, h := range r.byTeam {
		s.ByTeam[team] = millis(h.ValueAtQuantile(99))
	}
	return &s
}

func millis(us int64) float64 { return float64(us) / 1000 }

// observe records a whole answer: the time to its first token and what the engine had cached of prefixes sent before.
func (r *Run) observe(team string, took time.Duration, p prompt, total, cached qm.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prompt += int64(total)
	r.cached += int64(cached)
	_ = r.firstToken.RecordValue(min(took.Microseconds(), longest))
	h, ok := r.byTeam[team]
	if !ok {
		h = newHistogram()
		r.byTeam[team] = h
	}
	_ = h.RecordValue(min(took.Microseconds(), longest))
	known := qm.Tokens(0)
	for i, key := range p.keys {
		if r.seen[key] {
			known = p.ends[i]
		}
		r.seen[key] = true
	}
	r.sum.Recomputed += int64(max(0, known-cached))
}
