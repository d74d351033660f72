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

// endpoint is the state kept for one endpoint.
type endpoint struct {
	// view is the endpoint as published on the board. It is replaced, never modified.
	view *qm.Endpoint
	// listedLeaving, reportedLeaving and suspect determine the state. reportedLeaving applies to one incarnation.
	listedLeaving, reportedLeaving, suspect bool
	// failures counts the failures since the last success.
	failures int
	probing  bool
	// failedAt is the time of the newest failure that was sent to or received from peers as a hint.
	failedAt time.Time
	// loadingUntil is when an endpoint that loads weights is expected to accept requests again.
	loadingUntil time.Time
	// weightsReportedAt is when the endpoint itself last reported weights other than the known ones. weightsChangedAt is when the known
	// weights last changed, whatever the source.
	weightsReportedAt, weightsChangedAt time.Time
	usedAt                              time.Time
	polledAt                            time.Time
}

// listLag is how far the instance list may lag behind an endpoint. For this time after the endpoint reported its weights, the list does
// not override them.
const listLag = 2500 * time.Millisecond

func (e *endpoint) state() qm.MemberState {
	switch {
	case e.listedLeaving, e.reportedLeaving:
		return qm.Leaving
	case e.suspect, time.Now().Before(e.loadingUntil):
		return qm.Suspect
	}
	return qm.Live
}

// mergeEndpoints applies the endpoints of the instance list and removes those that it no longer contains. It returns the endpoints that
// the list names with another incarnation than before. The caller holds r.mu.
func (r *Roster) mergeEndpoints(list []*qm.Endpoint) (restarted []*qm.Endpoint) {
	seen := make(map[qm.EndpointID]bool, len(list))
	for _, l := range list {
		seen[l.ID] = true
		e := r.endpoints[l.ID]
		if e == nil {
			e = &endpoint{view: &qm.Endpoint{ID: l.ID, Address: l.Address}}
			r.endpoints[l.ID] = e
			r.sorted, r.assignmentStale = nil, true
		}
		if r.setIncarnation(e, l.Incarnation) {
			restarted = append(restarted, l)
		}
		e.listedLeaving = l.State == qm.Leaving
		v := *e.view
		v.ID, v.Kind, v.Group, v.Address, v.DataCentre = l.ID, l.Kind, l.Group, l.Address, l.DataCentre
		if l.ListedAt.After(v.ListedAt) && time.Since(e.weightsReportedAt) > listLag {
			if l.Version != v.Version {
				e.loadingUntil, e.weightsChangedAt = time.Time{}, time.Now()
			}
			v.Models, v.Version, v.Load.Slots, v.ListedAt = l.Models, l.Version, l.Load.Slots, l.ListedAt
		}
		r.setEndpoint(e, &v)
	}
	for id := range r.endpoints {
		if !seen[id] {
			r.opts.Log.Info("endpoint forgotten", logs.Endpoint, id, "ListedAgeMs", ageMs(r.endpoints[id].view.ListedAt))
			delete(r.endpoints, id)
			r.sorted, r.endpointsChanged = nil, true
		}
	}
	return restarted
}

// setEndpoint replaces the view of an endpoint. The caller holds r.mu.
func (r *Roster) setEndpoint(e *endpoint, v *qm.Endpoint) {
	v.State = e.state()
	if v.State != e.view.State {
		r.opts.Log.Info("endpoint state", logs.Endpoint, v.ID, "Address", v.Address, "From", e.view.State, "To", v.State,
			"ListedLeaving", e.listedLeaving, "SaidLeaving", e.reportedLeaving, "Suspect", e.suspect, "Failures", e.failures,
			"LoadingMs", max(0, time.Until(e.loadingUntil).Milliseconds()), "ListedAgeMs", ageMs(v.ListedAt))
	}
	if v.Version != e.view.Version && !e.view.ListedAt.IsZero() {
		r.opts.Log.Info("endpoint has weights", logs.Endpoint, v.ID, "From", e.view.Version, "To", v.Version, "ListedAgeMs", ageMs(e.view.ListedAt))
	}
	if !sameView(e.view, v) {
		e.view = v
		r.endpointsChanged = true
	}
}

// ageMs returns the time since at in milliseconds, or -1 if at is zero.
func ageMs(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// sameView compares all fields except the slices and maps, which change only together with ReportedAt or ListedAt.
func sameView(a, b *qm.Endpoint) bool {
	return a.ID == b.ID && a.Kind == b.Kind && a.Group == b.Group && a.Address == b.Address &&
		a.DataCentre == b.DataCentre && a.State == b.State && a.Incarnation == b.Incarnation &&
		a.ReportedAt.Equal(b.ReportedAt) && a.ListedAt.Equal(b.ListedAt)
}

// publishEndpoint updates the state of e after its flags changed and publishes it. The caller holds r.mu.
func (r *Roster) publishEndpoint(e *endpoint) {
	v := *e.view
	r.setEndpoint(e, &v)
	r.publish()
}

// setIncarnation sets the incarnation that an endpoint answered with. If it differs from the known one, the state of the previous process
// is discarded. It reports whether a known incarnation changed. The caller holds r.mu.
func (r *Roster) setIncarnation(e *endpoint, inc qm.Incarnation) bool {
	if inc == "" || inc == e.view.Incarnation {
		return false
	}
	changed := e.view.Incarnation != ""
	if changed {
		r.opts.Log.Info("endpoint restarted", logs.Endpoint, e.view.ID, "From", e.view.Incarnation, "To", inc)
	}
	v := *e.view
	v.Incarnation, v.Load, v.ReportedAt = inc, qm.Load{}, time.Time{}
	e.reportedLeaving, e.suspect, e.failures = r.leaving[e.view.ID] == inc, false, 0
	r.setEndpoint(e, &v)
	return changed
}

// update runs f on a known endpoint, publishes the result and calls Options.OnRestart if the incarnation changed.
func (r *Roster) update(id qm.EndpointID, inc qm.Incarnation, f func(*endpoint)) {
	r.mu.Lock()
	e := r.endpoints[id]
	if e == nil {
		r.mu.Unlock()
		return
	}
	changed := r.setIncarnation(e, inc)
	f(e)
	r.publishEndpoint(e)
	r.mu.Unlock()
	if changed {
		r.opts.OnRestart(id, inc)
	}
}

// MarkUsed records that this router sends requests to an endpoint, which gives it precedence in load polls.
func (r *Roster) MarkUsed(id qm.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.endpoints[id]; e != nil {
		e.usedAt = time.Now()
	}
}

// MarkSucceeded records that an endpoint answered. inc is the incarnation in the answer, empty if there was none.
func (r *Roster) MarkSucceeded(id qm.EndpointID, inc qm.Incarnation) {
	r.update(id, inc, func(e *endpoint) { e.suspect, e.failures = false, 0 })
}

// MarkFailed records that a request to an endpoint failed or stalled on an open connection. A probe over a new connection decides whether
// the endpoint is suspect; after FailuresToSuspect failures in a row it is suspect without a probe.
func (r *Roster) MarkFailed(id qm.EndpointID) {
	r.update(id, "", func(e *endpoint) {
		if time.Now().Before(e.loadingUntil) {
			return // loading weights may abort requests
		}
		e.failures++
		if e.failures >= FailuresToSuspect {
			r.setSuspect(e)
			return
		}
		r.probe(e)
	})
}

// MarkRefused records that an endpoint refused a new connection. The endpoint becomes suspect without a probe.
func (r *Roster) MarkRefused(id qm.EndpointID) {
	r.update(id, "", func(e *endpoint) {
		e.failures++
		r.setSuspect(e)
	})
}

// MarkLeaving records that incarnation inc of an endpoint declared in an answer that it is leaving. This holds whatever the instance list
// says, also if the endpoint is dropped from the list and listed again. It does not affect another incarnation.
func (r *Roster) MarkLeaving(id qm.EndpointID, inc qm.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[id]
	if e != nil && e.view.Incarnation == "" {
		r.setIncarnation(e, inc)
	}
	r.rememberLeaving(id, inc)
	if e != nil && e.view.Incarnation == inc {
		r.setLeaving(e)
		r.publishEndpoint(e)
	}
}

// maxLeavingRemembered limits the endpoints that are remembered as leaving. A system of the target size replaces a few hundred a day.
const maxLeavingRemembered = 4096

// rememberLeaving records which incarnation of an endpoint is leaving. The caller holds r.mu.
func (r *Roster) rememberLeaving(id qm.EndpointID, inc qm.Incarnation) {
	if inc == "" {
		return
	}
	if _, ok := r.leaving[id]; !ok && len(r.leaving) >= maxLeavingRemembered {
		for other := range r.leaving {
			if r.endpoints[other] == nil {
				delete(r.leaving, other)
			}
		}
	}
	r.leaving[id] = inc
}

// SetLoads sets the estimated load of all endpoints; endpoints missing from loads have none.
func (r *Roster) SetLoads(loads map[qm.EndpointID]qm.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, e := range r.endpoints {
		v := *e.view
		l := loads[id]
		l.Slots = v.Load.Slots
		v.Load, v.ReportedAt = l, now
		r.setEndpoint(e, &v)
	}
	r.publish()
}

// RecordVersion records that an endpoint answered with a version of a model. Its next entry in the instance list takes precedence.
func (r *Roster) RecordVersion(id qm.EndpointID, model qm.ModelID, version qm.VersionID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.endpoints[id]; e != nil {
		r.setVersion(e, model, version)
	}
}

// setVersion sets the version of a model that an endpoint has and reports whether it differs from the known one. The caller holds r.mu.
func (r *Roster) setVersion(e *endpoint, model qm.ModelID, version qm.VersionID) bool {
	if e.view.Models[model] == version {
		return false
	}
	v := *e.view
	v.Models = maps.Clone(v.Models)
	if v.Models == nil {
		v.Models = map[qm.ModelID]qm.VersionID{}
	}
	v.Models[model] = version
	e.loadingUntil, e.weightsReportedAt, e.weightsChangedAt = time.Time{}, time.Now(), time.Now()
	v.Version, v.ListedAt = qm.JoinVersions(v.Models), time.Now()
	r.setEndpoint(e, &v)
	r.publish()
	return true
}

// setSuspect marks an endpoint as suspect and queues a hint for peers. The caller holds r.mu.
func (r *Roster) setSuspect(e *endpoint) {
	if !e.suspect {
		e.suspect = true
		r.addHint(e, Hint{Kind: HintFailed})
	}
}

// setLeaving marks an endpoint as leaving and queues a hint for peers. The caller holds r.mu.
func (r *Roster) setLeaving(e *endpoint) {
	if !e.reportedLeaving {
		e.reportedLeaving = true
		r.addHint(e, Hint{Kind: HintLeaving})
	}
}

// probe starts a probe of an endpoint over a new connection unless one is in progress. The caller holds r.mu.
func (r *Roster) probe(e *endpoint) {
	if e.probing || r.opts.Probe == nil {
		return
	}
	e.probing = true
	view := e.view
	r.background(func(ctx context.Context) {
		err := r.opts.Probe(ctx, view)
		r.update(view.ID, "", func(e *endpoint) {
			e.probing = false
			switch {
			case err != nil:
				r.setSuspect(e)
			case e.failures < FailuresToSuspect:
				e.suspect = false
			}
		})
	})
}

// probeSuspects probes suspect endpoints that no load poll reaches, so that they receive requests again once they answer.
func (r *Roster) probeSuspects(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		if !e.suspect {
			continue
		}
		// The cap lets a successful probe make the endpoint live again. If it had reached FailuresToSuspect, its next failure makes it
		// suspect again.
		e.failures = min(e.failures, FailuresToSuspect-1)
		r.probe(e)
	}
}

// endpointViews returns the endpoints ordered by ID. The caller holds r.mu.
func (r *Roster) endpointViews() qm.Endpoints {
	if r.sorted == nil {
		r.sorted = slices.SortedFunc(maps.Values(r.endpoints), func(a, b *endpoint) int {
			return strings.Compare(string(a.view.ID), string(b.view.ID))
		})
	}
	out := make(qm.Endpoints, len(r.sorted))
	for i, e := range r.sorted {
		out[i] = e.view
	}
	return out
}
