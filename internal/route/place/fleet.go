package place

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/sketch"
)

const (
	// maxEngines bounds the engines that a router remembers. At the bound the entry of the engine seen longest ago is
	// reused.
	maxEngines = 1 << 13
	// idleTimeout is the time since an engine was last seen after which its entry may be reused, if it has no
	// requests.
	idleTimeout = 10 * time.Minute
	// initialPrefillCost is the assumed prefill time of one token in seconds, at 40,000 tokens/s, until first tokens
	// were observed.
	initialPrefillCost = 1.0 / 40000
	// maxResidence bounds the expected time that an unused block stays in a cache, in seconds.
	maxResidence = 60.0
	// rateTimeConstant is the time constant of the estimated eviction rate, in seconds.
	rateTimeConstant = 2.0
)

// engine is what a router knows of one engine.
type engine struct {
	id          qm.EndpointID
	incarnation qm.Incarnation
	version     qm.VersionID
	hash        uint64
	// epoch changes with the incarnation and with the weights. Table entries of another epoch are void.
	epoch    uint16
	lastSeen sketch.Tick
	// lastGap is when events were last lost. Entries seen before it may have been evicted without notice.
	lastGap sketch.Tick
	// lastEvent is when events last arrived, 0 if none did in this epoch.
	lastEvent sketch.Tick
	// lossRate is the share of the engine's events that are lost, lastSeq the sequence number of the last event that
	// arrived.
	lossRate float64
	lastSeq  int64
	// storedBlocks counts the stored events of this epoch, usedBlocks is the number of blocks in the cache by the
	// last report.
	storedBlocks, usedBlocks int64

	reportedAt    time.Time
	running       int
	waiting       int
	slots         int
	evictedBlocks int64
	// evictionRate is in blocks per second. residence is the expected time that an unused block stays in the cache,
	// in seconds.
	evictionRate, residence float64

	// inflight counts this router's requests at the engine, pendingTokens their tokens that wait for prefill. The
	// AtReport values are those at the time the current report arrived; the report is taken to include them.
	inflight, inflightAtReport     int
	pendingTokens, pendingAtReport float64
	// queuedTokens is the reported backlog.
	queuedTokens float64
	// prefillCost is the learned time to prefill one token, serviceTime the learned time that a request occupies a
	// batch slot, both in seconds.
	prefillCost, serviceTime float64
	// slowness is the reported one, 0 for an engine like the others. prefillCost is without it.
	slowness float64

	// The remaining fields are scratch space of one decision: hit is the expected number of prompt tokens in the
	// cache, hitConfidence the highest confidence in any of its table entries.
	decisionID         uint32
	hit, hitConfidence float64
}

// load returns the number of reported requests, corrected by this router's own requests that started or ended since
// the report.
func (e *engine) load() int {
	return max(e.running+e.waiting+e.inflight-e.inflightAtReport, e.inflight)
}

// cost returns the time to prefill one token, in seconds.
func (e *engine) cost() float64 {
	if e.slowness > 0 {
		return e.prefillCost * e.slowness
	}
	return e.prefillCost
}

// otherBacklog returns the reported backlog of other routers, in tokens.
func (e *engine) otherBacklog() float64 { return math.Max(0, e.queuedTokens-e.pendingAtReport) }

// coverage returns the part of the engine's cache that its events cover, from 0 to 1.
func (e *engine) coverage(now sketch.Tick, silence time.Duration) float64 {
	if e.usedBlocks == 0 {
		return 1
	}
	if e.lastEvent == 0 || time.Duration(now-e.lastEvent)*sketch.TickTime > silence {
		return 0
	}
	return (1 - e.lossRate) * math.Min(1, float64(e.storedBlocks)/float64(e.usedBlocks))
}

// applyReport updates the engine from a new load report.
func (e *engine) applyReport(ep *qm.Endpoint) {
	l := &ep.Load
	if dt := ep.ReportedAt.Sub(e.reportedAt).Seconds(); !e.reportedAt.IsZero() && dt > 0 && l.EvictedBlocks >= e.evictedBlocks {
		w := 1 - math.Exp(-dt/rateTimeConstant)
		e.evictionRate += w * (float64(l.EvictedBlocks-e.evictedBlocks)/dt - e.evictionRate)
	}
	e.reportedAt, e.evictedBlocks = ep.ReportedAt, l.EvictedBlocks
	e.running, e.waiting, e.slots = l.Running, l.Waiting, l.Slots
	e.queuedTokens, e.pendingAtReport, e.inflightAtReport = float64(l.QueuedTokens), e.pendingTokens, e.inflight
	e.slowness = l.Slowness
	e.usedBlocks, e.residence = l.UsedBlocks, maxResidence
	if e.evictionRate > 0 {
		e.residence = math.Min(maxResidence, float64(l.UsedBlocks)/e.evictionRate)
	}
}

// startEpoch discards what is known of the engine's cache and queue, because the engine restarted or changed its
// weights.
func (e *engine) startEpoch(inc qm.Incarnation, version qm.VersionID) {
	e.incarnation, e.version = inc, version
	if e.epoch++; e.epoch == 0 {
		e.epoch = 1
	}
	e.reportedAt, e.evictionRate, e.evictedBlocks, e.residence = time.Time{}, 0, 0, maxResidence
	e.inflight, e.inflightAtReport, e.pendingTokens, e.pendingAtReport, e.queuedTokens = 0, 0, 0, 0, 0
	e.running, e.waiting, e.lastEvent, e.lastSeq = 0, 0, 0, 0
	e.storedBlocks, e.usedBlocks = 0, 0
}

// dispatch is one request at one engine.
type dispatch struct {
	engine  sketch.EngineIndex
	epoch   uint16
	started time.Time
	// uncached is the number of tokens to prefill. ownBacklog and otherBacklog are the tokens queued before them at
	// the time of dispatch: those that this router had sent, and those that were reported of other routers.
	uncached, ownBacklog, otherBacklog float64
	prefilled                          bool
}

// dispatchKey identifies a dispatch. A request that fails at one engine may be sent to another.
type dispatchKey struct {
	request  *qm.PlaceRequest
	endpoint qm.EndpointID
}

// fleet holds the engines that a router knows.
type fleet struct {
	engines    []engine
	byID       map[qm.EndpointID]sketch.EngineIndex
	dispatches map[dispatchKey]dispatch
	// indexes maps the positions in the current list of engines to indexes in engines. indexesByGroup keeps it per
	// group, so that an unchanged list costs one comparison per engine instead of a map lookup.
	indexes        []sketch.EngineIndex
	indexesByGroup map[qm.GroupID]*[]sketch.EngineIndex
	origin         time.Time
}

func newFleet() *fleet {
	return &fleet{
		byID:           map[qm.EndpointID]sketch.EngineIndex{},
		dispatches:     map[dispatchKey]dispatch{},
		indexesByGroup: map[qm.GroupID]*[]sketch.EngineIndex{},
	}
}

// tick converts a time to ticks, counted from one minute before the first time seen, because tick 0 means never.
func (f *fleet) tick(now time.Time) sketch.Tick {
	if f.origin.IsZero() {
		f.origin = now.Add(-time.Minute)
	}
	return sketch.Tick(now.Sub(f.origin) / sketch.TickTime)
}

// engineAt returns the engine at a position of the current list.
func (f *fleet) engineAt(i int) *engine { return &f.engines[f.indexes[i]] }

// sync makes view the current list, and updates incarnations, weights and loads from it.
func (f *fleet) sync(view []*qm.Endpoint, now time.Time) {
	if len(view) == 0 {
		return
	}
	cached := f.indexesByGroup[view[0].Group]
	if cached == nil {
		cached = new([]sketch.EngineIndex)
		f.indexesByGroup[view[0].Group] = cached
	}
	for len(*cached) < len(view) {
		*cached = append(*cached, 0)
	}
	f.indexes = (*cached)[:len(view)]
	tick := f.tick(now)
	for i, ep := range view {
		index := f.indexes[i]
		if int(index) >= len(f.engines) || f.engines[index].id != ep.ID {
			index = f.indexOf(ep.ID, tick)
			f.indexes[i] = index
		}
		e := &f.engines[index]
		e.lastSeen = tick
		if e.incarnation == ep.Incarnation && e.version == "" {
			e.version = ep.Version
		}
		if e.incarnation != ep.Incarnation || e.version != ep.Version {
			e.startEpoch(ep.Incarnation, ep.Version)
		}
		if !ep.ReportedAt.Equal(e.reportedAt) {
			e.applyReport(ep)
		}
	}
}

// indexOf returns the index of an engine, which is added if it is unknown.
func (f *fleet) indexOf(id qm.EndpointID, now sketch.Tick) sketch.EngineIndex {
	if index, ok := f.byID[id]; ok {
		return index
	}
	index, ok := f.reusable(now)
	if !ok {
		index = sketch.EngineIndex(len(f.engines))
		f.engines = append(f.engines, engine{})
	}
	e := &f.engines[index]
	delete(f.byID, e.id)
	*e = engine{
		id: id, hash: xxhash.Sum64String(string(id)), epoch: e.epoch, lastSeen: now,
		prefillCost: f.meanPrefillCost(), serviceTime: e.serviceTime,
	}
	e.startEpoch("", "")
	f.byID[id] = index
	return index
}

// reusable returns the index of the engine seen longest ago, and whether its entry may be reused: because the engine
// is gone, or because all entries are taken.
func (f *fleet) reusable(now sketch.Tick) (sketch.EngineIndex, bool) {
	old := 0
	for i := range f.engines {
		if f.engines[i].lastSeen < f.engines[old].lastSeen {
			old = i
		}
	}
	if len(f.engines) == 0 {
		return 0, false
	}
	idle := time.Duration(now-f.engines[old].lastSeen)*sketch.TickTime > idleTimeout
	return sketch.EngineIndex(old), len(f.engines) >= maxEngines || (idle && f.engines[old].inflight == 0)
}

// meanPrefillCost returns the mean prefill cost of the known engines, the estimate for a new one, in seconds per
// token.
func (f *fleet) meanPrefillCost() float64 {
	sum, n := 0.0, 0
	for i := range f.engines {
		if f.engines[i].prefillCost > 0 {
			sum += f.engines[i].prefillCost
			n++
		}
	}
	if n == 0 {
		return initialPrefillCost
	}
	return sum / float64(n)
}

// current returns the engine of a decision if it still has the same incarnation.
func (f *fleet) current(id qm.EndpointID, inc qm.Incarnation) (*engine, sketch.EngineIndex, bool) {
	index, ok := f.byID[id]
	if !ok || f.engines[index].incarnation != inc {
		return nil, 0, false
	}
	return &f.engines[index], index, true
}

// hit returns the number of tokens of the current request that an engine is expected to hold.
func (f *fleet) hit(id qm.EndpointID) float64 {
	index, ok := f.byID[id]
	if !ok {
		return 0
	}
	return f.engines[index].hit
}

// currentOrAdd is like current, but adds an engine that is unknown. A restarted router reads the events that engines
// retain before it places its first request.
func (f *fleet) currentOrAdd(
	id qm.EndpointID, inc qm.Incarnation, now time.Time,
) (*engine, sketch.EngineIndex, bool) {
	if _, ok := f.byID[id]; !ok {
		f.engines[f.indexOf(id, f.tick(now))].incarnation = inc
	}
	return f.current(id, inc)
}

// recordDispatch adds a request to the load of its engine.
func (f *fleet) recordDispatch(r *qm.PlaceRequest, d qm.Placement, now time.Time) {
	e, index, ok := f.current(d.Endpoint.ID, d.Incarnation)
	if !ok {
		return
	}
	uncached := float64(max(0, r.PromptTokens-d.CachedTokens))
	f.dispatches[dispatchKey{r, d.Endpoint.ID}] = dispatch{
		engine: index, epoch: e.epoch, started: now,
		uncached: uncached, ownBacklog: e.pendingTokens, otherBacklog: e.otherBacklog(),
	}
	e.inflight++
	e.pendingTokens += uncached
}

// recordPrefill records a first token. It returns the dispatch as it was before, and its engine, nil if the request
// is unknown or had its first token already, or if the engine has restarted since.
func (f *fleet) recordPrefill(r *qm.PlaceRequest, d qm.Placement) (dispatch, *engine) {
	id := dispatchKey{r, d.Endpoint.ID}
	disp, ok := f.dispatches[id]
	if !ok || disp.prefilled || f.engines[disp.engine].epoch != disp.epoch {
		return disp, nil
	}
	e := &f.engines[disp.engine]
	e.pendingTokens = math.Max(0, e.pendingTokens-disp.uncached)
	done := disp
	done.prefilled = true
	f.dispatches[id] = done
	return disp, e
}

// recordEnd removes a request that left its engine. It returns the dispatch and its engine, nil if the request is
// unknown or if the engine has restarted since.
func (f *fleet) recordEnd(r *qm.PlaceRequest, d qm.Placement) (dispatch, *engine) {
	id := dispatchKey{r, d.Endpoint.ID}
	disp, ok := f.dispatches[id]
	delete(f.dispatches, id)
	if !ok || f.engines[disp.engine].epoch != disp.epoch {
		return disp, nil
	}
	e := &f.engines[disp.engine]
	e.inflight--
	if !disp.prefilled {
		e.pendingTokens = math.Max(0, e.pendingTokens-disp.uncached)
	}
	return disp, e
}
