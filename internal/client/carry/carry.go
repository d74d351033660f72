// Package carry forwards exchanges to endpoints over HTTP/1.1 without interpreting their bodies.
//
// A response is accepted only if the Codec finds that it belongs to the request. A connection that delivered any other
// response is closed.
package carry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/ending"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/limit/supply"
)

// Codec writes the request headers and checks the response headers that are specific to the endpoints.
type Codec interface {
	// Prepare adds the headers of an attempt to h, a copy of the exchange's headers that it may modify.
	Prepare(h http.Header, x *qm.Exchange, o *qm.ExchangeAttempt) error
	// Check validates the status and headers of a response and returns the endpoint's weights version. It returns an
	// *quetzalmount.Error with outcome NotRun if the endpoint refused the attempt, and an error of another type if the
	// response does not belong to this exchange. A refusal that doesn't name the request wraps ErrUnnamed. If the connection
	// is reused, it may be a late response to an earlier request, and proves nothing.
	Check(x *qm.Exchange, o *qm.ExchangeAttempt, resp *http.Response, reused bool) (qm.VersionID, error)
	// Notice returns what the endpoint says of itself in a response to x, the zero Notice if the response is to another request.
	Notice(x *qm.Exchange, resp *http.Response, reused bool) Notice
}

// Notice is what an endpoint says of itself in a response, whatever its status.
type Notice struct {
	// Leaving is set if the endpoint is about to end.
	Leaving bool
	// Pause is the time for which the endpoint wants no requests from this router, 0 if it takes them.
	Pause time.Duration
	// Ignored describes values that are invalid, for the log. It is empty if there are none.
	Ignored string
}

// ErrUnnamed is wrapped by refusals that don't name the request. Their connections are not reused.
var ErrUnnamed = errors.New("response doesn't name the request")

// NoticeFunc receives the notices of endpoints. The endpoint is the one that the exchange was sent to, in the incarnation known then.
type NoticeFunc func(*qm.Endpoint, Notice)

// Client sends exchanges to endpoints. It is safe for concurrent use.
type Client struct {
	codec    Codec
	onNotice NoticeFunc
	pool     *pool.Pool
}

var _ qm.ExchangeClient = (*Client)(nil)

// New returns a Client with its own connection pool. onNotice is called with each notice before Send returns; nil ignores them.
func New(codec Codec, onNotice NoticeFunc, opts pool.Options) *Client {
	if onNotice == nil {
		onNotice = func(*qm.Endpoint, Notice) {}
	}
	return &Client{codec: codec, onNotice: onNotice, pool: pool.New(opts)}
}

// Close closes idle connections.
func (c *Client) Close() { c.pool.Close() }

// Send implements quetzalmount.ExchangeClient.
func (c *Client) Send(ctx context.Context, x *qm.Exchange, o qm.ExchangeAttempt) (*qm.Response, error) {
	h := x.Header.Clone()
	if err := c.codec.Prepare(h, x, &o); err != nil {
		return nil, err
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	trace := pool.Trace{ID: string(x.Request)}
	sendCtx := newSendContext(ctx)
	req := (&http.Request{
		Method: x.Method, Host: x.Host, Header: h, ContentLength: int64(len(x.Body)),
		URL: &url.URL{
			Scheme: "http", Host: o.Endpoint.Address, Path: x.Target.Path, RawPath: x.Target.RawPath, RawQuery: x.Target.RawQuery,
			ForceQuery: x.Target.ForceQuery,
		},
	}).WithContext(trace.Context(sendCtx))
	if len(x.Body) > 0 {
		// net/http cannot rewind a body without GetBody, so it never retries the request.
		req.Body = io.NopCloser(bytes.NewReader(x.Body))
	}
	resp, err := c.transportFor(x).RoundTrip(req)
	if o.Conn != nil {
		*o.Conn = qm.ConnUse{Reused: trace.Reused(), SentBefore: trace.SentBefore()}
	}
	if err != nil {
		sendCtx.end()
		if !trace.Sent() && errors.Is(err, supply.ErrNone) {
			return nil, qm.Refuse(qm.CodeOverload, "connect", "%v", supply.ErrNone).WithCause(err)
		}
		if !trace.Sent() {
			return nil, qm.Refuse(qm.CodeEndpointUnreached, "connect", "no connection: %v", err).WithPeer(o.Endpoint.Address).WithCause(err)
		}
		return nil, qm.Fail(qm.CodeEndpointFailed, "send", o.Endpoint.Address, err)
	}
	return c.handleResponse(x, &o, resp, &trace, sendCtx)
}

// sendContext is the context of one request to an endpoint. It is done when the context of the attempt is, until detach is called.
type sendContext struct {
	context.Context
	cancel context.CancelCauseFunc
	detach func() bool
}

func newSendContext(ctx context.Context) *sendContext {
	inner, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	s := &sendContext{Context: inner, cancel: cancel, detach: context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })}
	if ctx.Err() != nil {
		cancel(context.Cause(ctx)) // before anything is sent
	}
	return s
}

// end makes the context done. A response that has not been read to its end ends with its connection.
func (s *sendContext) end() {
	s.detach()
	s.cancel(nil)
}

// responseBody is the body of a response. Close ends the context of its request.
type responseBody struct {
	io.ReadCloser
	ctx *sendContext
}

// Close implements io.Closer.
func (b responseBody) Close() error {
	defer b.ctx.end()
	return b.ReadCloser.Close()
}

const (
	// drainWait is the time for which an attempt that was refused waits for the rest of the refusal, so that the next one finds the connection. It
	// covers the distance of packets that were sent together.
	drainWait = 5 * time.Millisecond
	// drainTimeout is the time after which the connection of a refusal is closed if its rest has not arrived. A new one is opened then.
	drainTimeout = time.Second
)

// drain reads the rest of a refusal, so that its connection can be reused. It returns after drainWait and goes on in the background, also after the end of the
// attempt, since an endpoint may fall silent within the rest.
func (s *sendContext) drain(resp *http.Response, trace *pool.Trace) {
	s.detach()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer s.end()
		defer time.AfterFunc(drainTimeout, s.end).Stop()
		if err := pool.Drain(resp); err != nil {
			// The refusal remains valid; only the connection cannot be reused.
			trace.CloseConns()
		}
	}()
	t := time.NewTimer(drainWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// transportFor returns the unpooled transport for exchanges that must not run twice, since on a stale pooled connection
// they would fail with an unknown outcome, and the pool for all others. A stream without a body must be unpooled too,
// because net/http would retry it.
func (c *Client) transportFor(x *qm.Exchange) http.RoundTripper {
	switch {
	case x.Route.Kind == qm.NonIdempotent, x.Route.Kind == qm.Streaming && len(x.Body) == 0:
		return c.pool.Unpooled()
	}
	return c.pool
}

func (c *Client) handleResponse(x *qm.Exchange, o *qm.ExchangeAttempt, resp *http.Response, trace *pool.Trace, ctx *sendContext) (*qm.Response, error) {
	if n := c.codec.Notice(x, resp, trace.Reused()); n != (Notice{}) {
		c.onNotice(o.Endpoint, n)
	}
	version, err := c.codec.Check(x, o, resp, trace.Reused())
	var refused *qm.Error
	switch {
	case err == nil:
		return &qm.Response{
			Status: resp.StatusCode, Header: resp.Header, Body: responseBody{resp.Body, ctx}, Version: version,
			EndsWithConnection: ending.EndsWithConnection(resp),
		}, nil
	case errors.As(err, &refused) && !errors.Is(err, ErrUnnamed):
		ctx.drain(resp, trace)
		return nil, err
	}
	trace.CloseConns()
	_ = resp.Body.Close()
	ctx.end()
	if refused == nil {
		err = qm.Fail(qm.CodeEndpointFailed, "answer", o.Endpoint.Address, err)
	}
	return nil, err
}
