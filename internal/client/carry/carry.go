// Package carry sends exchanges to endpoints over HTTP/1.1 without understanding them.
//
// An answer belongs to a request only if it names the request; connections on which anything else arrived are dropped.
package carry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// Codec knows the headers that endpoints read and write.
type Codec interface {
	// Prepare adds the headers of an offer to those of the exchange, which it may change.
	Prepare(h http.Header, x *qm.Exchange, o *qm.ExchangeAttempt) error
	// Check reads the head of an answer. The error is an *quetzalmount.Error with outcome NotRun if the endpoint refused the offer,
	// and any other error if the answer is not one to this exchange.
	Check(x *qm.Exchange, o *qm.ExchangeAttempt, resp *http.Response) (qm.VersionID, error)
}

// Client sends exchanges. It is safe for concurrent use.
type Client struct {
	codec Codec
	pool  *pool.Pool
}

var _ qm.ExchangeClient = (*Client)(nil)

// New returns a Client with connections of its own.
func New(codec Codec, opts pool.Options) *Client {
	return &Client{codec: codec, pool: pool.New(opts)}
}

// Close closes idle connections.
func (c *Client) Close() { c.pool.Close() }

// Send implements quetzalmount.Carrier.
func (c *Client) Send(ctx context.Context, x *qm.Exchange, o qm.ExchangeAttempt) (*qm.Response, error) {
	h := x.Header.Clone()
	if err := c.codec.Prepare(h, x, &o); err != nil {
		return nil, err
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	var trace pool.Trace
	req := (&http.Request{
		Method: x.Method, Host: x.Host, Header: h, ContentLength: int64(len(x.Body)),
		URL: &url.URL{
			Scheme: "http", Host: o.Endpoint.Address, Path: x.Target.Path, RawPath: x.Target.RawPath, RawQuery: x.Target.RawQuery,
			ForceQuery: x.Target.ForceQuery,
		},
	}).WithContext(trace.Context(ctx))
	if len(x.Body) > 0 {
		// Without GetBody net/http never sends the request again by itself.
		req.Body = io.NopCloser(bytes.NewReader(x.Body))
	}
	resp, err := c.transport(x).RoundTrip(req)
	if err != nil {
		if !trace.Sent() {
			return nil, qm.Refuse(qm.CodeEndpointUnreached, "connect", "no connection: %v", err).WithPeer(o.Endpoint.Address).WithCause(err)
		}
		return nil, qm.Fail(qm.CodeEndpointFailed, "send", o.Endpoint.Address, err)
	}
	return c.answer(x, &o, resp, &trace)
}

// transport returns a fresh connection for what must not run twice and would be lost with a stale one, and pooled ones for the
// rest. A bodiless stream counts among the former because net/http would send it again by itself.
func (c *Client) transport(x *qm.Exchange) http.RoundTripper {
	switch {
	case x.Route.Kind == qm.NonIdempotent, x.Route.Kind == qm.Streaming && len(x.Body) == 0:
		return c.pool.Unpooled()
	}
	return c.pool
}

func (c *Client) answer(x *qm.Exchange, o *qm.ExchangeAttempt, resp *http.Response, trace *pool.Trace) (*qm.Response, error) {
	version, err := c.codec.Check(x, o, resp)
	if err != nil {
		var refused *qm.Error
		if !errors.As(err, &refused) {
			trace.CloseConns()
			err = qm.Fail(qm.CodeEndpointFailed, "answer", o.Endpoint.Address, err)
		} else if _, rerr := pool.ReadAll(resp); rerr != nil {
			// The refusal stands; only the connection cannot be used again.
			trace.CloseConns()
		}
		_ = resp.Body.Close()
		return nil, err
	}
	return &qm.Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Version: version}, nil
}
