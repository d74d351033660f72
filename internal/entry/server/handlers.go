package server

import (
	"net/http"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/entry/front"
	"quetzalmount.dev/quetzalmount/internal/entry/opsapi"
	"quetzalmount.dev/quetzalmount/internal/limit/supply"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// callerHandler returns the HTTP handler for callers.
func (c *components) callerHandler() (http.Handler, error) {
	s := c.settings
	return front.New(front.Options{
		Instance: qm.InstanceID(s.Instance), DataCentre: qm.DataCentre(s.DataCentre), Version: c.version,
		MaxBodyBytes: s.MaxBodyBytes, DefaultOutputTokens: qm.Tokens(s.DefaultOutputTokens), RequestTimeout: s.RequestTimeout,
		HeartbeatInterval: s.HeartbeatInterval, WriteTimeout: s.WriteStallTimeout,
	}, front.Deps{
		Board: c.board, Completer: c.relay, Calls: c.claims, RunRepeatable: c.invoker.CallRepeatable, Admit: c.gate.Admit,
		Memory: c.bodies, Supply: supply.Memory, Advise: c.adviser.For, Meter: c.meter, Log: c.log.WithName("front"),
	})
}

// operatorHandler returns the HTTP handler for operators.
func (c *components) operatorHandler() (http.Handler, error) {
	return opsapi.New(opsapi.Deps{
		Board: c.board, Instance: qm.InstanceID(c.settings.Instance), Version: c.version, KeyHash: c.settings.OperatorKeyHash,
		Rows: c.tableRows, Metrics: c.meter.Handler(),
		Teams:    c.slots.Teams,
		Progress: c.commandProgress,
	})
}

// peerHandler returns the HTTP handler for other routers.
func (c *components) peerHandler() (http.Handler, error) {
	mux := http.NewServeMux()
	mux.Handle(peerpb.PeerPathPrefix, requirePeerKey(c.settings.PeerKey, c.peer.Handler()))
	return mux, nil
}

// tableRows returns the rows of the table in force.
func (c *components) tableRows() []opsapi.Row {
	rows, _ := c.config.Rows()
	out := make([]opsapi.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, opsapi.Row{Kind: string(r.Kind), Name: r.Name, Version: r.Version, Cells: r.Cells()})
	}
	return out
}
