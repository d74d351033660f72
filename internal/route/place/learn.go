package place

import (
	"math"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/sketch"
)

const (
	// costWeight is the weight of one observed first token in the learned prefill cost.
	costWeight = 0.05
	// serviceWeight is the weight of one finished request in the learned time in a slot.
	serviceWeight = 0.02
	// lossMemory is the number of events after which the learned share of lost ones is mostly renewed.
	lossMemory = 200
	// leastSample is the least number of tokens that a first token must have waited for to say something about the cost.
	leastSample = 2000
)

// Dispatched implements quetzalmount.Placer. The engine will hold the prompt once it is prefilled, and requests that follow
// before that wait behind it, so the prompt counts as held from now on.
func (p *Expected) Dispatched(r *qm.PlaceRequest, d qm.Placement, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.start(r, d, now)
	e, slot, ok := p.fleet.current(d.Endpoint.ID, d.Incarnation)
	if !ok {
		return
	}
	tick := p.fleet.tick(now)
	for _, s := range r.Spans {
		p.table.Add(s.Key, slot, e.epoch, tick)
	}
}

// FirstToken implements quetzalmount.Placer.
func (p *Expected) FirstToken(
	r *qm.PlaceRequest, d qm.Placement, cached qm.Tokens, now time.Time,
) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, e := p.fleet.prefilled(r, d)
	if e == nil {
		return
	}
	missing, took := float64(r.PromptTokens-cached), now.Sub(f.started).Seconds()
	p.trust.learn(f.others, took/e.cost-missing-f.own, p.fleet.tick(now))
	// A long queue says more about the quality of the load report than about the cost.
	if ahead := f.own + f.others; missing >= leastSample && missing >= ahead {
		e.cost += costWeight * (took/(missing+ahead) - e.cost)
	}
}

// Finished implements quetzalmount.Placer.
func (p *Expected) Finished(r *qm.PlaceRequest, d qm.Placement, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, e := p.fleet.end(r, d)
	if e == nil {
		return
	}
	if f.prefilled {
		e.service += serviceWeight * (now.Sub(f.started).Seconds() - e.service)
		return
	}
	// A request that failed before its first token leaves nothing certain in the cache.
	for _, s := range r.Spans {
		if s.End > d.CachedTokens {
			p.table.Drop(s.Key, f.engine)
		}
	}
}

// Observe implements quetzalmount.CacheObserver. Events of another incarnation than the one in the view are ignored.
func (p *Expected) Observe(
	id qm.EndpointID, inc qm.Incarnation, events []qm.CacheEvent, gap bool, now time.Time,
) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, slot, ok := p.fleet.known(id, inc, now)
	if !ok {
		return
	}
	e.heard = p.fleet.tick(now)
	p.lost(e, events)
	// Events describe the past. An entry that an own dispatch renewed since is newer than an eviction reported now.
	then := p.fleet.tick(now.Add(-p.opt.EventLag))
	if gap {
		e.gap = then
	}
	for _, ev := range events {
		if ev.Stored {
			e.stored++
		}
		seen, held := p.seen(ev.Block, slot, e.epoch)
		switch {
		case held && seen > then:
		case ev.Stored:
			p.table.Add(ev.Block, slot, e.epoch, then)
		default:
			p.table.Drop(ev.Block, slot)
		}
	}
}

// lost learns the share of an engine's events that do not arrive, from the numbers missing among them. Those before the first
// events of an incarnation may be no longer retained, which is no loss.
func (p *Expected) lost(e *engine, events []qm.CacheEvent) {
	if len(events) == 0 {
		return
	}
	from := e.last + 1
	if e.last == 0 {
		from = events[0].Seq
	}
	missed := max(0, events[len(events)-1].Seq-from+1-int64(len(events)))
	e.last = events[len(events)-1].Seq
	n := int64(len(events)) + missed
	w := 1 - math.Exp(-float64(n)/lossMemory)
	e.loss += w * (float64(missed)/float64(n) - e.loss)
}

// seen returns when an engine was last known to hold a prefix.
func (p *Expected) seen(key qm.PrefixKey, slot sketch.Slot, epoch uint16) (sketch.Tick, bool) {
	for _, h := range p.table.Get(key) {
		if h.Engine == slot && h.Epoch == epoch {
			return h.Seen, true
		}
	}
	return 0, false
}

// Forget implements quetzalmount.CacheObserver.
func (p *Expected) Forget(id qm.EndpointID, inc qm.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.fleet.byID[id]; ok && p.fleet.engines[s].inc != inc {
		e := &p.fleet.engines[s]
		e.renew(inc, e.version)
	}
}
