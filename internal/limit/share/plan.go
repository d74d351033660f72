package share

import (
	"math"

	qm "quetzalmount.dev/quetzalmount"
)

// Dimensions that are limited by a rate a minute.
const (
	requests = iota
	prompt
	output
	rated
)

// concurrency is the name of the fourth dimension in messages.
const concurrency = "Concurrency"

// names are those of the rated dimensions in messages.
var names = [rated]string{"Requests", "PromptTokens", "OutputTokens"}

// burstShare is the part of the leasable amount that may be admitted at once; the rest flows in over the minute. A larger
// part lowers the sustained rate and takes larger requests. Prompts get what MaxPromptTokens needs; for answers the table
// has no such figure.
var burstShare = [rated]float64{requests: 0.1, prompt: 0.1, output: 0.2}

// floorShare is the same for floors, which are small and bridge the time in which a loan is under way.
const floorShare = 0.25

// plan is one dimension of a limit, divided. Rates are units a second.
type plan struct {
	limited                                    bool
	floorRate, floorBurst, homeRate, homeBurst float64
}

// largest is the cost of the largest request that can ever be admitted.
func (p plan) largest() float64 { return p.floorBurst + p.homeBurst }

// plans are all dimensions of a team's limits, divided over slots instances.
type plans struct {
	dims                  [rated]plan
	bounded               bool
	floorSlots, homeSlots int
}

// divide divides limits into floors for a number of instances and a leasable rest.
func divide(l qm.Limits, instances int, fraction float64) plans {
	var p plans
	n := float64(instances)
	for d, limit := range [rated]float64{l.RequestsPerMinute, l.PromptTokensPerMinute, l.OutputTokensPerMinute} {
		if limit <= 0 {
			continue
		}
		floor := limit * fraction / n
		if floor < 1 {
			// A smaller floor holds nothing that can be spent, and would be lost to everybody.
			floor = 0
		}
		q := &p.dims[d]
		q.limited = true
		q.floorRate, q.floorBurst = spread(d, floor, 0, floorShare)
		largest := 0.0
		if d == prompt {
			largest = float64(l.MaxPromptTokens)
		}
		q.homeRate, q.homeBurst = spread(d, limit-floor*n, largest, burstShare[d])
	}
	if l.Concurrency > 0 {
		p.bounded = true
		p.floorSlots = int(float64(l.Concurrency) * fraction / n)
		p.homeSlots = l.Concurrency - p.floorSlots*instances
	}
	return p
}

// spread returns the rate a second and the burst that together admit at most amount in a minute. The burst holds largest
// if half of the amount suffices. Requests are spent as whole ones, so that what flows in beyond the last whole one
// admits nothing: a minute that is open at one end admits less than burst + 60 x rate.
func spread(d int, amount, largest, share float64) (rate, burst float64) {
	if amount <= 0 {
		return 0, 0
	}
	if d != requests {
		burst = math.Min(math.Max(largest, share*amount), amount/2)
		return (amount - burst) / 60, burst
	}
	if amount < 1 {
		return amount / 60, 1
	}
	burst = math.Max(1, math.Floor(share*amount))
	return (math.Floor(amount) + 1 - burst) / 60, burst
}

// reach returns what is there for one request of three sources. A request counts as one and comes from one source, since
// parts of several could add up to more than the whole ones that each may admit.
func reach(d int, lent, home, floor float64) float64 {
	if d == requests {
		return max(lent, home, floor)
	}
	return lent + home + floor
}
