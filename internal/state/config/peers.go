package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

// pollPeers fetches the table from peers if this router has none, has a gap, or is behind a peer in two checks in a
// row.
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

// waitForPoll waits until the next check. A change of the members ends the wait, so that a router without a table
// fetches it as soon as it learns of peers, for example after a restart while the log is down.
func waitForPoll(ctx context.Context, membersChanged <-chan struct{}) {
	t := time.NewTimer(peerPollInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-membersChanged:
	case <-ctx.Done():
	}
}

// needsFetch reports whether the log alone cannot bring this router up to date, and whether a peer has a newer table.
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
		c.opts.Logger.V(1).Info("fetching the table from peers failed", "Error", err.Error())
		return
	}
	if len(data) == 0 {
		return
	}
	if err := c.applyDelta(data); err != nil {
		c.opts.Logger.Error(err, "table of a peer rejected")
	}
}

func (c *Controller) applyDelta(data []byte) error {
	d, err := table.DecodeDelta(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.alerts++
		return errors.WithMessage(err, "apply table of a peer")
	}
	if d.CoversTo <= c.reader.Table().Offset() {
		return nil // the log has brought the table at least as far
	}
	if err := c.reader.ApplyDelta(d); err != nil {
		c.alerts++
		c.fetchWhole = d.Base > 0
		return errors.WithMessage(err, "apply table of a peer")
	}
	c.fetchWhole = false
	c.publish()
	return nil
}

// Offset returns the offset of the table in force, 0 if there is none, which routers report to their peers.
func (c *Controller) Offset() qm.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.publishedOffset
}
