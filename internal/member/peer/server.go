package peer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

var _ peerpb.Peer = (*Peer)(nil)

// Handler serves the calls of other routers below peerpb.PeerPathPrefix.
func (p *Peer) Handler() http.Handler {
	h := peerpb.NewPeerServer(p)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Peers do not use the date; nil keeps net/http from adding it.
		w.Header()["Date"] = nil
		h.ServeHTTP(w, r)
	})
}

// Exchange takes the state of the caller and returns the own one.
func (p *Peer) Exchange(_ context.Context, q *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	p.collect()
	// News that the caller just sent is not sent back: nodes that heard it call each other at once, and would use up their
	// copies on each other before those that did not hear it call.
	has := map[string]bool{q.GetSelf().GetInstance(): true}
	for _, s := range q.GetOthers() {
		has[s.GetInstance()] = true
	}
	for _, h := range q.GetHints() {
		has[h.GetEndpoint()] = true
	}
	others, hints := p.news.take(has)
	p.take(q.GetSelf(), q.GetOthers(), q.GetHints())
	return &peerpb.ExchangeResponse{Self: p.self(), Others: others, Hints: hints}, nil
}

// FetchTable returns the table of this router.
func (p *Peer) FetchTable(ctx context.Context, q *peerpb.FetchTableRequest) (*peerpb.FetchTableResponse, error) {
	if p.opts.Snapshot == nil {
		return nil, twirp.Unavailable.Error("fetch table: this router has none yet")
	}
	snapshot, offset, err := p.opts.Snapshot(ctx, qm.Offset(q.GetAfter()))
	if err != nil {
		return nil, twirp.WrapError(twirp.Unavailable.Error("fetch table: "+err.Error()), err)
	}
	return &peerpb.FetchTableResponse{Snapshot: snapshot, Offset: int64(offset)}, nil
}

// Borrow lends shares of teams whose home this router is.
func (p *Peer) Borrow(ctx context.Context, q *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	if p.opts.Grant == nil {
		return nil, twirp.Unavailable.Error("borrow: this router lends no shares")
	}
	return p.opts.Grant(ctx, q)
}

// TradeLoads takes the load of another router and returns the own one.
func (p *Peer) TradeLoads(_ context.Context, q *peerpb.LoadShare) (*peerpb.LoadShare, error) {
	if p.opts.HandleLoads == nil {
		return nil, twirp.Unavailable.Error("trade loads: this router does not count its load")
	}
	return p.opts.HandleLoads(q), nil
}
