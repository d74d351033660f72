package config

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

// Controller owns the table of one router.
type Controller struct {
	opts   Options
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu     sync.Mutex
	reader *table.Reader
	// published is the offset of the table on the board, 0 if there is none.
	publishedOffset qm.Offset
	alerts          int64
	// marked is when the newest snapshot that this router knows was written, by two clocks: that of the log service and
	// the monotonic clock of this process.
	lastSnapshot snapshotTime
	// whole asks the peers for the whole table, because a delta did not fit.
	fetchWhole bool
}

// New starts a controller. It ends with the context or with Close.
func New(ctx context.Context, opts Options) *Controller {
	opts.setDefaults()
	ctx, stop := context.WithCancel(ctx)
	c := &Controller{opts: opts, cancel: stop, reader: table.NewReader()}
	c.work.Go(func() { c.followLog(ctx) })
	if opts.Fetch != nil {
		c.work.Go(func() { c.pollPeers(ctx) })
	}
	if opts.Retention > 0 {
		c.work.Go(func() { c.maintainSnapshots(ctx) })
	}
	return c
}

// Close ends the background work and waits for it.
func (c *Controller) Close() error {
	c.cancel()
	c.work.Wait()
	return nil
}

// State describes a controller.
type State struct {
	// Offset is that of the table in force, 0 if there is none.
	Offset qm.Offset
	// Lost tells that the log dropped records that this router has not seen and that no complete snapshot was found.
	HasGap bool
	// Alerts counts what operators should look at, such as records that could not be decoded.
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

// Snapshot returns what a peer with a table at offset after lacks; it is empty if the peer is up to date or if this
// router has no table in force.
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
	return data, d.CoversTo, errors.WithMessage(err, "give table to a peer")
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

// publish puts the table on the board if it is newer. The caller holds c.mu.
func (c *Controller) publish() {
	t := c.reader.Table()
	if t.Offset() <= c.publishedOffset {
		return
	}
	c.opts.Board.Table.Store(t.Config())
	c.publishedOffset = t.Offset()
}

// alert counts and logs what an operator should know. The caller holds c.mu.
func (c *Controller) alert(err error) {
	c.alerts++
	c.opts.Logger.Error(err, "configuration alert", "Stream", Stream, "Offset", c.reader.Table().Offset())
}

// follow reads the log for as long as the controller runs.
func (c *Controller) followLog(ctx context.Context) {
	var retry backoff
	for ctx.Err() == nil {
		c.mu.Lock()
		from := c.reader.Next()
		c.mu.Unlock()
		b, err := readLog(ctx, c.opts.Log, from, longPoll)
		if err != nil {
			c.opts.Logger.V(1).Info("read of the log failed", "Error", err.Error())
		}
		if err == nil && c.applyBatch(from, b) {
			retry.reset()
			continue
		}
		retry.wait(ctx)
	}
}

func readLog(ctx context.Context, log qm.Log, from qm.Offset, wait time.Duration) (qm.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	b, err := log.Read(ctx, Stream, from, maxReadRecords, wait)
	return b, errors.Wrapf(err, "read %s from offset %d", Stream, from)
}

// take folds a batch and reports false if the next read should wait a little.
func (c *Controller) applyBatch(from qm.Offset, b qm.Batch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reader.Next() != from {
		return true // a peer's table arrived meanwhile
	}
	times := make(map[qm.Offset]time.Time)
	for _, r := range b.Records {
		times[r.Offset] = r.Time
	}
	verdicts, err := c.reader.ApplyBatch(b)
	for _, v := range verdicts {
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
	// The first table is published only when the end of the log was reached, because an older part of the log would be
	// a step back from what this router had in force before it was restarted.
	if c.publishedOffset > 0 || c.reader.Next() == b.NextOffset && !c.reader.HasGap() {
		c.publish()
	}
	return err == nil || errors.Is(err, table.ErrNoSnapshot)
}
