package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// usable returns the engines of a group that may take a new request, without the excluded ones and those that want none now. pausedUntil is the
// earliest end of a pause among the latter, zero if there is none.
func (r *Relay) usable(group qm.GroupID, exclude []qm.EndpointID, now time.Time) (usable []*qm.Endpoint, pausedUntil time.Time) {
	all, _ := r.deps.Board.Endpoints.Load()
	usable = qm.UsableEndpoints(all, r.deps.Health, func(e *qm.Endpoint) bool {
		if e.Kind != qm.KindEngine || e.Group != group || slices.Contains(exclude, e.ID) {
			return false
		}
		if r.deps.Pauses.MayTake(e.ID, e.Incarnation, now) {
			return true
		}
		until := r.deps.Pauses.Until(e.ID, e.Incarnation, now)
		if pausedUntil.IsZero() || until.Before(pausedUntil) {
			pausedUntil = until
		}
		return false
	})
	return usable, pausedUntil
}

// versionOf returns the weights version of an engine. An engine whose version is not known yet is assumed to have the desired one; it
// refuses the request if it does not.
func versionOf(e *qm.Endpoint, desired qm.VersionID) qm.VersionID {
	if e.Version == "" {
		return desired
	}
	return e.Version
}

// sampleVersion returns the weights version of a random live engine, or of any engine if none is live, so that versions receive requests in
// proportion to their engines. It returns desired if there are no engines.
func sampleVersion(engines []*qm.Endpoint, desired qm.VersionID, rnd *rand.Rand) qm.VersionID {
	var live []*qm.Endpoint
	for _, e := range engines {
		if e.State == qm.Live {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		live = engines
	}
	if len(live) == 0 {
		return desired
	}
	return versionOf(live[rnd.IntN(len(live))], desired)
}

// withVersion returns the engines that have version v or are assumed to have it.
func withVersion(engines []*qm.Endpoint, v, desired qm.VersionID) []*qm.Endpoint {
	var out []*qm.Endpoint
	for _, e := range engines {
		if versionOf(e, desired) == v {
			out = append(out, e)
		}
	}
	return out
}
