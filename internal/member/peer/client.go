package peer

import (
	"context"
	"io"
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

// numberHeader is the header of a call's number, which the answer repeats. An answer may be written more than once, and its number tells it
// from those to later calls on the connection. The name is short because each call carries it twice.
const numberHeader = "N"

// transport numbers calls and checks the numbers of the answers, removes headers that peers do not need, which would take a third of a
// message, and limits the response.
type transport struct {
	next  peerpb.HTTPClient
	calls *atomic.Uint64
}

// Do sends the request with a number and without those headers. The error wraps quetzalmount.ErrWrongRequest if the answer may be the one to
// an earlier call. Routers of versions without numbers repeat none; their answers are accepted on new connections.
func (t transport) Do(r *http.Request) (*http.Response, error) {
	trace := &pool.Trace{ID: strconv.FormatUint(t.calls.Add(1), 36), Unique: true}
	r = r.WithContext(trace.Context(r.Context()))
	r.Header.Set(numberHeader, trace.ID)
	// An empty value prevents net/http from adding its default.
	r.Header.Set("User-Agent", "")
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	resp, err := t.next.Do(r)
	if err != nil {
		return nil, err
	}
	if err := trace.CheckID(resp.Header.Get(numberHeader)); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	// The generated code reads a body without a limit.
	resp.Body = pool.LimitBody(r.Context(), resp.Body, pool.ControlBudget)
	if idle, ok := r.Context().Value(idleTimerKey{}).(*idleTimer); ok {
		resp.Body = idleBody{resp.Body, idle}
	}
	return resp, nil
}

// idleTimer ends a call when no part of the answer has arrived for a time.
type idleTimer struct {
	*time.Timer
	timeout time.Duration
}

type idleTimerKey struct{}

// idleBody is the body of an answer. Each read resets the timer of its call.
type idleBody struct {
	io.ReadCloser
	idle *idleTimer
}

// Read implements io.Reader.
func (b idleBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.idle.Reset(b.idle.timeout)
	}
	return n, err
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

// snapshotTimeouts is the number of timeouts of a call that a snapshot may take. It has 4 MB at the target size; with the timeout of half a second on the
// users' platform, the slowest link that brings it in time has 3.2 Mbit/s.
const snapshotTimeouts = 20

// FetchTableFrom asks a router for a snapshot of its configuration table and returns it with its offset. The snapshot is empty if the
// router has applied nothing beyond after. The call ends when no part of it has arrived for the timeout of a call.
func (p *Peer) FetchTableFrom(ctx context.Context, m qm.Member, after qm.Offset) ([]byte, qm.Offset, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := p.client
	idle := &idleTimer{timeout: c.timeout, Timer: time.AfterFunc(c.timeout, func() { cancel(context.DeadlineExceeded) })}
	defer idle.Stop()
	ctx = context.WithValue(ctx, idleTimerKey{}, idle)
	c.timeout *= snapshotTimeouts
	r, err := call(ctx, c, m, "fetch table from", c.stub(m).FetchTable, &peerpb.FetchTableRequest{After: int64(after)})
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
