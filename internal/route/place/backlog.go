package place

import (
	"math"

	"quetzalmount.dev/quetzalmount/internal/route/sketch"
)

const (
	// sampleDecay is the factor that scales the weight of earlier samples at each new one; about 100 samples count.
	sampleDecay = 0.99
	// priorSamples is the number of samples that the prior counts for. priorSpread is the standard deviation of the
	// reported backlog that the prior assumes, in tokens: half of a typical prompt.
	priorSamples = 10
	priorSpread  = 10000.0
	// priorSlope is the part of a reported backlog that the prior assumes to be still there when a request arrives.
	priorSlope = 0.5
	// baseTimeConstant is the time constant, in seconds, with which the base, the backlog that is met without being
	// reported, decays while no first token is observed. Without the decay, a router that refuses all requests
	// because of a burst would never learn that the burst is over.
	baseTimeConstant = 1.0
)

// backlogModel predicts the backlog that a request meets from the reported backlog of other routers, by a linear
// regression over the first tokens observed. The slope falls toward 0 as reports get older, so that routers do not
// chase differences that are gone by the time their requests arrive.
//
// The fields are the weighted sums of the regression, where x is a reported and y an observed backlog, in tokens.
type backlogModel struct {
	n, x, y, xx, xy float64
	// maxSlope bounds the slope.
	maxSlope float64
	// learnedAt is when the last sample was added.
	learnedAt sketch.Tick
}

// maxLaneSlope is the maximum slope within a lane. There the reported tokens understate the backlog, since more of the prompts than expected is
// not cached: small caches keep a prefix for seconds only.
const maxLaneSlope = 4

func newBacklogModel() backlogModel {
	v := priorSamples * priorSpread * priorSpread
	return backlogModel{n: priorSamples, xx: v, xy: priorSlope * v, maxSlope: 1}
}

// observe adds a sample: a reported backlog and the actual one, in tokens.
func (m *backlogModel) observe(reported, actual float64, now sketch.Tick) {
	m.learnedAt = now
	m.n = m.n*sampleDecay + 1
	m.x = m.x*sampleDecay + reported
	m.y = m.y*sampleDecay + actual
	m.xx = m.xx*sampleDecay + reported*reported
	m.xy = m.xy*sampleDecay + reported*actual
}

// coefficients returns the line of the regression: the expected backlog is base + slope * reported, in tokens.
func (m *backlogModel) coefficients(now sketch.Tick) (base, slope float64) {
	mx, my := m.x/m.n, m.y/m.n
	if v := m.xx/m.n - mx*mx; v > 0 {
		slope = math.Max(0, math.Min(m.maxSlope, (m.xy/m.n-mx*my)/v))
	}
	quiet := float64(now-min(now, m.learnedAt)) * sketch.TickTime.Seconds()
	return (my - slope*mx) * math.Exp(-quiet/baseTimeConstant), slope
}
