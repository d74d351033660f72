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

// addState starts what keeps state in the log: the claims and the commands to engines.
func (p *parts) addState(ctx context.Context) error {
	var err error
	p.claims, err = claim.New(ctx, claim.Options{
		Log: p.logs, Instance: qm.InstanceID(p.settings.Instance), Dispatch: p.invoker.Dispatch, Status: p.invoker.Status,
		Owner:     func(shard int) bool { return p.owns(fmt.Sprintf("claims-%d", shard)) },
		Retention: p.settings.LogRetention, Logger: p.log.WithName("claim"), AppendsPerSecond: p.settings.AppendsPerSecond,
	})
	if err != nil {
		return err
	}
	p.onClose(func() {
		if err := p.claims.Close(); err != nil {
			p.log.Error(err, "calls that were answered may be called Unknown when they are sent again")
		}
	})
	p.orders = order.New(ctx, order.Options{
		Log: p.logs, Board: p.board, Engines: commander{p.engines},
		Holder: p.settings.Instance + "/" + string(p.incarnation),
		Owner:  func(id qm.EndpointID) bool { return p.owns("engine-" + string(id)) },
		Logger: p.log.WithName("order"),
	})
	p.closeQuietly("orders", p.orders.Close)
	return nil
}

// commander sends commands to engines.
type commander struct{ client *engine.Client }

// Desire implements order.Engines.
func (c commander) Desire(
	ctx context.Context, e *qm.Endpoint, fence qm.Offset, v qm.VersionID, adapters []qm.AdapterID, role string,
) error {
	return c.client.SetDesired(ctx, e, engine.Desired{Fence: fence, Version: v, Adapters: adapters, Role: role})
}

// progress returns the state of the commands to engines, for operators.
func (p *parts) progress() map[qm.EndpointID]opsapi.Progress {
	out := make(map[qm.EndpointID]opsapi.Progress)
	for _, g := range p.orders.Progress() {
		out[g.Endpoint] = opsapi.Progress{Desired: g.Desired, Step: string(g.Step), Error: g.Error}
	}
	return out
}
