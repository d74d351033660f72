package place

import (
	"math"

	qm "quetzalmount.dev/quetzalmount"
)

// busyShare is the part of an engine's places up to which short streams are placed by prefix.
const busyShare = 0.75

// scorePair leaves a short stream the choice between the two engines with the highest rendezvous weights for its prefix, and makes the one with
// fewer requests the better one. Prompts of short streams are read in a few milliseconds, so that the time to the first token says little of how
// busy an engine is, and the number of streams adapts to engines that are slow. Two choices per prefix keep routers with old reports from choosing
// the same idle engine. It returns false if both engines are busy, so that all are to be considered.
func (p *Expected) scorePair(r *qm.PlaceRequest) bool {
	p.homes.reset()
	p.selectHomes(affinityKey(r, p.opt.HashShare), shortHomes)
	idle := false
	for _, at := range p.homes.positions[:p.homes.n] {
		e := p.fleet.engineAt(at)
		idle = idle || e.slots == 0 || float64(e.load()) < busyShare*float64(e.slots)
	}
	for i, t := range p.times {
		p.scores[i] = p.loadScore(i, t)
		if idle && !p.homes.contains(i) {
			p.scores[i] = math.Inf(1)
		}
	}
	return idle
}

// shortHomes is the number of engines that a short stream is placed at while they have room.
const shortHomes = 2

// loadScore returns the score of the engine at a position: its expected time and the part of its places that are taken, each worth shortStreamCost.
func (p *Expected) loadScore(at int, time float64) float64 {
	if math.IsInf(time, 1) {
		return time
	}
	e := p.fleet.engineAt(at)
	return time + shortStreamCost*float64(e.load())/math.Max(1, float64(e.slots))
}

// shortStreamCost is the time, in seconds, that a full engine counts as slower than an idle one. It exceeds the errors of the expected times.
const shortStreamCost = 0.5
