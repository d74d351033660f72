package place

import (
	"math"

	qm "quetzalmount.dev/quetzalmount"
)

// roomShare is the part of an engine's KV cache that requests may need together. The rest covers what other routers send before their next report
// arrives, and tokens that fill their last block in part.
const roomShare = 0.9

// missingRoom returns the tokens by which the request and those at the engine exceed its KV cache, 0 if they fit or the size is not known. An
// engine that lacks room preempts a request, whose prompt it reads again later, or ends.
func missingRoom(r *qm.PlaceRequest, e *engine) float64 {
	if r.KVCapacity <= 0 {
		return 0
	}
	return math.Max(0, e.held()+float64(r.HeldTokens())-roomShare*float64(r.KVCapacity))
}

// roomWait returns the time until enough requests at the engine have ended for the request to fit, in seconds.
func roomWait(r *qm.PlaceRequest, e *engine) float64 {
	missing := missingRoom(r, e)
	if missing == 0 {
		return 0
	}
	return missing / math.Max(missing, e.held()) * e.serviceTime
}

// excludeFull excludes engines without room for the request, if any engine has room.
func (p *Expected) excludeFull(r *qm.PlaceRequest) {
	hasRoom, lacksRoom := false, false
	for i, t := range p.times {
		if !math.IsInf(t, 1) {
			isFull := missingRoom(r, p.fleet.engineAt(i)) > 0
			hasRoom, lacksRoom = hasRoom || !isFull, lacksRoom || isFull
		}
	}
	if !hasRoom || !lacksRoom {
		return
	}
	for i := range p.times {
		if missingRoom(r, p.fleet.engineAt(i)) > 0 {
			p.times[i], p.scores[i] = math.Inf(1), math.Inf(1)
		}
	}
}
