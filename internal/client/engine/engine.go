// Package engine is the HTTP client of model engines. It implements quetzalmount.EngineClient, fetches load reports and
// cache events, sends commands, and transfers KV cache blocks.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// Client calls any number of engines. It is safe for concurrent use.
type Client struct {
	pool     *pool.Pool
	pooled   *http.Client
	unpooled *http.Client
}

var _ qm.EngineClient = (*Client)(nil)

// New returns a Client with its own connection pool.
func New(opts pool.Options) *Client {
	p := pool.New(opts)
	return &Client{pool: p, pooled: &http.Client{Transport: p}, unpooled: &http.Client{Transport: p.Unpooled()}}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.pool.Close()
	return nil
}

type (
	span struct {
		Key qm.PrefixKey `json:"key"`
		End qm.Tokens    `json:"end"`
	}
	completionRequest struct {
		RequestID    qm.RequestID `json:"request_id"`
		Model        qm.ModelID   `json:"model"`
		Version      qm.VersionID `json:"version,omitempty"`
		Messages     []qm.Message `json:"messages"`
		MaxTokens    qm.Tokens    `json:"max_tokens,omitempty"`
		Stream       bool         `json:"stream"`
		CacheSalt    string       `json:"cache_salt,omitempty"`
		Priority     int          `json:"priority,omitempty"`
		Blocks       []span       `json:"blocks,omitempty"`
		ContinueFrom int64        `json:"continue_from,omitempty"`
	}
)

func encodeRequest(r *qm.EngineRequest) ([]byte, error) {
	in := completionRequest{
		RequestID: r.Request, Model: r.Model, Version: r.Version, Messages: r.Messages, MaxTokens: r.MaxTokens, Stream: true,
		CacheSalt: r.CacheSalt, Priority: r.Priority, ContinueFrom: r.FirstChunk, Blocks: make([]span, len(r.Blocks)),
	}
	for i, b := range r.Blocks {
		in.Blocks[i] = span(b)
	}
	if r.FirstChunk > 0 {
		in.Messages = append(append([]qm.Message(nil), r.Messages...), qm.Message{Role: "assistant", Content: r.EmittedText})
	}
	return json.Marshal(in)
}

// Start implements quetzalmount.EngineClient. Text that was already emitted is sent as a final message of role assistant,
// for the engine to continue. If the engine refuses the request, Start returns an *Error with outcome NotRun; its code is
// QueueFull if the engine's queue is full, NoEndpoint if it accepts no requests at the moment, and BadRequest, NotFound or
// Conflict if it rejects this one.
func (c *Client) Start(ctx context.Context, e *qm.Endpoint, r *qm.EngineRequest) (qm.ChunkReader, error) {
	body, err := encodeRequest(r)
	if err != nil {
		return nil, qm.Refuse(qm.CodeBadRequest, "start", "encode request: %v", err).WithPeer(e.Address)
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	req, err := http.NewRequestWithContext(streamCtx, http.MethodPost, "http://"+e.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, qm.Refuse(qm.CodeInternal, "start", "%v", err).WithPeer(e.Address)
	}
	req.Header.Set("Content-Type", "application/json")
	// An empty value marks the request as idempotent for net/http and is not sent. net/http may then retry a request that
	// fails on a reused connection; an engine that receives a request twice attaches the second to the stream of the first.
	req.Header["X-Idempotency-Key"] = []string{}
	return c.open(ctx, c.pooled, req, cancel, "start", e, r.Request, "")
}

// Resume implements quetzalmount.EngineClient. It returns an *Error with code NotFound if the engine does not have the
// stream or its incarnation is not inc; in the latter case it wraps quetzalmount.ErrOtherIncarnation. An empty inc matches any incarnation.
func (c *Client) Resume(ctx context.Context, e *qm.Endpoint, inc qm.Incarnation, id qm.RequestID, from int64) (qm.ChunkReader, error) {
	u := fmt.Sprintf("http://%s/v1/streams/%s?from=%d", e.Address, url.PathEscape(string(id)), from)
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	req, err := http.NewRequestWithContext(streamCtx, http.MethodGet, u, nil)
	if err != nil {
		cancel()
		return nil, qm.Fail(qm.CodeInternal, "resume", e.Address, err)
	}
	return c.open(ctx, c.unpooled, req, cancel, "resume", e, id, inc)
}

// open sends req and returns a reader once the engine has sent the response headers. ctx limits only the wait for the
// headers; cancel ends the stream. An empty inc matches any incarnation.
func (c *Client) open(
	ctx context.Context, h *http.Client, req *http.Request, cancel context.CancelFunc, step string, e *qm.Endpoint, id qm.RequestID, inc qm.Incarnation,
) (qm.ChunkReader, error) {
	trace := &pool.Trace{ID: string(id)}
	stop := context.AfterFunc(ctx, cancel)
	resp, err := h.Do(req.WithContext(trace.Context(req.Context())))
	if !stop() && err == nil {
		_ = resp.Body.Close()
		err = context.Cause(ctx)
	}
	if err != nil {
		cancel()
		return nil, noResponseError(ctx, trace, step, e, err)
	}
	if got := resp.Header.Get("X-Request-Id"); got != string(id) {
		cancel()
		_ = resp.Body.Close()
		trace.CloseConns()
		return nil, qm.Fail(qm.CodeEndpointFailed, step, e.Address, errors.Wrapf(qm.ErrWrongRequest, "answer has id %q", got))
	}
	incarnation := qm.Incarnation(resp.Header.Get("X-Incarnation"))
	if inc != "" && incarnation != inc && (incarnation != "" || resp.StatusCode == http.StatusOK) {
		cancel()
		_ = resp.Body.Close()
		return nil, qm.Fail(qm.CodeNotFound, step, e.Address, errors.Wrapf(qm.ErrOtherIncarnation, "engine has incarnation %s, want %s", incarnation, inc))
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, statusError(resp, step, e)
	}
	return &reader{
		resp: resp, cancel: cancel, trace: trace, events: newEventReader(req.Context(), resp.Body), id: id, incarnation: incarnation,
	}, nil
}

// noResponseError returns the error for a request without a response. Its outcome is NotRun if no byte was sent.
func noResponseError(ctx context.Context, trace *pool.Trace, step string, e *qm.Endpoint, err error) error {
	code := qm.CodeEndpointFailed
	if ctx.Err() != nil {
		code, err = qm.CodeTimeout, context.Cause(ctx)
	}
	if !trace.Sent() {
		return qm.Refuse(code, step, "%v", err).WithPeer(e.Address).WithCause(err)
	}
	return qm.Fail(code, step, e.Address, err)
}

// statusError returns the error for a response with a status other than 200.
func statusError(resp *http.Response, step string, e *qm.Endpoint) error {
	retryAfter := pool.RetryAfter(resp)
	status := resp.StatusCode
	b, _ := pool.ReadAll(resp, pool.EndpointBudget)
	var refusal struct{ Message string }
	if json.Unmarshal(b, &refusal) != nil || refusal.Message == "" {
		refusal.Message = resp.Status
	}
	switch {
	case status == http.StatusTooManyRequests:
		return qm.Refuse(qm.CodeQueueFull, step, "%s", refusal.Message).WithPeer(e.Address).WithRetryAfter(retryAfter)
	case status == http.StatusServiceUnavailable:
		return qm.Refuse(qm.CodeNoEndpoint, step, "%s", refusal.Message).WithPeer(e.Address).WithRetryAfter(retryAfter)
	case status == http.StatusNotFound:
		return qm.Refuse(qm.CodeNotFound, step, "%s", refusal.Message).WithPeer(e.Address)
	case status == http.StatusConflict:
		return qm.Refuse(qm.CodeConflict, step, "%s", refusal.Message).WithPeer(e.Address)
	case status >= 400 && status < 500:
		return qm.Refuse(qm.CodeBadRequest, step, "%s", refusal.Message).WithPeer(e.Address)
	}
	return qm.Fail(qm.CodeEndpointFailed, step, e.Address, errors.Errorf("status %d: %s", status, refusal.Message))
}

// Cancel implements quetzalmount.EngineClient. It succeeds if the engine does not know the request. It opens a new
// connection, because a request is often cancelled after its connection has stalled.
func (c *Client) Cancel(ctx context.Context, e *qm.Endpoint, id qm.RequestID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+e.Address+"/v1/streams/"+url.PathEscape(string(id)), nil)
	if err != nil {
		return qm.Fail(qm.CodeInternal, "cancel", e.Address, err)
	}
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return qm.Fail(qm.CodeEndpointFailed, "cancel", e.Address, err)
	}
	_ = pool.Drain(resp)
	if resp.StatusCode >= 300 && resp.StatusCode != http.StatusNotFound {
		return qm.Fail(qm.CodeEndpointFailed, "cancel", e.Address, errors.Errorf("status %d", resp.StatusCode))
	}
	return nil
}
