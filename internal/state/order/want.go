package order

import (
	"slices"

	qm "quetzalmount.dev/quetzalmount"
)

// want is what the table says of an endpoint.
type want struct {
	endpoint *qm.Endpoint
	version  qm.VersionID
	adapters []qm.AdapterID
	role     string
	fences   bool
}

// met reports whether the endpoint reports what is wanted. An endpoint that reports no role does any.
func (w want) met() bool {
	e := w.endpoint
	return e != nil && e.Version == w.version && sameSet(e.Adapters, w.adapters) && (e.Role == w.role || e.Role == "")
}

// sameSet compares short lists without repeated names; it does not allocate, because every look compares every engine.
func sameSet(a, b []qm.AdapterID) bool {
	for _, x := range a {
		if !slices.Contains(b, x) {
			return false
		}
	}
	return len(a) == len(b)
}

// same reports whether both want the same of the same incarnation.
func (w want) same(o want) bool {
	return w.endpoint.Incarnation == o.endpoint.Incarnation && w.version == o.version && w.role == o.role &&
		slices.Equal(w.adapters, o.adapters)
}

// wants returns what the table says of each engine, in the order of the endpoints. A group serves one model.
func wants(c *qm.Config, endpoints qm.Endpoints) []want {
	models := make(map[qm.GroupID]*qm.Model, len(c.Models))
	for _, m := range c.Models {
		models[m.Group] = m
	}
	out := make([]want, 0, len(endpoints))
	for _, e := range endpoints {
		m, g := models[e.Group], c.Groups[e.Group]
		if e.Kind != qm.KindEngine || m == nil || g == nil {
			continue
		}
		out = append(out, want{endpoint: e, version: m.Version, adapters: m.Adapters, role: g.Role, fences: g.SupportsFencing})
	}
	return out
}

func find(all []want, id qm.EndpointID) (want, bool) {
	for _, w := range all {
		if w.endpoint.ID == id {
			return w, true
		}
	}
	return want{}, false
}

func serving(e *qm.Endpoint) bool { return e.State == qm.Live && e.Version != "" }

// spare reports whether the endpoint may be taken out of service: it serves nothing anyway, or with it no more than the
// allowed share of its group is out. loading are endpoints that have been commanded already.
func spare(all []want, w want, loading []qm.EndpointID) bool {
	if !serving(w.endpoint) {
		return true
	}
	total, out := 0, 1
	for _, o := range all {
		if o.endpoint.Group != w.endpoint.Group || o.endpoint.State == qm.Leaving {
			continue
		}
		total++
		if o.endpoint.ID != w.endpoint.ID && (!serving(o.endpoint) || slices.Contains(loading, o.endpoint.ID)) {
			out++
		}
	}
	return out <= max(1, total/OutShare)
}
