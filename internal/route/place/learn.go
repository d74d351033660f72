package place

import (
	"math"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/sketch"
)

const (
	// prefillCostWeight is the weight of one observed first token in the learned prefill cost.
	prefillCostWeight = 0.05
	// serviceTimeWeight is the weight of one finished request in the learned time in a batch slot.
	serviceTimeWeight = 0.02
	// lossRateWindow is the constant, in events, with which earlier samples of the loss rate decay exponentially.
	lossRateWindow = 200
	// minSampleTokens is the minimum number of prefilled tokens for which a first token is used to learn the prefill
	// cost.
	minSampleTokens = 2000
)

// Dispatched implements quetzalmount.Placer. The prompt counts as cached from now on, because the engine will hold it
// once it is prefilled, and requests that arrive earlier wait behind it.
func (p *Expected) Dispatched(r *qm.PlaceRequest, d qm.Placement, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.recordDispatch(r, d, now)
	e, index, ok := p.fleet.current(d.Endpoint.ID, d.Incarnation)
	if !ok {
		return
	}
	tick := p.fleet.tick(now)
	for _, s := range r.Spans {
		p.table.Add(s.Key, index, e.epoch, tick)
	}
}

// FirstToken implements quetzalmount.Placer.
func (p *Expected) FirstToken(
	r *qm.PlaceRequest, d qm.Placement, cached qm.Tokens, now time.Time,
) {
	p.mu.Lock()
	defer p.mu.Unlock()
	disp, e := p.fleet.recordPrefill(r, d)
	if e == nil {
		return
	}
	uncached, took := float64(r.PromptTokens-cached), now.Sub(disp.started).Seconds()
	p.backlogOf(r).observe(disp.otherBacklog, took/e.cost()-uncached-disp.ownBacklog, p.fleet.tick(now))
	// A long queue says more about the quality of the load report than about the cost.
	if ahead := disp.ownBacklog + disp.otherBacklog; uncached >= minSampleTokens && uncached >= ahead {
		// Engines of different lanes are under different load, which would look like another speed.
		if p.opt.OnSpeed != nil && r.Lane == qm.LaneNone {
			p.opt.OnSpeed(d.Endpoint.ID, took/(uncached+ahead)/initialPrefillCost, now)
		}
		e.prefillCost += prefillCostWeight * (took/(uncached+ahead)*e.prefillCost/e.cost() - e.prefillCost)
	}
}

// Finished implements quetzalmount.Placer.
func (p *Expected) Finished(r *qm.PlaceRequest, d qm.Placement, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	disp, e := p.fleet.recordEnd(r, d)
	if e == nil {
		return
	}
	if disp.prefilled {
		e.serviceTime += serviceTimeWeight * (now.Sub(disp.started).Seconds() - e.serviceTime)
		return
	}
	// A request that failed before its first token leaves nothing certain in the cache.
	for _, s := range r.Spans {
		if s.End > d.CachedTokens {
			p.table.Drop(s.Key, disp.engine)
		}
	}
}

// Observe implements quetzalmount.CacheObserver. It ignores events of an incarnation other than the one in the view.
func (p *Expected) Observe(
	id qm.EndpointID, inc qm.Incarnation, events []qm.CacheEvent, gap bool, now time.Time,
) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, index, ok := p.fleet.currentOrAdd(id, inc, now)
	if !ok {
		return
	}
	e.lastEvent = p.fleet.tick(now)
	p.updateLossRate(e, events)
	// Events lag. An entry that this router's own dispatch has renewed since is newer than an eviction reported now.
	then := p.fleet.tick(now.Add(-p.opt.EventLag))
	if gap {
		e.lastGap = then
	}
	for _, ev := range events {
		if ev.Stored {
			e.storedBlocks++
		}
		seen, held := p.lastSeen(ev.Block, index, e.epoch)
		switch {
		case held && seen > then:
		case ev.Stored:
			p.table.Add(ev.Block, index, e.epoch, then)
		default:
			p.table.Drop(ev.Block, index)
		}
	}
}

// updateLossRate learns the share of an engine's events that do not arrive from the gaps in their sequence numbers.
// Events before the first ones of an incarnation do not count as lost, since the engine may no longer retain them.
func (p *Expected) updateLossRate(e *engine, events []qm.CacheEvent) {
	if len(events) == 0 {
		return
	}
	from := e.lastSeq + 1
	if e.lastSeq == 0 {
		from = events[0].Seq
	}
	missed := max(0, events[len(events)-1].Seq-from+1-int64(len(events)))
	e.lastSeq = events[len(events)-1].Seq
	n := int64(len(events)) + missed
	w := 1 - math.Exp(-float64(n)/lossRateWindow)
	e.lossRate += w * (float64(missed)/float64(n) - e.lossRate)
}

// lastSeen returns when an engine was last known to hold a prefix, and false if it is not known to hold it.
func (p *Expected) lastSeen(key qm.PrefixKey, index sketch.EngineIndex, epoch uint16) (sketch.Tick, bool) {
	for _, h := range p.table.Get(key) {
		if h.Engine == index && h.Epoch == epoch {
			return h.Seen, true
		}
	}
	return 0, false
}

// Forget implements quetzalmount.CacheObserver.
func (p *Expected) Forget(id qm.EndpointID, inc qm.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if index, ok := p.fleet.byID[id]; ok && p.fleet.engines[index].incarnation != inc {
		e := &p.fleet.engines[index]
		e.startEpoch(inc, e.version)
	}
}
