package relay

import (
	"math/rand/v2"
	"slices"

	qm "quetzalmount.dev/quetzalmount"
)

// usable returns the engines of a group that may take a new request.
func (r *Relay) usable(group qm.GroupID, exclude []qm.EndpointID) []*qm.Endpoint {
	all, _ := r.deps.Board.Endpoints.Load()
	return qm.UsableEndpoints(all, r.deps.Health, func(e *qm.Endpoint) bool {
		return e.Kind == qm.KindEngine && e.Group == group && !slices.Contains(exclude, e.ID)
	})
}

// versionOf returns the weights that an engine has. An engine that was not asked yet is taken to have the desired ones; it
// refuses the request if it has not.
func versionOf(e *qm.Endpoint, desired qm.VersionID) qm.VersionID {
	if e.Version == "" {
		return desired
	}
	return e.Version
}

// pickVersion returns the weights version of a random engine, live ones first, so that versions get requests in proportion to
// their engines.
func pickVersion(engines []*qm.Endpoint, desired qm.VersionID, rnd *rand.Rand) qm.VersionID {
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

func withVersion(engines []*qm.Endpoint, v, desired qm.VersionID) []*qm.Endpoint {
	var out []*qm.Endpoint
	for _, e := range engines {
		if versionOf(e, desired) == v {
			out = append(out, e)
		}
	}
	return out
}
