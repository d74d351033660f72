// Package roll decides which engines are ordered to load new weights, and when.
//
// The weights that are named last are the goal; versions in between are skipped. Only a part of the engines load at the same time,
// since the weight store slows down when many do and the others have to carry the load meanwhile. An order whose fate is not known is
// looked into before it is given again.
package roll

import (
	"slices"
	"strings"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// atOnceShare is the part of the engines of a model that load at the same time: a sixth to a fifth, as the deployments' weight
	// stores serve at full speed.
	atOnceShare = 5
	// leastAtOnce is the least number of engines that load at the same time.
	leastAtOnce = 2
	// loadTime is how long an accepted order is waited for before it is looked into: runs end first, for seconds, and loading takes
	// two seconds and longer.
	loadTime = 6 * time.Second
	// lookTime is how long an order without an answer is waited for before it is looked into.
	lookTime = time.Second
)

// Order is one order to an engine.
type Order struct {
	Endpoint *qm.Endpoint
	Model    qm.ModelID
	Weights  qm.Weights
}

// Fate is what is known of an order that was given.
type Fate int

// Fates of an order.
const (
	// Accepted orders are being carried out.
	Accepted Fate = iota
	// Lost orders got no answer: they may be carried out, now or later.
	Lost
	// Refused orders were not accepted.
	Refused
)

// given is an order that was given.
type given struct {
	version qm.VersionID
	inc     qm.Incarnation
	until   time.Time
}

// Plan is the state of the roll-outs of one holder. It is not safe for concurrent use.
type Plan struct {
	orders map[qm.EndpointID]given
}

// New returns a plan in which no order was given.
func New() *Plan { return &Plan{orders: make(map[qm.EndpointID]given)} }

// Next returns the orders to give now. Each must be followed by Gave.
func (p *Plan) Next(endpoints []*qm.Endpoint, wanted map[qm.ModelID]qm.Weights, now time.Time) []Order {
	p.settle(endpoints, now)
	var out []Order
	for _, model := range models(wanted) {
		w := wanted[model]
		var behind []*qm.Endpoint
		engines, loading := 0, 0
		for _, e := range endpoints {
			has, ok := e.Models[model]
			if !ok || e.State == qm.Leaving {
				continue
			}
			engines++
			switch _, ordered := p.orders[e.ID]; {
			case ordered:
				loading++
			case has != w.Version:
				behind = append(behind, e)
			}
		}
		// Engines that take no work anyway come first.
		slices.SortStableFunc(behind, func(a, b *qm.Endpoint) int { return rank(a) - rank(b) })
		room := max(leastAtOnce, engines/atOnceShare) - loading
		for _, e := range behind[:max(0, min(room, len(behind)))] {
			out = append(out, Order{Endpoint: e, Model: model, Weights: w})
		}
	}
	return out
}

func rank(e *qm.Endpoint) int {
	if e.State == qm.Live {
		return 1
	}
	return 0
}

func models(wanted map[qm.ModelID]qm.Weights) []qm.ModelID {
	var out []qm.ModelID
	for m := range wanted {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b qm.ModelID) int { return strings.Compare(string(a), string(b)) })
	return out
}

// settle forgets orders that were carried out, whose engine is gone or restarted, or that were waited for long enough.
func (p *Plan) settle(endpoints []*qm.Endpoint, now time.Time) {
	byID := make(map[qm.EndpointID]*qm.Endpoint, len(endpoints))
	for _, e := range endpoints {
		byID[e.ID] = e
	}
	for id, g := range p.orders {
		e := byID[id]
		if e == nil || e.Incarnation != g.inc || has(e, g.version) || now.After(g.until) {
			delete(p.orders, id)
		}
	}
}

func has(e *qm.Endpoint, v qm.VersionID) bool {
	for _, m := range e.Models {
		if m == v {
			return true
		}
	}
	return false
}

// Gave tells what became of an order.
func (p *Plan) Gave(o Order, f Fate, now time.Time) {
	wait := lookTime
	if f == Accepted {
		wait = loadTime
	}
	p.orders[o.Endpoint.ID] = given{version: o.Weights.Version, inc: o.Endpoint.Incarnation, until: now.Add(wait)}
}

// Loading returns the number of orders that are being carried out as far as is known.
func (p *Plan) Loading() int { return len(p.orders) }
