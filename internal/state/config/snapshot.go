package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/infra/period"
)

// snapshotTime is when a snapshot was written by the clock of the log service, and when this router saw or wrote it by
// the monotonic clock of this process.
type snapshotTime struct{ logTime, localTime time.Time }

// age returns the larger of the ages by the two clocks, so that a log service whose clock is ahead does not delay the
// next snapshot for longer than one retention time.
func (t snapshotTime) age() time.Duration { return max(time.Since(t.logTime), time.Since(t.localTime)) }

// Bounds of the interval of checks whether a snapshot is due. The minimum suits short retention times, the maximum
// keeps the load of the checks negligible.
const (
	minCheckInterval = 100 * time.Millisecond
	maxCheckInterval = 30 * time.Second
	// checksPerRetention makes a snapshot start at most 5% of the retention time late.
	checksPerRetention = 20
)

// maintainSnapshots writes a snapshot after every half of the retention time while this instance is the snapshot owner.
func (c *Controller) maintainSnapshots(ctx context.Context) {
	interval := min(max(c.opts.Retention/checksPerRetention, minCheckInterval), maxCheckInterval)
	for period.Sleep(ctx, interval) {
		if !c.opts.IsSnapshotOwner() || !c.snapshotDue() {
			continue
		}
		if err := c.writeSnapshot(ctx); err != nil {
			c.opts.Logger.Info("writing a snapshot failed, it will be retried", "Error", err.Error())
		}
	}
}

// snapshotDue reports whether to write a snapshot: none was seen yet, or the last one is at least half the retention
// time old. A table with a gap must not be written.
func (c *Controller) snapshotDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.publishedOffset == 0 || c.reader.HasGap() {
		return false
	}
	return c.lastSnapshot.localTime.IsZero() || c.lastSnapshot.age() >= c.opts.Retention/2
}

// snapshotRetryDelay is the delay after a failed append of a snapshot. It is short so that a log that loses most
// answers does not delay a snapshot by half of the retention time.
const snapshotRetryDelay = 200 * time.Millisecond

// writeSnapshot appends the table in parts. An append with an unknown outcome is repeated, since readers ignore
// duplicates of a part. The mark is appended only after all parts were confirmed.
func (c *Controller) writeSnapshot(ctx context.Context) error {
	c.mu.Lock()
	records, err := c.reader.Table().Snapshot(c.opts.NewAttemptID(), c.opts.PartRows)
	c.mu.Unlock()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Retention/2) // after that, a newer table should be written
	defer cancel()
	for len(records) > 0 {
		n := min(len(records), c.opts.PartsPerAppend)
		if n == len(records) && n > 1 {
			n-- // appends the mark alone, after all parts
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
