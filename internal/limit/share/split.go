package share

import (
	"math"

	qm "quetzalmount.dev/quetzalmount"
)

// Dimensions that are limited by a rate a minute, as indexes.
const (
	dimRequests = iota
	dimPrompt
	dimOutput
	numRateDims
)

// Dimensions of a quota, as indexes. They follow the rate dimensions, and their units are not borrowed in advance; see AdmitQuota.
const (
	dimQuotaRequests = numRateDims + iota
	dimQuotaTokens
	numPools
)

// concurrency is the name of the fourth dimension in messages.
const concurrency = "Concurrency"

// dimNames are the names of the rate dimensions in messages.
var dimNames = [numPools]string{"Requests", "PromptTokens", "OutputTokens", "QuotaRequests", "QuotaTokens"}

// burstFraction is the fraction of the leasable amount that may be admitted at once; the rest is added over the minute. A
// larger fraction lowers the sustained rate and admits larger requests. The burst for prompts is raised to
// MaxPromptTokens; the table has no such value for output tokens.
var burstFraction = [numRateDims]float64{dimRequests: 0.1, dimPrompt: 0.1, dimOutput: 0.2}

// floorBurstFraction is the burst fraction of floors, which are small and cover the time until a loan arrives.
const floorBurstFraction = 0.25

// rateSplit is one dimension of a limit, divided into the floor of one instance and the leasable rest at the home. Rates
// are in units a second.
type rateSplit struct {
	limited                                    bool
	floorRate, floorBurst, homeRate, homeBurst float64
}

// maxCost returns the largest cost of a request that can ever be admitted.
func (p rateSplit) maxCost() float64 { return p.floorBurst + p.homeBurst }

// split is the division of all dimensions of a team's limits.
type split struct {
	dims                  [numPools]rateSplit
	concurrencyLimited    bool
	floorSlots, homeSlots int
}

// splitLimits divides limits into floors for a number of instances and a leasable rest. fraction is the part of each limit
// that goes to all floors together.
func splitLimits(l qm.Limits, instances int, fraction float64) split {
	return splitWithQuota(l, instances, fraction, QuotaTolerance{})
}

// splitWithQuota is like splitLimits, with a tolerance for the quota.
func splitWithQuota(l qm.Limits, instances int, fraction float64, tolerance QuotaTolerance) split {
	var p split
	n := float64(instances)
	for d, limit := range [numRateDims]float64{l.RequestsPerMinute, l.PromptTokensPerMinute, l.OutputTokensPerMinute} {
		if limit <= 0 {
			continue
		}
		floor := limit * fraction / n
		if floor < 1 {
			// A smaller floor could never be spent, and no other instance could use it.
			floor = 0
		}
		q := &p.dims[d]
		q.limited = true
		q.floorRate, q.floorBurst = bucketParams(d, floor, 0, floorBurstFraction)
		largest := 0.0
		if d == dimPrompt {
			largest = float64(l.MaxPromptTokens)
		}
		q.homeRate, q.homeBurst = bucketParams(d, limit-floor*n, largest, burstFraction[d])
	}
	if l.Quota.IsLimited() {
		p.dims[quotaDim(l.Quota)] = tolerance.split(l.Quota)
	}
	if l.Concurrency > 0 {
		p.concurrencyLimited = true
		p.floorSlots = int(float64(l.Concurrency) * fraction / n)
		p.homeSlots = l.Concurrency - p.floorSlots*instances
	}
	return p
}

// bucketParams returns the rate a second and the burst that together admit at most amount in a minute. The burst for tokens
// holds largest if that is at most half of the amount. Requests are spent as whole units, so that a fraction above the last
// whole unit admits nothing: a minute that is open at one end admits less than burst + 60 x rate.
func bucketParams(d int, amount, largest, fraction float64) (rate, burst float64) {
	if amount <= 0 {
		return 0, 0
	}
	if d != dimRequests {
		burst = math.Min(math.Max(largest, fraction*amount), amount/2)
		return (amount - burst) / 60, burst
	}
	if amount < 1 {
		return amount / 60, 1
	}
	burst = math.Max(1, math.Floor(fraction*amount))
	return (math.Floor(amount) + 1 - burst) / 60, burst
}

// available returns the units that three sources have for one request. In the dimension of requests, the unit must come
// from a single source, since fractions of several could add up to more whole units than the sources may admit.
func available(d int, borrowed, home, floor float64) float64 {
	if d == dimRequests {
		return max(borrowed, home, floor)
	}
	return borrowed + home + floor
}
