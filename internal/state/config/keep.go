package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/infra/period"
)

// mark is the time of a snapshot.
type snapshotTime struct{ logTime, localTime time.Time }

// age is the larger of the ages by the log service's clock and by the local one, so that a service clock that is ahead
// does not delay the next snapshot for longer than one retention time.
func (m snapshotTime) age() time.Duration { return max(time.Since(m.logTime), time.Since(m.localTime)) }

// Bounds of the interval at which the controller looks whether a snapshot is due: often enough for short retention, and
// not often enough to be noticed.
const (
	minCheckInterval = 100 * time.Millisecond
	maxCheckInterval = 30 * time.Second
	// looksPerRetention makes a snapshot start at most 5% of the retention time late.
	checksPerRetention = 20
)

// keep writes snapshots at half of the retention time while this instance is the owner.
func (c *Controller) maintainSnapshots(ctx context.Context) {
	interval := min(max(c.opts.Retention/checksPerRetention, minCheckInterval), maxCheckInterval)
	for period.Sleep(ctx, interval) {
		if !c.opts.IsSnapshotOwner() || !c.snapshotDue() {
			continue
		}
		if err := c.writeSnapshot(ctx); err != nil {
			c.opts.Logger.Info("snapshot not written, will be tried again", "Error", err.Error())
		}
	}
}

// due reports whether a snapshot should be written: none was seen yet, or the last one is half as old as the log keeps
// it. A table that misses records of the log must not be written.
func (c *Controller) snapshotDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.publishedOffset == 0 || c.reader.HasGap() {
		return false
	}
	return c.lastSnapshot.localTime.IsZero() || c.lastSnapshot.age() >= c.opts.Retention/2
}

// snapshotRetry is the pause after an append of a snapshot that failed; short, because a log that loses most answers must
// not delay a snapshot by half of the retention time.
const snapshotRetryDelay = 200 * time.Millisecond

// writeSnapshot appends the table in parts. An append of unknown outcome is repeated, since readers take a part that is there
// twice once. The mark is only sent after every part was confirmed.
func (c *Controller) writeSnapshot(ctx context.Context) error {
	c.mu.Lock()
	records, err := c.reader.Table().Snapshot(c.opts.NewAttemptID(), c.opts.PartRows)
	c.mu.Unlock()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Retention/2) // later, a newer table should be written
	defer cancel()
	for len(records) > 0 {
		n := min(len(records), c.opts.PartsPerAppend)
		if n == len(records) && n > 1 {
			n-- // the mark has an append of its own
		}
		_, err := c.opts.Log.Append(ctx, Stream, records[:n])
		if err == nil {
			records = records[n:]
			continue
		}
		if !c.opts.IsSnapshotOwner() || !period.Sleep(ctx, snapshotRetryDelay) {
			return errors.Wrap(err, "append snapshot")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSnapshot = snapshotTime{logTime: time.Now(), localTime: time.Now()}
	return nil
}
