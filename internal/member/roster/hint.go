package roster

import (
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// HintKind tells what a hint is evidence for.
type HintKind int

// Kinds of hints.
const (
	HintLeaving HintKind = iota + 1
	HintFailed
	// HintLoading means that the endpoint is about to load weights.
	HintLoading
	// HintWeights means that the endpoint has a version of a model.
	HintWeights
)

// LoadingTime is how long an endpoint that loads weights gets no work, unless it says earlier that it has them: its runs end first, and
// loading takes two seconds and longer.
const LoadingTimeout = 4 * time.Second

// HintValidity is the age at which a hint is dropped. The list has caught up by then.
const HintValidity = 30 * time.Second

// Hint is evidence about an endpoint that routers pass on.
type Hint struct {
	Endpoint    qm.EndpointID
	Incarnation qm.Incarnation
	Kind        HintKind
	Age         time.Duration
	// Model and Version are set for HintWeights.
	Model   qm.ModelID
	Version qm.VersionID
}

type timedHint struct {
	hint Hint
	at   time.Time
}

// hintSlack is the difference in time up to which two hints are about the same event.
const hintSlack = time.Second

// Loading tells that an endpoint is about to load weights.
func (r *Roster) MarkLoading(id qm.EndpointID) {
	r.update(id, "", func(e *entry) {
		until := time.Now().Add(LoadingTimeout)
		if until.After(e.loadingUntil.Add(hintSlack)) {
			e.loadingUntil = until
			r.note(e, Hint{Kind: HintLoading})
		}
	})
}

// Loaded tells that an endpoint has said that it has a version of a model, and passes it on.
func (r *Roster) MarkLoaded(id qm.EndpointID, model qm.ModelID, version qm.VersionID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.endpoints[id]; e != nil && r.sawVersion(e, model, version) {
		r.note(e, Hint{Kind: HintWeights, Model: model, Version: version})
	}
}

// note keeps own evidence about an endpoint for the peers. The caller holds r.mu.
func (r *Roster) note(e *entry, h Hint) {
	if h.Kind == HintFailed {
		e.failedAt = time.Now()
	}
	h.Endpoint, h.Incarnation = e.view.ID, e.view.Incarnation
	r.hints = append(r.hints, timedHint{h, time.Now()})
	if over := len(r.hints) - hintsKept; over > 0 {
		r.hints = append(r.hints[:0:0], r.hints[over:]...)
	}
}

// TakeHints returns the own evidence since the last call, oldest first.
func (r *Roster) TakeHints() []Hint {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Hint, 0, len(r.hints))
	for _, h := range r.hints {
		if h.hint.Age = time.Since(h.at); h.hint.Age < HintValidity {
			out = append(out, h.hint)
		}
	}
	r.hints = nil
	return out
}

// Hinted takes the evidence of a peer and reports whether it was news. A leaving endpoint gets no new work at once. A
// failed one is probed first, because the fault may lie between the peer and the endpoint.
func (r *Roster) ApplyHint(h Hint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[h.Endpoint]
	if e == nil || h.Age >= HintValidity {
		return false
	}
	known := e.view.Incarnation
	if known != "" && h.Incarnation != "" && known != h.Incarnation {
		return false
	}
	switch h.Kind {
	case HintWeights:
		return time.Since(e.view.ListedAt) > h.Age && r.sawVersion(e, h.Model, h.Version)
	case HintLeaving:
		if e.saidLeaving {
			return false
		}
		// The hint binds to the incarnation that it names, so that a restarted endpoint is not held to it.
		if known == "" && h.Incarnation != "" {
			r.meet(e, h.Incarnation)
		}
		e.saidLeaving = true
		r.refresh(e)
		return true
	case HintLoading:
		// What was said before the endpoint had its weights comes back by several ways.
		at := time.Now().Add(-h.Age)
		until := at.Add(LoadingTimeout)
		if !at.After(e.loadedAt) || !until.After(e.loadingUntil.Add(hintSlack)) {
			return false
		}
		e.loadingUntil = until
		r.refresh(e)
		return true
	case HintFailed:
		// The same evidence comes back by several ways; only what is newer is worth another probe.
		at := time.Now().Add(-h.Age)
		if e.suspect || e.probing || !at.After(e.failedAt.Add(hintSlack)) {
			return false
		}
		e.failedAt = at
		r.probe(e)
		return true
	}
	return false
}
