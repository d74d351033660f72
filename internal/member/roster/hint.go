package roster

import (
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// HintKind is the state of an endpoint that a hint reports.
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

// LoadingTimeout is how long an endpoint that loads weights receives no requests, unless it reports earlier that it has loaded them. Its
// running requests end first, and loading takes at least two seconds.
const LoadingTimeout = 4 * time.Second

// HintValidity is the age at which a hint is dropped; by then the instance list has caught up.
const HintValidity = 30 * time.Second

// Hint is an observation of an endpoint that routers pass on to each other.
type Hint struct {
	Endpoint    qm.EndpointID
	Incarnation qm.Incarnation
	Kind        HintKind
	Age         time.Duration
	// Model and Version are set for HintWeights only.
	Model   qm.ModelID
	Version qm.VersionID
}

// timedHint is a hint with the time at which it was observed.
type timedHint struct {
	hint Hint
	at   time.Time
}

// hintTolerance is the time difference up to which two hints are taken for the same event.
const hintTolerance = time.Second

// MarkLoading records that an endpoint is about to load weights and queues a hint for peers.
func (r *Roster) MarkLoading(id qm.EndpointID) {
	r.update(id, "", func(e *endpoint) {
		until := time.Now().Add(LoadingTimeout)
		if until.After(e.loadingUntil.Add(hintTolerance)) {
			e.loadingUntil = until
			r.addHint(e, Hint{Kind: HintLoading})
		}
	})
}

// MarkLoaded records that an endpoint reported that it has a version of a model and, if that is new, queues a hint for peers.
func (r *Roster) MarkLoaded(id qm.EndpointID, model qm.ModelID, version qm.VersionID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.endpoints[id]; e != nil && r.setVersion(e, model, version) {
		r.addHint(e, Hint{Kind: HintWeights, Model: model, Version: version})
	}
}

// addHint queues a hint about an endpoint for peers. Beyond maxHints the oldest hints are dropped. The caller holds r.mu.
func (r *Roster) addHint(e *endpoint, h Hint) {
	if h.Kind == HintFailed {
		e.failedAt = time.Now()
	}
	h.Endpoint, h.Incarnation = e.view.ID, e.view.Incarnation
	r.hints = append(r.hints, timedHint{h, time.Now()})
	if over := len(r.hints) - maxHints; over > 0 {
		r.hints = append(r.hints[:0:0], r.hints[over:]...)
	}
}

// TakeHints returns the hints that this router has queued since the last call, oldest first.
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

// ApplyHint applies a hint from a peer and reports whether it was new. An endpoint that is leaving receives no new requests from then on.
// An endpoint that failed is probed first, because the fault may lie in the network between the peer and the endpoint.
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
		return time.Since(e.view.ListedAt) > h.Age && r.setVersion(e, h.Model, h.Version)
	case HintLeaving:
		if e.reportedLeaving {
			return false
		}
		// The hint applies only to the incarnation that it names, so that it does not affect a restarted endpoint.
		if known == "" && h.Incarnation != "" {
			r.setIncarnation(e, h.Incarnation)
		}
		e.reportedLeaving = true
		r.rememberLeaving(h.Endpoint, e.view.Incarnation)
		r.publishEndpoint(e)
		return true
	case HintLoading:
		// A hint from before the endpoint had loaded its weights may arrive late through several peers.
		at := time.Now().Add(-h.Age)
		until := at.Add(LoadingTimeout)
		if !at.After(e.weightsChangedAt) || !until.After(e.loadingUntil.Add(hintTolerance)) {
			return false
		}
		e.loadingUntil = until
		r.publishEndpoint(e)
		return true
	case HintFailed:
		// The same hint arrives through several peers; only a newer failure is worth another probe.
		at := time.Now().Add(-h.Age)
		if e.suspect || e.probing || !at.After(e.failedAt.Add(hintTolerance)) {
			return false
		}
		e.failedAt = at
		r.probe(e)
		return true
	}
	return false
}
