package trial

import (
	"sort"
	"time"
)

// Result is the outcome of one run, or of several runs merged.
type Result struct {
	Deployment, Case, Policy string
	Seed                     uint64
	// Busy is the prefill time of all engines as a fraction of their time while requests arrive.
	Busy float64
	// Unserved counts the measured requests without a first token at the end of the run.
	Unserved int
	// Reasons counts placements by the reason that the placer gave.
	Reasons map[string]int

	ttftSeconds                                  []float64
	teamTTFT                                     []ttftSum
	promptTokens, cachedTokens, recomputedTokens float64
}

// ttftSum is the sum and count of the times to first token of one team.
type ttftSum struct {
	seconds float64
	count   int
}

func newResult(spec Spec) *Result {
	return &Result{
		Deployment: spec.Deployment.Name, Case: spec.Case.Name, Policy: spec.Policy.Name, Seed: spec.Seed,
		Reasons: map[string]int{}, teamTTFT: make([]ttftSum, len(spec.Deployment.TeamPercents)),
	}
}

// addTTFT adds the time to first token of a request.
func (r *Result) addTTFT(req *request, ttft time.Duration) {
	r.ttftSeconds = append(r.ttftSeconds, ttft.Seconds())
	r.teamTTFT[req.team].seconds += ttft.Seconds()
	r.teamTTFT[req.team].count++
}

func (r *Result) countReason(reason string) { r.Reasons[reason]++ }

// Merge returns the result of several runs that differ only in the seed. Busy is their mean; the other values are sums,
// or are taken over the requests of all runs.
func Merge(runs []*Result) *Result {
	merged := &Result{
		Deployment: runs[0].Deployment, Case: runs[0].Case, Policy: runs[0].Policy, Reasons: map[string]int{},
		teamTTFT: make([]ttftSum, len(runs[0].teamTTFT)),
	}
	for _, r := range runs {
		merged.Busy += r.Busy / float64(len(runs))
		merged.Unserved += r.Unserved
		merged.promptTokens += r.promptTokens
		merged.cachedTokens += r.cachedTokens
		merged.recomputedTokens += r.recomputedTokens
		merged.ttftSeconds = append(merged.ttftSeconds, r.ttftSeconds...)
		for i, t := range r.teamTTFT {
			merged.teamTTFT[i].seconds += t.seconds
			merged.teamTTFT[i].count += t.count
		}
		for k, n := range r.Reasons {
			merged.Reasons[k] += n
		}
	}
	return merged
}

// Requests returns the number of measured requests, including unserved ones.
func (r *Result) Requests() int { return len(r.ttftSeconds) }

// HitRate returns the fraction of prompt tokens that the engines found in their caches.
func (r *Result) HitRate() float64 { return r.cachedTokens / r.promptTokens }

// RecomputedShare returns the fraction of prompt tokens that were prefilled although an engine had them in its cache.
func (r *Result) RecomputedShare() float64 { return r.recomputedTokens / r.promptTokens }

// RecomputedTokens returns the number of tokens that were prefilled although an engine had them in its cache.
func (r *Result) RecomputedTokens() float64 { return r.recomputedTokens }

// TTFTQuantile returns the q-quantile of the time to first token in seconds, 0 if nothing was measured.
func (r *Result) TTFTQuantile(q float64) float64 {
	if len(r.ttftSeconds) == 0 {
		return 0
	}
	sort.Float64s(r.ttftSeconds)
	return r.ttftSeconds[min(len(r.ttftSeconds)-1, int(q*float64(len(r.ttftSeconds))))]
}

// JainIndex returns Jain's fairness index of the teams' mean times to first token. It is 1 if all are equal.
func (r *Result) JainIndex() float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for _, t := range r.teamTTFT {
		if t.count > 0 {
			x := t.seconds / float64(t.count)
			sum, squares, n = sum+x, squares+x*x, n+1
		}
	}
	return sum * sum / (n * squares)
}
