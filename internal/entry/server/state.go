package server

import (
	"context"
	"fmt"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/engine"
	"quetzalmount.dev/quetzalmount/internal/entry/opsapi"
	"quetzalmount.dev/quetzalmount/internal/state/claim"
	"quetzalmount.dev/quetzalmount/internal/state/order"
)

// addState starts the components that keep their state in the log: the claims, and the controller of commands to engines.
func (c *components) addState(ctx context.Context) error {
	var err error
	c.claims, err = claim.New(ctx, claim.Options{
		Log: c.watchedLog, Instance: qm.InstanceID(c.settings.Instance), Dispatch: c.invoker.Dispatch, Status: c.invoker.Status,
		Owner:     func(shard int) bool { return c.owns(fmt.Sprintf("claims-%d", shard)) },
		Retention: c.settings.LogRetention, Logger: c.log.WithName("claim"), AppendsPerSecond: c.settings.AppendsPerSecond,
	})
	if err != nil {
		return err
	}
	c.onClose(func() {
		if err := c.claims.Close(); err != nil {
			c.log.Error(err, "records of answered calls not appended; repeats of these calls may get outcome Unknown")
		}
	})
	c.orders = order.New(ctx, order.Options{
		Log: c.watchedLog, Board: c.board, Engines: engineCommander{c.engines},
		Holder: c.settings.Instance + "/" + string(c.incarnation),
		Owner:  func(id qm.EndpointID) bool { return c.owns("engine-" + string(id)) },
		Logger: c.log.WithName("order"),
	})
	c.onCloseLogError("orders", c.orders.Close)
	return nil
}

// engineCommander sends commands to engines.
type engineCommander struct{ client *engine.Client }

// SetDesired implements order.Engines.
func (c engineCommander) SetDesired(
	ctx context.Context, e *qm.Endpoint, fence qm.Offset, v qm.VersionID, adapters []qm.AdapterID, role string,
) error {
	return c.client.SetDesired(ctx, e, engine.Desired{Fence: fence, Version: v, Adapters: adapters, Role: role})
}

// commandProgress returns the progress of the commands to each engine.
func (c *components) commandProgress() map[qm.EndpointID]opsapi.Progress {
	out := make(map[qm.EndpointID]opsapi.Progress)
	for _, p := range c.orders.Progress() {
		out[p.Endpoint] = opsapi.Progress{Desired: p.Desired, Step: string(p.Step), Error: p.Error}
	}
	return out
}
