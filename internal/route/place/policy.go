// Package place chooses an engine for each request.
//
// Expected is the router's policy. Random, Least and Hash are the baselines that it is compared with. All of them
// send requests to live engines, to suspect ones only if no live one is left, and never to one that is leaving or
// excluded.
package place

import (
	"math/rand/v2"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Policy describes a placement policy.
type Policy struct {
	Name string
	// Inputs lists what the policy takes into account.
	Inputs string
	// Reasons maps each reason that a decision may carry to its meaning.
	Reasons map[string]string
	// New returns a placer with its own state.
	New func() qm.Placer
}

// Reasons of decisions.
const (
	reasonRandom = "random"
	reasonLeast  = "least"
	reasonHash   = "hash"
	reasonHolder = "holder"
	reasonHome   = "home"
	reasonSpread = "spread"
	reasonFree   = "free"
)

// Policies returns all policies, baselines first.
func Policies() []Policy {
	return []Policy{
		{
			Name: "random", Inputs: "which engines accept requests",
			Reasons: map[string]string{reasonRandom: "chosen uniformly at random"},
			New:     func() qm.Placer { return random{} },
		},
		{
			Name: "least", Inputs: "reported requests per engine and this router's dispatches since the report",
			Reasons: map[string]string{reasonLeast: "fewest requests; ties broken at random"},
			New:     func() qm.Placer { return newLeast() },
		},
		{
			Name: "hash", Inputs: "the prefix that covers 0.7 of the prompt",
			Reasons: map[string]string{reasonHash: "first by rendezvous hash of the prefix"},
			New:     func() qm.Placer { return hash{share: HashShare} },
		},
		{
			Name: "expected", Inputs: "load reports, this router's dispatches, first tokens, cache events, recent and hot prefixes",
			Reasons: map[string]string{
				reasonHolder: "least expected time to first token, with part of the prompt in the cache",
				reasonHome:   "first by rendezvous hash, and not much slower than the best",
				reasonSpread: "one of the homes of a hot prefix",
				reasonFree:   "least expected time to first token, without any expected hit",
			},
			New: func() qm.Placer { return New(Defaults()) },
		},
	}
}

// candidateState returns the state that an engine must have to be chosen, which is the best one among those that are
// neither leaving nor excluded, and the number of engines that have it.
func candidateState(engines []*qm.Endpoint, exclude []qm.EndpointID) (qm.MemberState, int) {
	live, suspect := 0, 0
	for _, e := range engines {
		switch {
		case e.State == qm.Leaving || excluded(e.ID, exclude):
		case e.State == qm.Live:
			live++
		case e.State == qm.Suspect:
			suspect++
		}
	}
	if live > 0 {
		return qm.Live, live
	}
	return qm.Suspect, suspect
}

// excluded reports whether id is in the list, which has an entry for each failed attempt of one request.
func excluded(id qm.EndpointID, list []qm.EndpointID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

// usable reports whether an engine has the required state and is not excluded.
func usable(e *qm.Endpoint, state qm.MemberState, exclude []qm.EndpointID) bool {
	return e.State == state && !excluded(e.ID, exclude)
}

// noFeedback is embedded by policies that learn nothing from the progress of requests.
type noFeedback struct{}

func (noFeedback) Dispatched(*qm.PlaceRequest, qm.Placement, time.Time) {}
func (noFeedback) FirstToken(*qm.PlaceRequest, qm.Placement, qm.Tokens, time.Time) {
}
func (noFeedback) Finished(*qm.PlaceRequest, qm.Placement, time.Time) {}

// random chooses an engine uniformly at random.
type random struct{ noFeedback }

// Place implements quetzalmount.Placer.
func (random) Place(
	r *qm.PlaceRequest, engines []*qm.Endpoint, _ time.Time, rnd *rand.Rand,
) (qm.Placement, bool) {
	state, n := candidateState(engines, r.Exclude)
	if n == 0 {
		return qm.Placement{}, false
	}
	pick := rnd.IntN(n)
	for _, e := range engines {
		if !usable(e, state, r.Exclude) {
			continue
		}
		if pick == 0 {
			return qm.Placement{Endpoint: e, Incarnation: e.Incarnation, Reason: reasonRandom}, true
		}
		pick--
	}
	return qm.Placement{}, false
}
