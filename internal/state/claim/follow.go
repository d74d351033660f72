package claim

import (
	"context"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// readWait is the long poll of a follower.
	readWait = 10 * time.Second
	// readSlack is added to readWait before a read counts as stalled.
	readSlack = 5 * time.Second
	readLimit = 1000
)

// follow folds the shard's stream until the context ends [Follow].
func (c *Claims) follow(ctx context.Context, s *shard) {
	for ctx.Err() == nil {
		s.mu.Lock()
		from, wait := s.pos, readWait
		if !s.started {
			// Calls are refused until the first read has shown that the history is complete; an idle stream must not delay it.
			wait = 0
		}
		s.mu.Unlock()
		rctx, cancel := context.WithTimeout(ctx, readWait+readSlack)
		b, err := c.opts.Log.Read(rctx, s.stream, from, readLimit, wait)
		cancel()
		if err != nil {
			pause(ctx, retryPause)
			continue
		}
		if ctx.Err() == nil {
			c.read(s, b)
		}
	}
}

// read takes a part of the stream.
func (c *Claims) read(s *shard, b qm.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case b.FirstOffset > s.pos || b.NextOffset < s.pos:
		c.alerts.Info("records of a claims stream were missed", "stream", s.stream, "want", s.pos, "first", b.FirstOffset, "next", b.NextOffset)
		s.reset(b)
	case !s.started:
		s.complete = s.pos == 1
	}
	s.started = true
	for _, rec := range b.Records {
		if rec.Offset < s.pos {
			continue
		}
		s.pos = rec.Offset + 1
		r, err := decode(rec.Data)
		if err != nil {
			c.alerts.Error(err, "record skipped", "stream", s.stream, "offset", rec.Offset)
			continue
		}
		if s.takeRecord(r, rec.Time, b.FirstOffset) {
			return // the position moved back
		}
	}
	// A key that was claimed before the first record that was read is forgotten by now, so nothing that matters is missing.
	if !s.complete && time.Since(s.since) > s.rules.keyTime+s.rules.window {
		s.complete = true
	}
}

// reset forgets everything, because records were missed. The caller holds s.mu.
func (s *shard) reset(b qm.Batch) {
	s.fold, s.gather = newFold(s.rules), gather{}
	s.complete, s.pos, s.since = false, b.FirstOffset, time.Now()
	if len(b.Records) > 0 && b.Records[0].Time.Before(s.since) {
		s.since = b.Records[0].Time
	}
	s.notifyAll()
}

// takeRecord folds one record. It reports true if it installed a snapshot, which moves the position. The caller holds s.mu.
func (s *shard) takeRecord(r *record, at time.Time, first qm.Offset) bool {
	key, v := s.fold.apply(r, at)
	switch r.Kind {
	case kindClaim:
		if t := s.tries[r.Attempt]; t != nil && s.complete {
			t.learn(fateOf(v)) // [ReadBack]
		}
	case kindVoid:
		if t := s.tries[r.Attempt]; t != nil {
			t.confirmVoid()
		}
	case kindKept, kindMark:
		return s.snapshot(r, first)
	}
	if key != (keyID{}) {
		s.notify(key)
	}
	return false
}

func fateOf(v verdict) fate {
	switch v {
	case won:
		return fateWon
	case full:
		return fateFull
	}
	return fateLost
}

// snapshot takes a Kept or Mark record. A snapshot is installed only if no record after the offset that it covers is
// missing [InstallSnapshot].
func (s *shard) snapshot(r *record, first qm.Offset) bool {
	if r.Kind == kindMark {
		if cutAt := begunAt(r.Snapshot); cutAt.After(s.marked) {
			s.marked = cutAt
		}
	}
	if s.complete {
		return false
	}
	c := s.gather.add(r)
	if c == nil || c.mark.CoversTo+1 < first || c.mark.CoversTo >= s.pos {
		return false
	}
	s.fold, s.gather = c.restore(s.rules), gather{}
	s.pos, s.complete = c.mark.CoversTo+1, true
	for id, t := range s.tries {
		if e := s.fold.keys[t.op.key]; e != nil && e.attempt == id {
			t.learn(fateWon)
		}
	}
	s.notifyAll()
	return true
}

// keep writes snapshots of the shards that this router owns, at half of the retention time.
func (c *Claims) keep(ctx context.Context) {
	if c.opts.Retention <= 0 || c.opts.Owner == nil {
		return
	}
	tick := time.NewTicker(c.opts.Retention / keepChecks)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, s := range c.shards {
			if c.opts.Owner(s.number) {
				c.keepShard(s)
			}
		}
	}
}

// keepChecks is how often in a retention time the owner looks whether a snapshot is due.
const keepChecks = 16

func (c *Claims) keepShard(s *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.complete || s.keeping || time.Since(s.marked) < c.opts.Retention/2 {
		return
	}
	id, err := newAttempt()
	if err != nil {
		c.alerts.Error(err, "snapshot failed", "stream", s.stream)
		return
	}
	parts := cut(s.fold, id, s.pos-1)
	items := make([]*item, 0, len(parts))
	for _, p := range parts {
		data, err := encode(p)
		if err != nil {
			c.alerts.Error(err, "snapshot failed", "stream", s.stream)
			return
		}
		items = append(items, &item{data: data})
	}
	s.keeping = true
	items[len(items)-1].confirmed = func() { s.keeping = false } // called with s.mu held
	s.push(items...)
}
