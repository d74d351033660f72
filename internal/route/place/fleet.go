package place

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/sketch"
)

const (
	// maxSlots bounds the engines that a router remembers; the slot of the engine seen longest ago is reused.
	maxSlots = 1 << 13
	// idleTime after its last appearance makes the slot of an engine without requests free for another one.
	idleTime = 10 * time.Minute
	// firstCost is the assumed time to prefill one token until first tokens were observed, for 40,000 tokens/s.
	firstCost = 1.0 / 40000
	// maxStay is the longest time that an unused block is trusted to stay in a cache, in seconds.
	maxStay = 60.0
	// rateMemory is the time constant of the estimated eviction rate, in seconds.
	rateMemory = 2.0
)

// engine is what a router knows of one engine.
type engine struct {
	id      qm.EndpointID
	inc     qm.Incarnation
	version qm.VersionID
	hash    uint64
	// epoch changes with the incarnation and with the weights; table entries of another epoch are void.
	epoch uint16
	seen  sketch.Tick
	// gap is when events were lost last. Entries seen before it may have been evicted without notice.
	gap sketch.Tick
	// heard is when events arrived last, 0 if none did in this epoch.
	heard sketch.Tick
	// loss is the share of the engine's events that are lost, last the number of the last event that arrived.
	loss float64
	last int64
	// stored counts the blocks that events have named, used the blocks in the cache by the last report.
	stored, used int64

	reported time.Time
	running  int
	waiting  int
	slots    int
	evicted  int64
	// rate is the eviction rate in blocks a second, stay the seconds that an unused block is expected to stay.
	rate, stay float64

	// inflight counts the own requests at the engine, pending their tokens that wait for prefill; the At values are those
	// of the moment when the current report arrived, and count as part of the report.
	inflight, inflightAt int
	pending, pendingAt   float64
	// queued is the reported backlog in tokens.
	queued float64
	// cost is the learned time to prefill one token, service the learned time of a request in a slot, both in seconds.
	cost, service float64

	// The rest is scratch space of one decision.
	stamp     uint32
	hit, conf float64
}

// load returns the reported requests, corrected by the own ones that started or ended since the report.
func (e *engine) load() int {
	return max(e.running+e.waiting+e.inflight-e.inflightAt, e.inflight)
}

// others returns the reported backlog of other routers, in tokens.
func (e *engine) others() float64 { return math.Max(0, e.queued-e.pendingAt) }

// sight returns the part of the engine's cache that its events show, from 0 to 1.
func (e *engine) sight(now sketch.Tick, silence time.Duration) float64 {
	if e.used == 0 {
		return 1
	}
	if e.heard == 0 || time.Duration(now-e.heard)*sketch.TickTime > silence {
		return 0
	}
	return (1 - e.loss) * math.Min(1, float64(e.stored)/float64(e.used))
}

// report takes over a new load report.
func (e *engine) report(ep *qm.Endpoint) {
	l := &ep.Load
	if dt := ep.ReportedAt.Sub(e.reported).Seconds(); !e.reported.IsZero() && dt > 0 && l.EvictedBlocks >= e.evicted {
		w := 1 - math.Exp(-dt/rateMemory)
		e.rate += w * (float64(l.EvictedBlocks-e.evicted)/dt - e.rate)
	}
	e.reported, e.evicted = ep.ReportedAt, l.EvictedBlocks
	e.running, e.waiting, e.slots = l.Running, l.Waiting, l.Slots
	e.queued, e.pendingAt, e.inflightAt = float64(l.QueuedTokens), e.pending, e.inflight
	e.used, e.stay = l.UsedBlocks, maxStay
	if e.rate > 0 {
		e.stay = math.Min(maxStay, float64(l.UsedBlocks)/e.rate)
	}
}

// renew starts a new epoch: what was known of the engine's cache and queue no longer holds.
func (e *engine) renew(inc qm.Incarnation, version qm.VersionID) {
	e.inc, e.version = inc, version
	if e.epoch++; e.epoch == 0 {
		e.epoch = 1
	}
	e.reported, e.rate, e.evicted, e.stay = time.Time{}, 0, 0, maxStay
	e.inflight, e.inflightAt, e.pending, e.pendingAt, e.queued = 0, 0, 0, 0, 0
	e.running, e.waiting, e.heard, e.last = 0, 0, 0, 0
	e.stored, e.used = 0, 0
}

// flight is one request at one engine.
type flight struct {
	engine  sketch.Slot
	epoch   uint16
	started time.Time
	// missing is the tokens to prefill, own and others the backlog before them that this router had sent and that was
	// reported of other routers.
	missing, own, others float64
	prefilled            bool
}

// flightID names a flight: a request may fail at one engine and be sent to the next.
type flightID struct {
	request  *qm.PlaceRequest
	endpoint qm.EndpointID
}

// fleet holds the engines that a router has met.
type fleet struct {
	engines []engine
	byID    map[qm.EndpointID]sketch.Slot
	flights map[flightID]flight
	// list maps the positions of the current request's engines to slots. hints keeps it per group, so that an unchanged list
	// costs one comparison per engine instead of a map look-up.
	list  []sketch.Slot
	hints map[qm.GroupID]*[]sketch.Slot
	zero  time.Time
}

func newFleet() *fleet {
	return &fleet{
		byID:    map[qm.EndpointID]sketch.Slot{},
		flights: map[flightID]flight{},
		hints:   map[qm.GroupID]*[]sketch.Slot{},
	}
}

// tick converts a time to ticks since the first one seen. It starts above 0, because a tick of 0 means never.
func (f *fleet) tick(now time.Time) sketch.Tick {
	if f.zero.IsZero() {
		f.zero = now.Add(-time.Minute)
	}
	return sketch.Tick(now.Sub(f.zero) / sketch.TickTime)
}

// at returns the engine at a position of the current list.
func (f *fleet) at(i int) *engine { return &f.engines[f.list[i]] }

// sync takes over incarnations, weights and load reports from the view of the engines.
func (f *fleet) sync(view []*qm.Endpoint, now time.Time) {
	if len(view) == 0 {
		return
	}
	hint := f.hints[view[0].Group]
	if hint == nil {
		hint = new([]sketch.Slot)
		f.hints[view[0].Group] = hint
	}
	for len(*hint) < len(view) {
		*hint = append(*hint, 0)
	}
	f.list = (*hint)[:len(view)]
	tick := f.tick(now)
	for i, ep := range view {
		s := f.list[i]
		if int(s) >= len(f.engines) || f.engines[s].id != ep.ID {
			s = f.slot(ep.ID, tick)
			f.list[i] = s
		}
		e := &f.engines[s]
		e.seen = tick
		if e.inc == ep.Incarnation && e.version == "" {
			e.version = ep.Version
		}
		if e.inc != ep.Incarnation || e.version != ep.Version {
			e.renew(ep.Incarnation, ep.Version)
		}
		if !ep.ReportedAt.Equal(e.reported) {
			e.report(ep)
		}
	}
}

// slot returns the slot of an engine, a new one if it was not met before.
func (f *fleet) slot(id qm.EndpointID, now sketch.Tick) sketch.Slot {
	if s, ok := f.byID[id]; ok {
		return s
	}
	s, ok := f.reusable(now)
	if !ok {
		s = sketch.Slot(len(f.engines))
		f.engines = append(f.engines, engine{})
	}
	e := &f.engines[s]
	delete(f.byID, e.id)
	*e = engine{
		id: id, hash: xxhash.Sum64String(string(id)), epoch: e.epoch, seen: now, cost: f.typicalCost(), service: e.service,
	}
	e.renew("", "")
	f.byID[id] = s
	return s
}

// reusable finds the slot of an engine that is gone. Once all slots are taken it takes the one seen longest ago.
func (f *fleet) reusable(now sketch.Tick) (sketch.Slot, bool) {
	old := 0
	for i := range f.engines {
		if f.engines[i].seen < f.engines[old].seen {
			old = i
		}
	}
	if len(f.engines) == 0 {
		return 0, false
	}
	idle := time.Duration(now-f.engines[old].seen)*sketch.TickTime > idleTime
	return sketch.Slot(old), len(f.engines) >= maxSlots || (idle && f.engines[old].inflight == 0)
}

// typicalCost returns the mean prefill cost of the known engines, the best guess for a new one.
func (f *fleet) typicalCost() float64 {
	sum, n := 0.0, 0
	for i := range f.engines {
		if f.engines[i].cost > 0 {
			sum += f.engines[i].cost
			n++
		}
	}
	if n == 0 {
		return firstCost
	}
	return sum / float64(n)
}

// current returns the engine of a decision if it is still the same incarnation.
func (f *fleet) current(id qm.EndpointID, inc qm.Incarnation) (*engine, sketch.Slot, bool) {
	s, ok := f.byID[id]
	if !ok || f.engines[s].inc != inc {
		return nil, 0, false
	}
	return &f.engines[s], s, true
}

// hit returns the tokens of the current request that an engine is expected to hold.
func (f *fleet) hit(id qm.EndpointID) float64 {
	s, ok := f.byID[id]
	if !ok {
		return 0
	}
	return f.engines[s].hit
}

// known is like current, but takes over an engine that was not met before. A restarted router reads the events that
// engines retain before it places its first request.
func (f *fleet) known(
	id qm.EndpointID, inc qm.Incarnation, now time.Time,
) (*engine, sketch.Slot, bool) {
	if _, ok := f.byID[id]; !ok {
		f.engines[f.slot(id, f.tick(now))].inc = inc
	}
	return f.current(id, inc)
}

// start records a dispatch.
func (f *fleet) start(r *qm.PlaceRequest, d qm.Placement, now time.Time) {
	e, s, ok := f.current(d.Endpoint.ID, d.Incarnation)
	if !ok {
		return
	}
	missing := float64(max(0, r.PromptTokens-d.CachedTokens))
	f.flights[flightID{r, d.Endpoint.ID}] = flight{
		engine: s, epoch: e.epoch, started: now, missing: missing, own: e.pending, others: e.others(),
	}
	e.inflight++
	e.pending += missing
}

// prefilled records a first token and returns the flight as it was before, with its engine, unless the engine has
// restarted since.
func (f *fleet) prefilled(r *qm.PlaceRequest, d qm.Placement) (flight, *engine) {
	id := flightID{r, d.Endpoint.ID}
	fl, ok := f.flights[id]
	if !ok || fl.prefilled || f.engines[fl.engine].epoch != fl.epoch {
		return fl, nil
	}
	e := &f.engines[fl.engine]
	e.pending = math.Max(0, e.pending-fl.missing)
	done := fl
	done.prefilled = true
	f.flights[id] = done
	return fl, e
}

// end records that a request left its engine. It returns the flight and its engine unless that has restarted since.
func (f *fleet) end(r *qm.PlaceRequest, d qm.Placement) (flight, *engine) {
	id := flightID{r, d.Endpoint.ID}
	fl, ok := f.flights[id]
	delete(f.flights, id)
	if !ok || f.engines[fl.engine].epoch != fl.epoch {
		return fl, nil
	}
	e := &f.engines[fl.engine]
	e.inflight--
	if !fl.prefilled {
		e.pending = math.Max(0, e.pending-fl.missing)
	}
	return fl, e
}
