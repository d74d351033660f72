package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

// ask takes the table from peers while there is none, while records are lost, and while a peer is ahead.
func (c *Controller) pollPeers(ctx context.Context) {
	wasBehind := false
	for ctx.Err() == nil {
		membersChanged := c.opts.Board.Members.Changed()
		needsPeers, behind := c.needsFetch()
		if needsPeers || behind && wasBehind {
			c.fetchDelta(ctx)
		}
		wasBehind = behind
		if !needsPeers {
			membersChanged = nil
		}
		waitForPoll(ctx, membersChanged)
	}
}

// rest waits for the next look at the peers. A router without a table looks again as soon as it learns of members, so that a
// restart while the log is down takes no longer than it must.
func waitForPoll(ctx context.Context, membersChanged <-chan struct{}) {
	t := time.NewTimer(peerPollInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-membersChanged:
	case <-ctx.Done():
	}
}

// behind reports whether the log alone does not help, and whether a peer is ahead.
func (c *Controller) needsFetch() (needsPeers, behind bool) {
	members, _ := c.opts.Board.Members.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range members {
		behind = behind || !m.IsSelf && m.TableOffset > c.publishedOffset
	}
	return c.publishedOffset == 0 || c.reader.HasGap(), behind
}

func (c *Controller) fetchDelta(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c.mu.Lock()
	after := c.reader.Table().Offset()
	if c.fetchWhole {
		after = 0
	}
	c.mu.Unlock()
	data, _, err := c.opts.Fetch(ctx, after)
	if err != nil {
		c.opts.Logger.V(1).Info("no table from peers", "Error", err.Error())
		return
	}
	if len(data) == 0 {
		return
	}
	if err := c.applyDelta(data); err != nil {
		c.opts.Logger.Error(err, "table of a peer refused")
	}
}

func (c *Controller) applyDelta(data []byte) error {
	d, err := table.DecodeDelta(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.alerts++
		return errors.WithMessage(err, "take table of a peer")
	}
	if d.CoversTo <= c.reader.Table().Offset() {
		return nil // the log was faster
	}
	if err := c.reader.ApplyDelta(d); err != nil {
		c.alerts++
		c.fetchWhole = d.Base > 0
		return errors.WithMessage(err, "take table of a peer")
	}
	c.fetchWhole = false
	c.publish()
	return nil
}

// Offset returns the offset of the table in force, which peers report to each other.
func (c *Controller) Offset() qm.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.publishedOffset
}
