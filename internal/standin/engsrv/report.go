package engsrv

import (
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

// sampleTime is the interval between the snapshots of which a lagging load report is made.
const sampleTime = 20 * time.Millisecond

// Report is the load report of GET /v1/load.
type Report struct {
	Incarnation    qm.Incarnation
	Model          qm.ModelID
	Version        qm.VersionID
	Adapters       []qm.AdapterID
	Role           string
	Running        int
	Waiting        int
	Slots          int
	QueuedTokens   qm.Tokens
	CapacityBlocks int64
	UsedBlocks     int64
	EvictedBlocks  int64
	Leaving        bool
}

type report struct {
	at time.Time
	r  Report
}

// now returns the report of this moment. The caller holds c.mu.
func (c *core) now() Report {
	return Report{
		Incarnation: c.inc, Model: c.opts.Model, Version: c.version, Adapters: c.adapters, Role: c.role, Running: c.running,
		Waiting: len(c.waiting), Slots: c.opts.Slots, QueuedTokens: c.queued, CapacityBlocks: int64(c.opts.CapacityBlocks),
		UsedBlocks: int64(c.cache.order.Len()), EvictedBlocks: c.cache.evicted, Leaving: c.leaving,
	}
}

// sample keeps snapshots for LoadLag.
func (c *core) sample() {
	for {
		c.mu.Lock()
		now := time.Now()
		c.reports = append(c.reports, report{now, c.now()})
		for len(c.reports) > 1 && now.Sub(c.reports[1].at) >= c.opts.LoadLag {
			c.reports = c.reports[1:]
		}
		c.mu.Unlock()
		if !serve.Sleep(c.ctx, sampleTime) {
			return
		}
	}
}

// lagged returns the newest snapshot that is older than LoadLag, or the oldest one of a young engine.
func (c *core) lagged() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opts.LoadLag <= 0 || len(c.reports) == 0 {
		return c.now()
	}
	return c.reports[0].r
}

type eventsAnswer struct {
	Incarnation qm.Incarnation
	First, Next int64
	Events      []Event
}

// eventsFrom returns at most limit events that are older than EventDelay. Next is the sequence number to ask for next;
// numbers without an event were lost.
func (c *core) eventsFrom(from int64, limit int) eventsAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := eventsAnswer{Incarnation: c.inc, First: 1, Next: max(from, 1), Events: []Event{}}
	visible := time.Now().Add(-c.opts.EventDelay)
	if len(c.cache.events) > 0 {
		out.First = c.cache.events[0].Seq
	}
	for _, e := range c.cache.events {
		if e.at.After(visible) || len(out.Events) >= limit {
			break
		}
		if e.Seq >= from {
			out.Events = append(out.Events, e)
			out.Next = e.Seq + 1
		}
	}
	return out
}
