package config

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/table"
	"quetzalmount.dev/quetzalmount/internal/state/watch"
)

// Controller maintains the configuration table of one router.
type Controller struct {
	opts   Options
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu     sync.Mutex
	reader *table.Reader
	// publishedOffset is the offset of the table on the board, 0 if there is none.
	publishedOffset qm.Offset
	alerts          int64
	// lastSnapshot is the time of the newest snapshot that this router knows.
	lastSnapshot snapshotTime
	// fetchWhole makes the next fetch from peers ask for the whole table, because a delta could not be applied.
	fetchWhole bool
}

// New starts a controller, which runs until the context ends or Close is called.
func New(ctx context.Context, opts Options) *Controller {
	opts.setDefaults()
	ctx, cancel := context.WithCancel(ctx)
	c := &Controller{opts: opts, cancel: cancel, reader: table.NewReader()}
	c.work.Go(func() { c.followLog(ctx) })
	if opts.Fetch != nil {
		c.work.Go(func() { c.pollPeers(ctx) })
	}
	if opts.Retention > 0 {
		c.work.Go(func() { c.maintainSnapshots(ctx) })
	}
	return c
}

// Close stops the controller and waits for its goroutines.
func (c *Controller) Close() error {
	c.cancel()
	c.work.Wait()
	return nil
}

// State is the state of a controller.
type State struct {
	// Offset is the offset of the table in force, 0 if there is none.
	Offset qm.Offset
	// HasGap is set if the log dropped records that this router has not read and no complete snapshot was found.
	HasGap bool
	// Alerts counts the events that need an operator's attention, such as records that could not be decoded.
	Alerts int64
	// Digest is equal for equal tables.
	Digest uint64
}

// State returns the state of the controller.
func (c *Controller) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Offset: c.publishedOffset, HasGap: c.reader.HasGap(), Alerts: c.alerts, Digest: c.reader.Table().Digest()}
}

// Snapshot returns an encoded delta from offset after to the table in force, and the offset of that table. The delta is
// empty if there are no changes after that offset or this router has no table in force.
func (c *Controller) Snapshot(after qm.Offset) ([]byte, qm.Offset, error) {
	c.mu.Lock()
	var d *table.Delta
	off := c.publishedOffset
	if off > 0 {
		d = c.reader.Table().Delta(after)
	}
	c.mu.Unlock()
	if d == nil {
		return nil, off, nil
	}
	data, err := d.Encode()
	return data, d.CoversTo, errors.WithMessage(err, "encode table for a peer")
}

// Rows returns the rows of the table in force and its offset.
func (c *Controller) Rows() ([]*table.Row, qm.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.publishedOffset == 0 {
		return nil, 0
	}
	return c.reader.Table().Rows(), c.publishedOffset
}

// publish puts the table on the board if it is newer than the published one. The caller holds c.mu.
func (c *Controller) publish() {
	t := c.reader.Table()
	if t.Offset() <= c.publishedOffset {
		return
	}
	c.opts.Board.Table.Store(t.Config())
	c.publishedOffset = t.Offset()
}

// alert counts and logs an event that needs an operator's attention. The caller holds c.mu.
func (c *Controller) alert(err error) {
	c.alerts++
	c.opts.Logger.Error(err, "configuration alert", "Stream", Stream, "Offset", c.reader.Table().Offset())
}

// followLog reads the log until the context ends.
func (c *Controller) followLog(ctx context.Context) {
	var retry backoff
	for ctx.Err() == nil {
		c.mu.Lock()
		from := c.reader.Next()
		c.mu.Unlock()
		members, _ := c.opts.Board.Members.Load()
		b, err := readLog(ctx, c.opts.Log, from, watch.Wait(members, inForceBound, longPoll))
		if err != nil {
			c.opts.Logger.V(1).Info("reading the log failed", "Error", err.Error())
		}
		if err == nil && c.applyBatch(from, b) {
			retry.reset()
			continue
		}
		retry.wait(ctx)
	}
}

func readLog(ctx context.Context, log qm.Log, from qm.Offset, wait time.Duration) (qm.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutSlack)
	defer cancel()
	b, err := log.Read(ctx, Stream, from, maxReadRecords, wait)
	return b, errors.Wrapf(err, "read %s from offset %d", Stream, from)
}

// applyBatch applies a batch that was read from an offset. It returns false if the next read should be delayed.
func (c *Controller) applyBatch(from qm.Offset, b qm.Batch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reader.Next() != from {
		return true // a delta of a peer was applied during the read
	}
	times := make(map[qm.Offset]time.Time)
	for _, r := range b.Records {
		times[r.Offset] = r.Time
	}
	results, err := c.reader.ApplyBatch(b)
	for _, v := range results {
		if v.Alert != nil {
			c.alert(v.Alert)
		}
		if v.Mark != nil {
			c.lastSnapshot = snapshotTime{logTime: times[v.Offset], localTime: time.Now()}
		}
	}
	if err != nil {
		c.alert(err)
	}
	// The first table is published only at the end of the log, because a table from an earlier part of the log would be
	// older than the one that this router had in force before a restart.
	if c.publishedOffset > 0 || c.reader.Next() == b.NextOffset && !c.reader.HasGap() {
		c.publish()
	}
	return err == nil || errors.Is(err, table.ErrNoSnapshot)
}
