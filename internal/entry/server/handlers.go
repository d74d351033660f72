package server

import (
	"net/http"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/entry/front"
	"quetzalmount.dev/quetzalmount/internal/entry/opsapi"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// callers returns the handler for callers.
func (p *parts) callers() (http.Handler, error) {
	s := p.settings
	return front.New(front.Options{
		Instance: qm.InstanceID(s.Instance), DataCentre: qm.DataCentre(s.DataCentre), Version: p.version,
		MaxBodyBytes: s.MaxBodyBytes, DefaultOutputTokens: qm.Tokens(s.DefaultOutputTokens), Request: s.RequestTimeout,
		Heartbeat: s.HeartbeatInterval, WriteStall: s.WriteStallTimeout,
	}, front.Deps{
		Board: p.board, Completer: p.relay, Claims: p.claims, Repeat: p.invoker.CallRepeatable, Admit: p.gate.Admit,
		Advise: p.adviser.For, Meter: p.meter, Log: p.log.WithName("front"),
	})
}

// operators returns the handler for operators.
func (p *parts) operators() (http.Handler, error) {
	return opsapi.New(opsapi.Deps{
		Board: p.board, Instance: qm.InstanceID(p.settings.Instance), Version: p.version, KeyHash: p.settings.OperatorKeyHash,
		Rows: p.rows, Metrics: p.meter.Handler(),
		Teams:    p.slots.Teams,
		Progress: p.progress,
	})
}

// peers returns the handler for other routers.
func (p *parts) peers() (http.Handler, error) {
	mux := http.NewServeMux()
	mux.Handle(peerpb.PeerPathPrefix, requirePeerKey(p.settings.PeerKey, p.peer.Handler()))
	return mux, nil
}

// rows returns the rows of the table for operators.
func (p *parts) rows() []opsapi.Row {
	rows, _ := p.config.Rows()
	out := make([]opsapi.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, opsapi.Row{Kind: string(r.Kind), Name: r.Name, Version: r.Version, Cells: r.Cells()})
	}
	return out
}
