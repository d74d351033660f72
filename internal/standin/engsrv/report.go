package engsrv

import (
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

// sampleInterval is the interval between the samples from which delayed load reports are served.
const sampleInterval = 20 * time.Millisecond

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

type reportSample struct {
	taken  time.Time
	report Report
}

// currentReport returns the undelayed load report. The caller holds c.mu.
func (c *core) currentReport() Report {
	return Report{
		Incarnation: c.incarnation, Model: c.opts.Model, Version: c.version, Adapters: c.adapters, Role: c.role, Running: c.running,
		Waiting: len(c.waiting), Slots: c.opts.Slots, QueuedTokens: c.queuedTokens, CapacityBlocks: int64(c.opts.CapacityBlocks),
		UsedBlocks: int64(c.cache.lru.Len()), EvictedBlocks: c.cache.evicted, Leaving: c.leaving,
	}
}

// sampleReports records a load report every sampleInterval until the incarnation ends, and discards the samples that
// laggedReport no longer needs.
func (c *core) sampleReports() {
	for {
		c.mu.Lock()
		now := time.Now()
		c.samples = append(c.samples, reportSample{now, c.currentReport()})
		for len(c.samples) > 1 && now.Sub(c.samples[1].taken) >= c.opts.ReportLag {
			c.samples = c.samples[1:]
		}
		c.mu.Unlock()
		if !serve.Sleep(c.ctx, sampleInterval) {
			return
		}
	}
}

// laggedReport returns the newest sample that is at least ReportLag old, or the oldest sample if none is that old.
func (c *core) laggedReport() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opts.ReportLag <= 0 || len(c.samples) == 0 {
		return c.currentReport()
	}
	return c.samples[0].report
}

type eventsResponse struct {
	Incarnation qm.Incarnation
	First, Next int64
	Events      []Event
}

// eventsFrom returns at most limit events with sequence numbers of at least from that are older than EventDelay. Next in the
// answer is the sequence number to read from next. A gap in the sequence numbers means that events were lost.
func (c *core) eventsFrom(from int64, limit int) eventsResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := eventsResponse{Incarnation: c.incarnation, First: 1, Next: max(from, 1), Events: []Event{}}
	cutoff := time.Now().Add(-c.opts.EventDelay)
	if len(c.cache.events) > 0 {
		out.First = c.cache.events[0].Seq
	}
	for _, e := range c.cache.events {
		if e.at.After(cutoff) || len(out.Events) >= limit {
			break
		}
		if e.Seq >= from {
			out.Events = append(out.Events, e)
			out.Next = e.Seq + 1
		}
	}
	return out
}
