package trial

import (
	"runtime"

	"golang.org/x/sync/errgroup"
)

// Matrix runs every combination and returns one merged result for each deployment, case and policy, in this order, and
// all single results. The order and the figures do not depend on the number of processors.
func Matrix(deps []Deployment, cases []Case, policies []Policy, seeds []uint64) (merged, single []*Result) {
	var specs []Spec
	for _, d := range deps {
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

// Ratio compares the router's policy with the best baseline in one case. Lower is better but for HitRatio.
type Ratio struct {
	Deployment, Case string
	// HitRatio and OracleRatio are our hit rate over that of the best baseline and over that of the oracle.
	HitRatio, OracleRatio float64
	// TailRatio is our p99 of the time to first token over the lowest of a baseline.
	TailRatio float64
	// RecomputeRatio and HashRecomputeRatio are our recomputed tokens over the lowest of a baseline and over those of
	// consistent hashing.
	RecomputeRatio, HashRecomputeRatio float64
}

// Compare returns the ratios of each case. ours and bound name the router's policy and the oracle; all others are
// baselines.
func Compare(merged []*Result, ours, bound, hashing string) []Ratio {
	var out []Ratio
	for i := 0; i < len(merged); {
		j := i
		for j < len(merged) && merged[j].Deployment == merged[i].Deployment && merged[j].Case == merged[i].Case {
			j++
		}
		out = append(out, compare(merged[i:j], ours, bound, hashing))
		i = j
	}
	return out
}

func compare(group []*Result, ours, bound, hashing string) Ratio {
	var us, oracle, hash *Result
	var hit, tail, waste float64
	first := true
	for _, r := range group {
		switch r.Policy {
		case ours:
			us = r
			continue
		case bound:
			oracle = r
			continue
		case hashing:
			hash = r
		}
		if first || r.HitRate() > hit {
			hit = r.HitRate()
		}
		if first || r.Quantile(0.99) < tail {
			tail = r.Quantile(0.99)
		}
		if first || r.Recomputed() < waste {
			waste = r.Recomputed()
		}
		first = false
	}
	return Ratio{
		Deployment: us.Deployment, Case: us.Case,
		HitRatio: us.HitRate() / hit, OracleRatio: us.HitRate() / oracle.HitRate(),
		TailRatio:      us.Quantile(0.99) / tail,
		RecomputeRatio: us.Recomputed() / waste, HashRecomputeRatio: us.Recomputed() / hash.Recomputed(),
	}
}
