package order

import (
	"slices"

	qm "quetzalmount.dev/quetzalmount"
)

// desiredState is the state of an endpoint that the configuration table requires.
type desiredState struct {
	endpoint *qm.Endpoint
	version  qm.VersionID
	adapters []qm.AdapterID
	role     string
	fences   bool
}

// isReached reports whether the endpoint reports the desired state. An endpoint that reports no role can take any.
func (d desiredState) isReached() bool {
	e := d.endpoint
	return e != nil && e.Version == d.version && sameSet(e.Adapters, d.adapters) && (e.Role == d.role || e.Role == "")
}

// sameSet reports whether two short lists without duplicates have the same elements. It does not allocate, because it is
// called for every engine at every check.
func sameSet(a, b []qm.AdapterID) bool {
	for _, x := range a {
		if !slices.Contains(b, x) {
			return false
		}
	}
	return len(a) == len(b)
}

// isSameCommand reports whether both states lead to the same command to the same incarnation of the engine.
func (d desiredState) isSameCommand(o desiredState) bool {
	return d.endpoint.Incarnation == o.endpoint.Incarnation && d.version == o.version && d.role == o.role &&
		slices.Equal(d.adapters, o.adapters)
}

// desiredStatesOf returns the desired states of all engines, in the order of the endpoints. A group serves one model.
func desiredStatesOf(c *qm.Config, endpoints qm.Endpoints) []desiredState {
	models := make(map[qm.GroupID]*qm.Model, len(c.Models))
	for _, m := range c.Models {
		models[m.Group] = m
	}
	out := make([]desiredState, 0, len(endpoints))
	for _, e := range endpoints {
		m, g := models[e.Group], c.Groups[e.Group]
		if e.Kind != qm.KindEngine || m == nil || g == nil {
			continue
		}
		out = append(out, desiredState{endpoint: e, version: m.Version, adapters: m.Adapters, role: g.Role, fences: g.SupportsFencing})
	}
	return out
}

func findEndpoint(all []desiredState, id qm.EndpointID) (desiredState, bool) {
	for _, d := range all {
		if d.endpoint.ID == id {
			return d, true
		}
	}
	return desiredState{}, false
}

func isServing(e *qm.Endpoint) bool { return e.State == qm.Live && e.Version != "" }

// canTakeOut reports whether the endpoint may be taken out of service: it is not serving, or the out-of-service engines of
// its group, including it, do not exceed the limit of OutOfServiceDivisor. claimed are the endpoints that have a slot,
// which count as out of service.
func canTakeOut(all []desiredState, d desiredState, claimed []qm.EndpointID) bool {
	if !isServing(d.endpoint) {
		return true
	}
	total, outOfService := 0, 1
	for _, o := range all {
		if o.endpoint.Group != d.endpoint.Group || o.endpoint.State == qm.Leaving {
			continue
		}
		total++
		if o.endpoint.ID != d.endpoint.ID && (!isServing(o.endpoint) || slices.Contains(claimed, o.endpoint.ID)) {
			outOfService++
		}
	}
	return outOfService <= max(1, total/OutOfServiceDivisor)
}
