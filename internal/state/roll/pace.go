package roll

import (
	"math"
	"time"
)

const (
	// startupGain multiplies the window until a larger one no longer makes the rollout faster, steadyGain afterwards. With more loads than
	// the weight store serves at full speed, each takes longer and more engines are away.
	startupGain = 1.7
	steadyGain  = 1.05
	// minRateGrowth is the growth of the rate of loads below which a larger window counts as useless.
	minRateGrowth = 1.2
	// typicalWeight is the weight of a new load time in the moving average.
	typicalWeight = 0.25
	// aging is the fraction by which the extreme values move back, with each load or round, in case that the weight store became slower.
	aging = 0.02
	// initialWindowDivisor makes the first window one engine in eight, but at most the square root of their number. A weight store serves
	// far fewer loads than a large fleet has engines, and the first window would keep all of these away until the last one has loaded.
	initialWindowDivisor = 8
	// minWindow is the smallest window. A second load shows whether loads slow each other down.
	minWindow = 2
)

// pace is what is known about the loads of a model's weights: how long they take, and how many run at full speed at the same time. The
// number is the product of the highest rate and the shortest load time that were seen, as in congestion control by bandwidth and delay.
type pace struct {
	window int
	// fastest is the shortest load time seen, typical the moving average. Both are 0 until a load was seen.
	fastest, typical time.Duration
	// drain is the moving average of the times that engines are drained, 0 until one was.
	drain time.Duration
	// rate is the highest rate at which loads ended in a round, in engines per second, and lastRate that of the last round. startup is
	// true until a larger window no longer increased it.
	rate, lastRate float64
	startup        bool
	// A round begins at roundStart, zero while no engine loads, and ends after as many loads as the window, of which ended have ended.
	roundStart time.Time
	ended      int
}

func newPace() *pace { return &pace{startup: true} }

// limit returns how many engines of a model may load at the same time.
func (p *pace) limit(engines int) int {
	if p.window == 0 {
		p.window = max(minWindow, int(math.Min(math.Ceil(float64(engines)/initialWindowDivisor), math.Sqrt(float64(engines)))))
	}
	return p.window
}

// expected returns the expected time of a load while a number of engines load, and false if none was seen yet.
func (p *pace) expected(concurrent int) (time.Duration, bool) {
	if p.typical == 0 {
		return 0, false
	}
	d := p.fastest
	if p.rate > 0 {
		d = max(d, time.Duration(float64(concurrent)/p.rate*float64(time.Second)))
	}
	return d, true
}

// update notes how many engines are loading. A round must not contain a time without loads.
func (p *pace) update(loading int, now time.Time) {
	switch {
	case loading == 0:
		p.roundStart, p.ended = time.Time{}, 0
	case p.roundStart.IsZero():
		p.roundStart = now
	}
}

// recordDrain adds the time that an engine was drained.
func (p *pace) recordDrain(d time.Duration) {
	if p.drain == 0 {
		p.drain = d
	}
	p.drain += time.Duration(typicalWeight * float64(d-p.drain))
}

// record adds a load that took the time d and ended now.
func (p *pace) record(d time.Duration, now time.Time) {
	if d <= 0 {
		return
	}
	if p.typical == 0 {
		p.fastest, p.typical = d, d
	}
	p.typical += time.Duration(typicalWeight * float64(d-p.typical))
	p.fastest = min(p.fastest+time.Duration(aging*float64(p.typical-p.fastest)), d)
	if p.ended++; p.ended >= p.window && now.After(p.roundStart) && !p.roundStart.IsZero() {
		p.endRound(float64(p.ended) / now.Sub(p.roundStart).Seconds())
		p.roundStart, p.ended = now, 0
	}
}

// endRound sets the window of the next round after one in which loads ended at a rate.
func (p *pace) endRound(rate float64) {
	p.rate = math.Max((1-aging)*p.rate, rate)
	if rate < minRateGrowth*p.lastRate {
		p.startup = false
	}
	p.lastRate = rate
	gain := steadyGain
	if p.startup {
		gain = startupGain
	}
	p.window = max(minWindow, int(math.Round(gain*p.rate*p.fastest.Seconds())))
}
