package claim

import (
	"context"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// longPollTime is how long a read waits for new records.
	longPollTime = 10 * time.Second
	// readTimeoutSlack is added to longPollTime for the timeout of a read.
	readTimeoutSlack = 5 * time.Second
	readLimit        = 1000
)

// follow reads and folds the shard's stream until the context is done [Follow].
func (c *Claims) follow(ctx context.Context, s *shard) {
	for ctx.Err() == nil {
		s.mu.Lock()
		from, wait := s.nextOffset, longPollTime
		if !s.hasRead {
			// Calls are refused until the first read has shown that the history is complete. A long poll of an idle stream would
			// delay that.
			wait = 0
		}
		s.mu.Unlock()
		rctx, cancel := context.WithTimeout(ctx, longPollTime+readTimeoutSlack)
		b, err := c.opts.Log.Read(rctx, s.stream, from, readLimit, wait)
		cancel()
		if err != nil {
			sleepJittered(ctx, retryDelay)
			continue
		}
		if ctx.Err() == nil {
			c.applyBatch(s, b)
		}
	}
}

// applyBatch folds the records of a read. If records are missing it discards the state.
func (c *Claims) applyBatch(s *shard, b qm.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case b.FirstOffset > s.nextOffset || b.NextOffset < s.nextOffset:
		c.logger.Info("missed records of a claims stream, discarding its state", "stream", s.stream, "want", s.nextOffset, "first", b.FirstOffset, "next", b.NextOffset)
		s.reset(b)
	case !s.hasRead:
		s.historyComplete = s.nextOffset == 1
	}
	s.hasRead = true
	for _, rec := range b.Records {
		if rec.Offset < s.nextOffset {
			continue
		}
		s.nextOffset = rec.Offset + 1
		r, err := decode(rec.Data)
		if err != nil {
			c.logger.Error(err, "skipped invalid record", "stream", s.stream, "offset", rec.Offset)
			continue
		}
		if s.applyRecord(r, rec.Time, b.FirstOffset) {
			return // nextOffset was set to an earlier offset
		}
	}
	// All keys that were claimed before the first record that was read have expired, so the history is complete.
	if !s.historyComplete && time.Since(s.readSince) > s.rules.keyRetention+s.rules.window {
		s.historyComplete = true
	}
}

// reset discards the state because records were missed. The caller must hold s.mu.
func (s *shard) reset(b qm.Batch) {
	s.fold, s.snapshots = newFold(s.rules), snapshotCollector{}
	s.historyComplete, s.nextOffset, s.readSince = false, b.FirstOffset, time.Now()
	if len(b.Records) > 0 && b.Records[0].Time.Before(s.readSince) {
		s.readSince = b.Records[0].Time
	}
	s.notifyAll()
}

// applyRecord folds a record. It returns true if it installed a snapshot, which sets nextOffset back. first is the offset
// of the first record that the log retains. The caller must hold s.mu.
func (s *shard) applyRecord(r *record, at time.Time, first qm.Offset) bool {
	key, v := s.fold.apply(r, at)
	switch r.Kind {
	case kindClaim:
		if t := s.attempts[r.Attempt]; t != nil && s.historyComplete {
			t.setStatus(statusOf(v)) // [ReadBack]
		}
	case kindVoid:
		if t := s.attempts[r.Attempt]; t != nil {
			t.confirmVoid()
		}
	case kindKept, kindMark:
		return s.applySnapshotRecord(r, first)
	}
	if key != (keyID{}) {
		s.notify(key)
	}
	return false
}

func statusOf(v decision) claimStatus {
	switch v {
	case decisionWon:
		return claimWon
	case decisionFull:
		return claimShardFull
	}
	return claimLost
}

// applySnapshotRecord handles a Kept or Mark record and reports whether it installed a snapshot. A snapshot is installed
// only if the history is incomplete and the log retains all records after the snapshot's offset [InstallSnapshot]. The
// caller must hold s.mu.
func (s *shard) applySnapshotRecord(r *record, first qm.Offset) bool {
	if r.Kind == kindMark {
		if cutAt := startTimeOf(r.Snapshot); cutAt.After(s.lastSnapshot) {
			s.lastSnapshot = cutAt
		}
	}
	if s.historyComplete {
		return false
	}
	c := s.snapshots.add(r)
	if c == nil || c.end.CoversTo+1 < first || c.end.CoversTo >= s.nextOffset {
		return false
	}
	s.fold, s.snapshots = c.restore(s.rules), snapshotCollector{}
	s.nextOffset, s.historyComplete = c.end.CoversTo+1, true
	for id, t := range s.attempts {
		if e := s.fold.keys[t.op.key]; e != nil && e.attempt == id {
			t.setStatus(claimWon)
		}
	}
	s.notifyAll()
	return true
}

// runSnapshots writes a snapshot of each shard that this router owns whenever the last one is older than half of the
// retention time, so that the state outlives the records.
func (c *Claims) runSnapshots(ctx context.Context) {
	if c.opts.Retention <= 0 || c.opts.Owner == nil {
		return
	}
	tick := time.NewTicker(c.opts.Retention / snapshotChecksPerRetention)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, s := range c.shards {
			if c.opts.Owner(s.number) {
				c.writeSnapshotIfDue(s)
			}
		}
	}
}

// snapshotChecksPerRetention is the number of checks for due snapshots per retention time.
const snapshotChecksPerRetention = 16

func (c *Claims) writeSnapshotIfDue(s *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.historyComplete || s.writingSnapshot || time.Since(s.lastSnapshot) < c.opts.Retention/2 {
		return
	}
	id, err := newAttempt()
	if err != nil {
		c.logger.Error(err, "snapshot failed", "stream", s.stream)
		return
	}
	parts := snapshotRecords(s.fold, id, s.nextOffset-1)
	items := make([]*pendingRecord, 0, len(parts))
	for _, p := range parts {
		data, err := encode(p)
		if err != nil {
			c.logger.Error(err, "snapshot failed", "stream", s.stream)
			return
		}
		items = append(items, &pendingRecord{data: data})
	}
	s.writingSnapshot = true
	items[len(items)-1].onAppended = func() { s.writingSnapshot = false } // s.mu is held by finishAppend
	s.enqueue(items...)
}
