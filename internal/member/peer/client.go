package peer

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// client calls other routers.
type client struct {
	http    peerpb.HTTPClient
	scheme  string
	timeout time.Duration
}

// headerCall carries the number of a call and comes back in its response.
const headerCall = "Call"

// errOtherCall means that a response belongs to another call on the same connection.
var errOtherCall = errors.New("response to another call")

// callSender removes headers that peers do not need, which would take a third of a message, numbers the calls and limits the response.
type callSender struct {
	next peerpb.HTTPClient
	sent atomic.Uint64
}

// Do sends the request without those headers. It returns errOtherCall if the response has the number of another call. Routers of earlier
// versions send no number back.
func (s *callSender) Do(r *http.Request) (*http.Response, error) {
	// An empty value prevents net/http from adding its default.
	r.Header.Set("User-Agent", "")
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	number := strconv.FormatUint(s.sent.Add(1), 36)
	r.Header.Set(headerCall, number)
	var trace pool.Trace
	resp, err := s.next.Do(r.WithContext(trace.Context(r.Context())))
	if err != nil {
		return nil, err
	}
	if got := resp.Header.Get(headerCall); got != "" && got != number {
		trace.CloseConns()
		_ = resp.Body.Close()
		return nil, errors.Wrapf(errOtherCall, "number %q, want %q", got, number)
	}
	// The generated code reads a body without a limit.
	resp.Body = pool.LimitBody(r.Context(), resp.Body, pool.ControlBudget)
	return resp, nil
}

// stub returns a client of the peer protocol for router m.
func (c client) stub(m qm.Member) peerpb.Peer {
	return peerpb.NewPeerProtobufClient(c.scheme+"://"+m.PeerAddress, c.http)
}

// call calls f, a method of the stub for m, within the timeout. step names the call in errors.
func call[Q, R any](ctx context.Context, c client, m qm.Member, step string, f func(context.Context, Q) (R, error), q Q) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := f(ctx, q)
	return r, errors.Wrapf(err, "%s %s", step, m.Instance)
}

func (c client) exchange(ctx context.Context, m qm.Member, q *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return call(ctx, c, m, "exchange state with", c.stub(m).Exchange, q)
}

// FetchTableFrom asks a router for a snapshot of its configuration table and returns it with its offset. The snapshot is empty if the
// router has applied nothing beyond after.
func (p *Peer) FetchTableFrom(ctx context.Context, m qm.Member, after qm.Offset) ([]byte, qm.Offset, error) {
	r, err := call(ctx, p.client, m, "fetch table from", p.client.stub(m).FetchTable, &peerpb.FetchTableRequest{After: int64(after)})
	return r.GetSnapshot(), qm.Offset(r.GetOffset()), err
}

// RequestShares asks m, the home instance of the teams in q, for shares of their limits.
func (p *Peer) RequestShares(ctx context.Context, m qm.Member, q *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	return call(ctx, p.client, m, "borrow shares from", p.client.stub(m).Borrow, q)
}

// ExchangeLoads sends this router's load at endpoints to another router and returns the load that it answers with.
func (p *Peer) ExchangeLoads(ctx context.Context, m qm.Member, own *peerpb.LoadShare) (*peerpb.LoadShare, error) {
	return call(ctx, p.client, m, "exchange loads with", p.client.stub(m).TradeLoads, own)
}
