// Package loadgn is a load generator that simulates the users' callers and checks every answer.
//
// It sends completions whose prompts share nested prefixes, some of them much more frequent than others, and calls to plain
// services with and without idempotency keys. Like a real caller, it asks the routers for address advice, uses the advice
// while it is valid, and tries another address when one fails. It compares each answer with the text that the engine stand-in
// generates for the prompt, and the executions counted by the service stand-ins with the outcome that the routers reported
// for each call.
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

// Options configures the traffic.
type Options struct {
	// Entries are the router addresses that callers know without advice.
	Entries []string
	// Teams are the callers, with their keys in plain text.
	Teams []Team
	// Models are requested in rotation.
	Models []string
	// Service is the name of the plain service. Calls are its calls that must not run twice, requested in rotation. Services
	// are the addresses of its processes.
	Service  string
	Calls    []string
	Services []string
	// Duration is how long new requests are sent. Open requests are then completed.
	Duration time.Duration
	// CompletionsPerSecond and CallsPerSecond are the mean rates of Poisson arrivals. A rate of 0 sends none.
	CompletionsPerSecond, CallsPerSecond float64
	// PromptTokens are the sizes of the nested levels of a prompt in tokens.
	PromptTokens [3]int
	// MaxTokens limits the answer to a completion.
	MaxTokens int
	// Seed seeds the random numbers, and distinguishes the references of calls in runs with different seeds.
	Seed uint64
}

// Team is one caller. Key is its API key in plain text.
type Team struct{ Name, Key string }

// Summary is the result of a run. Times are in milliseconds.
type Summary struct {
	Sent, Served, Refused, Unknown, Lost, Duplicated int64
	// FalseNotRun counts calls that ran although the caller was told that they hadn't.
	FalseNotRun int64
	// Short counts streams that ended early without an error. Wrong counts those with an unexpected text.
	Short, Wrong int64
	// Retried counts the retries by callers.
	Retried int64
	// AdvisedDown is the number of connections that an address of valid advice didn't accept.
	AdvisedDown int64
	// Prompt is the number of tokens in all prompts, and Cached the number of those that were cached on the engine. HitRate is
	// Cached divided by Prompt.
	Prompt, Cached int64
	HitRate        float64
	// TTFTP50 and TTFTP99 are percentiles of the time to first token.
	TTFTP50, TTFTP99 float64
	// Recomputed is the number of prompt tokens in previously sent prefixes that weren't cached on the engine.
	Recomputed int64
	// ByTeam is the 99th percentile of the time to first token by team.
	ByTeam map[string]float64
	// Failures describes the first failed or unresolved requests.
	Failures []string `json:",omitempty"`
}

// maxFailures is the maximum length of Failures in one run.
const maxFailures = 20

func (s *Summary) addFailure(format string, args ...any) {
	if len(s.Failures) < maxFailures {
		s.Failures = append(s.Failures, fmt.Sprintf(format, args...))
	}
}

// Failed reports whether a request was lost, a call ran twice or was wrongly reported as not run, or an answer was truncated
// or wrong.
func (s *Summary) Failed() bool {
	return s.Lost+s.Duplicated+s.FalseNotRun+s.Short+s.Wrong > 0
}

// Run is one run of the load generator.
type Run struct {
	opts   Options
	client *http.Client

	mu           sync.Mutex
	rnd          *rand.Rand
	advice       map[string]advice
	promptTokens int64
	cachedTokens int64
	sentPrefixes map[string]bool
	ttft         *hdrhistogram.Histogram
	ttftByTeam   map[string]*hdrhistogram.Histogram
	calls        map[string]*callRecord
	totals       Summary
}

// maxTTFTMicros is the upper limit of the histograms of the time to first token, in microseconds. Longer times are recorded
// as this value.
const maxTTFTMicros = int64(10 * time.Minute / time.Microsecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxTTFTMicros, 3) }

// New prepares a run. Do starts it.
func New(opts Options) *Run {
	return &Run{
		opts: opts,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, ResponseHeaderTimeout: 60 * time.Second,
		}},
		rnd:    rand.New(rand.NewPCG(opts.Seed, 1)),
		advice: make(map[string]advice), sentPrefixes: make(map[string]bool),
		ttft: newHistogram(), ttftByTeam: make(map[string]*hdrhistogram.Histogram),
		calls: make(map[string]*callRecord),
	}
}

// Do sends the traffic for Duration, waits for all answers, and returns the summary. If ctx ends, it sends no further
// requests but still waits for the open ones.
func (r *Run) Do(ctx context.Context) (*Summary, error) {
	sending, cancel := context.WithTimeout(ctx, r.opts.Duration)
	defer cancel()
	var open sync.WaitGroup
	var loops sync.WaitGroup
	loops.Go(func() { r.sendRequests(sending, &open, r.opts.CompletionsPerSecond, r.sendCompletion) })
	loops.Go(func() { r.sendRequests(sending, &open, r.opts.CallsPerSecond, r.sendCall) })
	loops.Wait()
	open.Wait()
	if err := r.verify(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	return r.summary(), nil
}

// sendRequests starts requests as a Poisson process until ctx ends, without waiting for earlier requests.
func (r *Run) sendRequests(ctx context.Context, open *sync.WaitGroup, perSecond float64, send func(n int64)) {
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
		open.Go(func() { send(n) })
	}
}

// update changes the counters of the summary.
func (r *Run) update(f func(s *Summary)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.totals)
}

func (r *Run) summary() *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.totals
	s.Prompt, s.Cached = r.promptTokens, r.cachedTokens
	s.updateHitRate()
	s.TTFTP50 = microsToMillis(r.ttft.ValueAtQuantile(50))
	s.TTFTP99 = microsToMillis(r.ttft.ValueAtQuantile(99))
	s.ByTeam = make(map[string]float64)
	for team, h := range r.ttftByTeam {
		s.ByTeam[team] = microsToMillis(h.ValueAtQuantile(99))
	}
	return &s
}

func microsToMillis(us int64) float64 { return float64(us) / 1000 }

// recordAnswer records a complete answer: its time to first token, its cached tokens, and the tokens of previously sent
// prefixes that weren't cached.
func (r *Run) recordAnswer(team string, ttft time.Duration, p prompt, promptTokens, cached qm.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.promptTokens += int64(promptTokens)
	r.cachedTokens += int64(cached)
	_ = r.ttft.RecordValue(min(ttft.Microseconds(), maxTTFTMicros))
	h, ok := r.ttftByTeam[team]
	if !ok {
		h = newHistogram()
		r.ttftByTeam[team] = h
	}
	_ = h.RecordValue(min(ttft.Microseconds(), maxTTFTMicros))
	sharedTokens := qm.Tokens(0)
	for i, key := range p.keys {
		if r.sentPrefixes[key] {
			sharedTokens = p.ends[i]
		}
		r.sentPrefixes[key] = true
	}
	r.totals.Recomputed += int64(max(0, sharedTokens-cached))
}
