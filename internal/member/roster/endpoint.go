package roster

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/logs"
)

// entry is what is known of an endpoint.
type entry struct {
	// view is what the board shows. It is replaced, never changed.
	view *qm.Endpoint
	// listedLeaving, saidLeaving and suspect make up the state. saidLeaving belongs to one incarnation.
	listedLeaving, saidLeaving, suspect bool
	// failures counts failures since the last success.
	failures int
	probing  bool
	// failedAt is the time of the newest evidence of a failure that came from or went to peers.
	failedAt time.Time
	// loadingUntil is when an endpoint that loads weights is expected to take work again.
	loadingUntil time.Time
	// saidAt is when the endpoint itself named weights that were not known last, loadedAt when they were learned in any way.
	saidAt, loadedAt time.Time
	usedAt           time.Time
	polledAt         time.Time
}

// listLag is the age of what the instance list says of an endpoint. What the endpoint itself has said is newer for so long.
const listLag = 2500 * time.Millisecond

func (e *entry) state() qm.MemberState {
	switch {
	case e.listedLeaving, e.saidLeaving:
		return qm.Leaving
	case e.suspect, time.Now().Before(e.loadingUntil):
		return qm.Suspect
	}
	return qm.Live
}

// mergeEndpoints takes the endpoints of the list; what the list dropped is forgotten. It returns those that the list names with
// another incarnation than before. The caller holds r.mu.
func (r *Roster) mergeEndpoints(list []*qm.Endpoint) (restarted []*qm.Endpoint) {
	seen := make(map[qm.EndpointID]bool, len(list))
	for _, l := range list {
		seen[l.ID] = true
		e := r.endpoints[l.ID]
		if e == nil {
			e = &entry{view: &qm.Endpoint{}}
			r.endpoints[l.ID] = e
			r.sorted, r.moved = nil, true
		}
		if r.meet(e, l.Incarnation) {
			restarted = append(restarted, l)
		}
		e.listedLeaving = l.State == qm.Leaving
		v := *e.view
		v.ID, v.Kind, v.Group, v.Address, v.DataCentre = l.ID, l.Kind, l.Group, l.Address, l.DataCentre
		if l.ListedAt.After(v.ListedAt) && time.Since(e.saidAt) > listLag {
			if l.Version != v.Version {
				e.loadingUntil, e.loadedAt = time.Time{}, time.Now()
			}
			v.Models, v.Version, v.Load.Slots, v.ListedAt = l.Models, l.Version, l.Load.Slots, l.ListedAt
		}
		r.setEntry(e, &v)
	}
	for id := range r.endpoints {
		if !seen[id] {
			r.opts.Log.Info("endpoint forgotten", logs.Endpoint, id, "ListedAgeMs", ageMs(r.endpoints[id].view.ListedAt))
			delete(r.endpoints, id)
			r.sorted, r.newEndpoints = nil, true
		}
	}
	return restarted
}

// setEntry replaces the view of an endpoint. The caller holds r.mu.
func (r *Roster) setEntry(e *entry, v *qm.Endpoint) {
	v.State = e.state()
	if v.State != e.view.State {
		r.opts.Log.Info("endpoint state", logs.Endpoint, v.ID, "Address", v.Address, "From", e.view.State, "To", v.State,
			"ListedLeaving", e.listedLeaving, "SaidLeaving", e.saidLeaving, "Suspect", e.suspect, "Failures", e.failures,
			"LoadingMs", max(0, time.Until(e.loadingUntil).Milliseconds()), "ListedAgeMs", ageMs(v.ListedAt))
	}
	if v.Version != e.view.Version && e.view.ID != "" {
		r.opts.Log.Info("endpoint has weights", logs.Endpoint, v.ID, "From", e.view.Version, "To", v.Version, "ListedAgeMs", ageMs(e.view.ListedAt))
	}
	if !sameView(e.view, v) {
		e.view = v
		r.newEndpoints = true
	}
}

// ageMs returns the age of what was learned at a time in milliseconds, -1 if it never was.
func ageMs(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// sameView compares all fields but the slices and maps, which change only together with ReportedAt or ListedAt.
func sameView(a, b *qm.Endpoint) bool {
	return a.ID == b.ID && a.Kind == b.Kind && a.Group == b.Group && a.Address == b.Address &&
		a.DataCentre == b.DataCentre && a.State == b.State && a.Incarnation == b.Incarnation &&
		a.ReportedAt.Equal(b.ReportedAt) && a.ListedAt.Equal(b.ListedAt)
}

// refresh publishes the state of e after its flags changed. The caller holds r.mu.
func (r *Roster) refresh(e *entry) {
	v := *e.view
	r.setEntry(e, &v)
	r.publish()
}

// meet takes the incarnation that an endpoint answered with. A changed one ends what was known of the process before.
// It reports whether it changed. The caller holds r.mu.
func (r *Roster) meet(e *entry, inc qm.Incarnation) bool {
	if inc == "" || inc == e.view.Incarnation {
		return false
	}
	changed := e.view.Incarnation != ""
	if changed {
		r.opts.Log.Info("endpoint restarted", logs.Endpoint, e.view.ID, "From", e.view.Incarnation, "To", inc)
	}
	v := *e.view
	v.Incarnation, v.Load, v.ReportedAt = inc, qm.Load{}, time.Time{}
	e.saidLeaving, e.suspect, e.failures = false, false, 0
	r.setEntry(e, &v)
	return changed
}

// update runs f on an endpoint that is known, publishes the result and announces a changed incarnation.
func (r *Roster) update(id qm.EndpointID, inc qm.Incarnation, f func(*entry)) {
	r.mu.Lock()
	e := r.endpoints[id]
	if e == nil {
		r.mu.Unlock()
		return
	}
	changed := r.meet(e, inc)
	f(e)
	r.refresh(e)
	r.mu.Unlock()
	if changed {
		r.opts.OnRestart(id, inc)
	}
}

// Used tells that this router sends work to an endpoint, which makes it one to poll.
func (r *Roster) MarkUsed(id qm.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.endpoints[id]; e != nil {
		e.usedAt = time.Now()
	}
}

// Succeeded tells that an endpoint answered. inc is the incarnation that it named, empty if it named none.
func (r *Roster) MarkSucceeded(id qm.EndpointID, inc qm.Incarnation) {
	r.update(id, inc, func(e *entry) { e.suspect, e.failures = false, 0 })
}

// Failed tells that a request to an endpoint failed or stalled on an open connection. A probe over a new connection
// decides whether the endpoint is suspect.
func (r *Roster) MarkFailed(id qm.EndpointID) {
	r.update(id, "", func(e *entry) {
		if time.Now().Before(e.loadingUntil) {
			return // its runs may be cut
		}
		e.failures++
		if e.failures >= FailuresToSuspect {
			r.suspect(e)
			return
		}
		r.probe(e)
	})
}

// Refused tells that a new connection to an endpoint was refused. No probe is needed to call it suspect.
func (r *Roster) MarkRefused(id qm.EndpointID) {
	r.update(id, "", func(e *entry) {
		e.failures++
		r.suspect(e)
	})
}

// SaidLeaving tells that an endpoint said, in any answer, that it is leaving. It holds for that incarnation, whatever the
// list says.
func (r *Roster) MarkLeaving(id qm.EndpointID, inc qm.Incarnation) {
	r.update(id, inc, func(e *entry) { r.leaving(e) })
}

// SetLoads takes the estimated work at all endpoints; those that are not named have none.
func (r *Roster) SetLoads(loads map[qm.EndpointID]qm.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, e := range r.endpoints {
		v := *e.view
		l := loads[id]
		l.Slots = v.Load.Slots
		v.Load, v.ReportedAt = l, now
		r.setEntry(e, &v)
	}
	r.publish()
}

// SawVersion tells that an endpoint answered with a version of a model. Its next list entry goes before it.
func (r *Roster) SawVersion(id qm.EndpointID, model qm.ModelID, version qm.VersionID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.endpoints[id]; e != nil {
		r.sawVersion(e, model, version)
	}
}

// sawVersion takes a version that an endpoint has and reports whether it was news. The caller holds r.mu.
func (r *Roster) sawVersion(e *entry, model qm.ModelID, version qm.VersionID) bool {
	if e.view.Models[model] == version {
		return false
	}
	v := *e.view
	v.Models = maps.Clone(v.Models)
	if v.Models == nil {
		v.Models = map[qm.ModelID]qm.VersionID{}
	}
	v.Models[model] = version
	e.loadingUntil, e.saidAt, e.loadedAt = time.Time{}, time.Now(), time.Now()
	v.Version, v.ListedAt = qm.JoinVersions(v.Models), time.Now()
	r.setEntry(e, &v)
	r.publish()
	return true
}

// suspect marks an endpoint and keeps the evidence for peers. The caller holds r.mu.
func (r *Roster) suspect(e *entry) {
	if !e.suspect {
		e.suspect = true
		r.note(e, Hint{Kind: HintFailed})
	}
}

// leaving marks an endpoint and keeps the evidence for peers. The caller holds r.mu.
func (r *Roster) leaving(e *entry) {
	if !e.saidLeaving {
		e.saidLeaving = true
		r.note(e, Hint{Kind: HintLeaving})
	}
}

// probe starts a new connection to an endpoint unless one is under way. The caller holds r.mu.
func (r *Roster) probe(e *entry) {
	if e.probing || r.opts.Probe == nil {
		return
	}
	e.probing = true
	view := e.view
	r.background(func(ctx context.Context) {
		err := r.opts.Probe(ctx, view)
		r.update(view.ID, "", func(e *entry) {
			e.probing = false
			switch {
			case err != nil:
				r.suspect(e)
			case e.failures < FailuresToSuspect:
				e.suspect = false
			}
		})
	})
}

// probeSuspects probes suspect endpoints that no load poll reaches, so that they get work again once they answer.
func (r *Roster) probeSuspects(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		if !e.suspect {
			continue
		}
		// A suspect endpoint that takes connections gets one more chance; the next failure makes it suspect again.
		e.failures = min(e.failures, FailuresToSuspect-1)
		r.probe(e)
	}
}

// endpointViews returns the endpoints ordered by id. The caller holds r.mu.
func (r *Roster) endpointViews() qm.Endpoints {
	if r.sorted == nil {
		r.sorted = slices.SortedFunc(maps.Values(r.endpoints), func(a, b *entry) int {
			return strings.Compare(string(a.view.ID), string(b.view.ID))
		})
	}
	out := make(qm.Endpoints, len(r.sorted))
	for i, e := range r.sorted {
		out[i] = e.view
	}
	return out
}
