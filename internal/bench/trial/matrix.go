package trial

import (
	"runtime"

	"golang.org/x/sync/errgroup"
)

// RunAll runs every combination and returns one merged result for each deployment, case and policy, in this order, and
// all single results. The order and the results don't depend on the number of processors.
func RunAll(deployments []Deployment, cases []Case, policies []Policy, seeds []uint64) (merged, single []*Result) {
	var specs []Spec
	for _, d := range deployments {
		for _, c := range cases {
			for _, p := range policies {
				for _, s := range seeds {
					specs = append(specs, Spec{Deployment: d, Case: c, Policy: p, Seed: s})
				}
			}
		}
	}
	single = make([]*Result, len(specs))
	var g errgroup.Group
	g.SetLimit(max(1, runtime.GOMAXPROCS(0)*3/4))
	for i, s := range specs {
		g.Go(func() error {
			single[i] = Run(s)
			return nil
		})
	}
	_ = g.Wait()
	for i := 0; i < len(single); i += len(seeds) {
		merged = append(merged, Merge(single[i:i+len(seeds)]))
	}
	return merged, single
}

// Ratio compares a policy with the baselines and the oracle in one case. Lower is better except for HitRatio and
// OracleRatio. The best baseline is chosen for each figure separately.
type Ratio struct {
	Deployment, Case string
	// HitRatio and OracleRatio are the policy's hit rate over that of the best baseline and over that of the oracle.
	HitRatio, OracleRatio float64
	// TailRatio is the policy's p99 of the time to first token over the lowest of a baseline.
	TailRatio float64
	// RecomputeRatio and HashRecomputeRatio are the policy's recomputed tokens over the fewest of a baseline and over
	// those of consistent hashing.
	RecomputeRatio, HashRecomputeRatio float64
}

// Compare returns the ratios of each case. evaluated, oracle and hash are names of policies: the one to compare, the
// oracle, and consistent hashing. All policies but evaluated and oracle are baselines.
func Compare(merged []*Result, evaluated, oracle, hash string) []Ratio {
	var out []Ratio
	for i := 0; i < len(merged); {
		j := i
		for j < len(merged) && merged[j].Deployment == merged[i].Deployment && merged[j].Case == merged[i].Case {
			j++
		}
		out = append(out, compareCase(merged[i:j], evaluated, oracle, hash))
		i = j
	}
	return out
}

// compareCase returns the ratios of one case from the results of all its policies.
func compareCase(results []*Result, evaluated, oracle, hash string) Ratio {
	var evaluatedResult, oracleResult, hashResult *Result
	var bestHitRate, lowestP99, lowestRecomputed float64
	first := true
	for _, r := range results {
		switch r.Policy {
		case evaluated:
			evaluatedResult = r
			continue
		case oracle:
			oracleResult = r
			continue
		case hash:
			hashResult = r
		}
		if first || r.HitRate() > bestHitRate {
			bestHitRate = r.HitRate()
		}
		if first || r.TTFTQuantile(0.99) < lowestP99 {
			lowestP99 = r.TTFTQuantile(0.99)
		}
		if first || r.RecomputedShare() < lowestRecomputed {
			lowestRecomputed = r.RecomputedShare()
		}
		first = false
	}
	return Ratio{
		Deployment: evaluatedResult.Deployment, Case: evaluatedResult.Case,
		HitRatio:           evaluatedResult.HitRate() / bestHitRate,
		OracleRatio:        evaluatedResult.HitRate() / oracleResult.HitRate(),
		TailRatio:          evaluatedResult.TTFTQuantile(0.99) / lowestP99,
		RecomputeRatio:     evaluatedResult.RecomputedShare() / lowestRecomputed,
		HashRecomputeRatio: evaluatedResult.RecomputedShare() / hashResult.RecomputedShare(),
	}
}
