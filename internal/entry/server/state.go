package server

import (
	"context"
	"fmt"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/claim"
)

// addState starts what keeps state in the log: the claims and the commands to engines.
func (p *parts) addState(ctx context.Context) error {
	var err error
	p.claims, err = claim.New(ctx, claim.Options{
		Log: p.logs, Instance: qm.InstanceID(p.settings.Instance), Dispatch: p.invoker.Dispatch, Status: p.invoker.Status,
		Owner:     func(shard int) bool { return p.owns(fmt.Sprintf("claims-%d", shard)) },
		Retention: p.settings.LogRetention, Alerts: p.log.WithName("claim"), AppendsPerSecond: p.settings.AppendsPerSecond,
	})
	if err != nil {
		return err
	}
	p.closeQuietly("claims", p.claims.Close)
	return nil
}
