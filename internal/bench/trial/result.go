package trial

import (
	"sort"
	"time"
)

// Result is the outcome of one run, or of several runs merged.
type Result struct {
	Deployment, Case, Policy string
	Seed                     uint64
	// Busy is the share of time that the engines spent on prefill.
	Busy float64
	// Unserved counts the measured requests without a first token at the end of the run.
	Unserved int
	// Reasons counts decisions.
	Reasons map[string]int

	times                      []float64
	teams                      []mean
	prompt, cached, recomputed float64
}

// mean collects the times to first token of one team, in seconds.
type mean struct {
	sum float64
	n   int
}

func newResult(s Spec) *Result {
	return &Result{
		Deployment: s.Deployment.Name, Case: s.Case.Name, Policy: s.Policy.Name, Seed: s.Seed,
		Reasons: map[string]int{}, teams: make([]mean, len(s.Deployment.Teams)),
	}
}

// first notes a time to first token.
func (r *Result) first(req *request, d time.Duration) {
	r.times = append(r.times, d.Seconds())
	r.teams[req.team].sum += d.Seconds()
	r.teams[req.team].n++
}

func (r *Result) reason(name string) { r.Reasons[name]++ }

// Merge pools the runs of several seeds.
func Merge(runs []*Result) *Result {
	m := &Result{
		Deployment: runs[0].Deployment, Case: runs[0].Case, Policy: runs[0].Policy, Reasons: map[string]int{},
		teams: make([]mean, len(runs[0].teams)),
	}
	for _, r := range runs {
		m.Busy += r.Busy / float64(len(runs))
		m.Unserved += r.Unserved
		m.prompt += r.prompt
		m.cached += r.cached
		m.recomputed += r.recomputed
		m.times = append(m.times, r.times...)
		for i, t := range r.teams {
			m.teams[i].sum += t.sum
			m.teams[i].n += t.n
		}
		for k, n := range r.Reasons {
			m.Reasons[k] += n
		}
	}
	return m
}

// Requests returns the number of measured first tokens.
func (r *Result) Requests() int { return len(r.times) }

// HitRate returns the share of prompt tokens found in caches.
func (r *Result) HitRate() float64 { return r.cached / r.prompt }

// Recomputed returns the share of prompt tokens that were prefilled although an engine held them.
func (r *Result) Recomputed() float64 { return r.recomputed / r.prompt }

// RecomputedTokens returns the tokens that were prefilled although an engine held them.
func (r *Result) RecomputedTokens() float64 { return r.recomputed }

// Quantile returns a quantile of the time to first token in seconds.
func (r *Result) Quantile(q float64) float64 {
	if len(r.times) == 0 {
		return 0
	}
	sort.Float64s(r.times)
	return r.times[min(len(r.times)-1, int(q*float64(len(r.times))))]
}

// Fairness returns Jain's index over the teams' mean times to first token: 1 if all are equal.
func (r *Result) Fairness() float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for _, t := range r.teams {
		if t.n > 0 {
			x := t.sum / float64(t.n)
			sum, squares, n = sum+x, squares+x*x, n+1
		}
	}
	return sum * sum / (n * squares)
}
