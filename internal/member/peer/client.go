package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// client calls other routers.
type client struct {
	http    peerpb.HTTPClient
	scheme  string
	timeout time.Duration
}

// slim leaves out headers that peers do not need. They would be a third of a message.
type slim struct{ next peerpb.HTTPClient }

// Do sends the request.
func (s slim) Do(r *http.Request) (*http.Response, error) {
	// An empty value keeps net/http from adding its own.
	r.Header.Set("User-Agent", "")
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	return s.next.Do(r)
}

func (c client) to(m qm.Member) peerpb.Peer {
	return peerpb.NewPeerProtobufClient(c.scheme+"://"+m.PeerAddress, c.http)
}

// do runs one call to m within the timeout.
func do[Q, R any](ctx context.Context, c client, m qm.Member, step string, f func(context.Context, Q) (R, error), q Q) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := f(ctx, q)
	return r, errors.Wrapf(err, "%s with %s", step, m.Instance)
}

func (c client) exchange(ctx context.Context, m qm.Member, q *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return do(ctx, c, m, "exchange state", c.to(m).Exchange, q)
}

// Fetch asks a router for its table. The snapshot is empty if the router has nothing beyond after.
func (p *Peer) FetchTableFrom(ctx context.Context, m qm.Member, after qm.Offset) ([]byte, qm.Offset, error) {
	r, err := do(ctx, p.client, m, "fetch table", p.client.to(m).FetchTable, &peerpb.FetchTableRequest{After: int64(after)})
	return r.GetSnapshot(), qm.Offset(r.GetOffset()), err
}

// Ask sends a request for shares to the home instance of the teams in it.
func (p *Peer) RequestShares(ctx context.Context, m qm.Member, q *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	return do(ctx, p.client, m, "borrow shares", p.client.to(m).Borrow, q)
}

// TradeLoadsWith trades the own load at endpoints for that of another router.
func (p *Peer) ExchangeLoads(ctx context.Context, m qm.Member, own *peerpb.LoadShare) (*peerpb.LoadShare, error) {
	return do(ctx, p.client, m, "trade loads", p.client.to(m).TradeLoads, own)
}
