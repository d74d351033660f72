package place

import (
	"math"

	"quetzalmount.dev/quetzalmount/internal/route/sketch"
)

const (
	// trustDecay is the weight that earlier observations keep at each new one; about 100 of them count.
	trustDecay = 0.99
	// trustPrior is the number of observations that the prior stands for, priorSpread the standard deviation of the reported
	// backlog assumed before any was seen, in tokens: half of a typical prompt.
	trustPrior  = 10
	priorSpread = 10000.0
	// priorSlope is the assumed part of a reported difference that is still there when a request arrives.
	priorSlope = 0.5
	// baseMemory is the time in seconds in which the backlog that is met without being reported is forgotten when nothing is met. A
	// router that refuses everything because of a burst would never learn otherwise that it is over.
	baseMemory = 1.0
)

// trust learns what the reported backlog of other routers is worth. Each first token shows the backlog that a request really
// met; a linear regression on the reported one gives the slope, which falls toward 0 as reports grow old. Without it all
// routers would run after differences that are gone by the time their requests arrive.
type trust struct {
	n, x, y, xx, xy float64
	// met is when something was last learned.
	met sketch.Tick
}

func newTrust() trust {
	v := trustPrior * priorSpread * priorSpread
	return trust{n: trustPrior, xx: v, xy: priorSlope * v}
}

// learn takes a reported backlog and the one that was met.
func (t *trust) learn(reported, met float64, now sketch.Tick) {
	t.met = now
	t.n = t.n*trustDecay + 1
	t.x = t.x*trustDecay + reported
	t.y = t.y*trustDecay + met
	t.xx = t.xx*trustDecay + reported*reported
	t.xy = t.xy*trustDecay + reported*met
}

// line returns the regression: the expected backlog is base + slope * reported.
func (t *trust) line(now sketch.Tick) (base, slope float64) {
	mx, my := t.x/t.n, t.y/t.n
	if v := t.xx/t.n - mx*mx; v > 0 {
		slope = math.Max(0, math.Min(1, (t.xy/t.n-mx*my)/v))
	}
	quiet := float64(now-min(now, t.met)) * sketch.TickTime.Seconds()
	return (my - slope*mx) * math.Exp(-quiet/baseMemory), slope
}
