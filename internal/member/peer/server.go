package peer

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/memory"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

var _ peerpb.Peer = (*Peer)(nil)

// maxNumberBytes limits the number of a call that is sent back. It is the length of the largest one.
const maxNumberBytes = 13

// Handler returns the handler of calls from other routers, to be served below peerpb.PeerPathPrefix.
func (p *Peer) Handler() http.Handler {
	h := peerpb.NewPeerServer(p)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The generated code reads and decodes a body without a limit.
		held := p.opts.Memory.Body()
		defer held.Release()
		body, err := readBody(r, held)
		if errors.Is(err, memory.ErrFull) {
			w.Header().Set("Retry-After", memoryRetryAfter)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		defer func() { _ = body.Close() }()
		r.Body = body
		// Peers do not use the Date header; nil prevents net/http from adding it.
		w.Header()["Date"] = nil
		if number := r.Header.Get(numberHeader); number != "" && len(number) <= maxNumberBytes {
			w.Header().Set(numberHeader, number)
		}
		h.ServeHTTP(w, r)
	})
}

// Exchange applies the state of the caller and returns the state of this router. It implements peerpb.Peer.
func (p *Peer) Exchange(_ context.Context, q *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	p.queueHints()
	// Updates from the caller's message are not sent back. Routers that have received an update call each other soon after, and would
	// otherwise spend their copies on each other before a router that has not received it calls.
	has := map[string]bool{q.GetSelf().GetInstance(): true}
	for _, s := range q.GetOthers() {
		has[s.GetInstance()] = true
	}
	for _, h := range q.GetHints() {
		has[h.GetEndpoint()] = true
	}
	others, hints, reports := p.outbox.take(has).wire()
	p.applyMessage(q)
	return &peerpb.ExchangeResponse{Self: p.ownState(), Others: others, Hints: hints, Reports: reports}, nil
}

// FetchTable returns the configuration table of this router. It implements peerpb.Peer.
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

// Borrow lends shares of the limits of teams whose home instance this router is. It implements peerpb.Peer.
func (p *Peer) Borrow(ctx context.Context, q *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	if p.opts.Lend == nil {
		return nil, twirp.Unavailable.Error("borrow: this router lends no shares")
	}
	return p.opts.Lend(ctx, q)
}

// TradeLoads receives the load of another router and returns that of this router. It implements peerpb.Peer.
func (p *Peer) TradeLoads(_ context.Context, q *peerpb.LoadShare) (*peerpb.LoadShare, error) {
	if p.opts.HandleLoads == nil {
		return nil, twirp.Unavailable.Error("trade loads: this router does not count its load")
	}
	return p.opts.HandleLoads(q), nil
}
