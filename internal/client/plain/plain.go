// Package plain is the HTTP client of plain services. It implements quetzalmount.ServiceClient and sends every call at most
// once.
package plain

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/ending"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/route/retry"
)

// Client calls any number of services. It is safe for concurrent use.
type Client struct {
	pool     *pool.Pool
	pooled   *http.Client
	unpooled *http.Client
	endings  *ending.Checker
}

var _ qm.ServiceClient = (*Client)(nil)

// New returns a Client with its own connection pool. lookup returns what is known of a service's process now, nil if it is not listed. A nil
// lookup knows none.
func New(opts pool.Options, lookup func(qm.EndpointID) *qm.Endpoint) *Client {
	p := pool.New(opts)
	// Following a redirect would send the call a second time.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		pool: p, pooled: &http.Client{Transport: p, CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: p.Unpooled(), CheckRedirect: noRedirect},
		endings:  ending.New(ending.Probe, lookup),
	}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.pool.Close()
	return nil
}

type fenceKey struct{}

// WithFence returns a context whose calls carry a fencing token, for services that refuse stale tokens.
func WithFence(ctx context.Context, token qm.Offset) context.Context {
	return context.WithValue(ctx, fenceKey{}, token)
}

// Call implements quetzalmount.ServiceClient. An *Error with outcome NotRun means that no byte was sent and that none will
// be; after any other error the call may have run. A response with the right request ID is a result, whatever its status.
//
// A non-repeatable call uses a new connection. The service could close a reused connection as idle just when the call is
// sent, which would leave the outcome unknown, and net/http would retry a call with an Idempotency-Key.
func (c *Client) Call(ctx context.Context, e *qm.Endpoint, op qm.OperationID, call *qm.Call) (int, json.RawMessage, error) {
	h := c.unpooled
	if call.Service.IsRepeatable(call.Name) {
		h = c.pooled
	}
	req, err := newCall(ctx, e, op, call)
	if err != nil {
		return 0, nil, qm.Refuse(qm.CodeTimeout, "call", "%v", err).WithPeer(e.Address)
	}
	status, body, err := c.roundTrip(h, req, "call", e, &pool.Trace{ID: string(call.Request)})
	if err != nil {
		qm.AsError(err).Operation = op
		return 0, nil, err
	}
	return status, toJSON(body), nil
}

func newCall(ctx context.Context, e *qm.Endpoint, op qm.OperationID, call *qm.Call) (*http.Request, error) {
	body := []byte(call.Body)
	if len(body) == 0 {
		body = []byte("null")
	}
	u := "http://" + e.Address + "/v1/calls/" + url.PathEscape(call.Name)
	// NopCloser hides the type of the reader, so that net/http cannot rewind the body and retry the call.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", string(call.Request))
	h.Set("X-Operation", string(op))
	if call.Key != "" {
		h.Set("Idempotency-Key", string(call.Team)+"/"+call.Key)
	}
	if token, ok := ctx.Value(fenceKey{}).(qm.Offset); ok {
		h.Set("X-Fence", strconv.FormatInt(int64(token), 10))
	}
	if err := retry.SetTimeoutHeader(ctx, req.Header); err != nil {
		return nil, err
	}
	return req, nil
}

// roundTrip sends req once and returns the status and body of the response if it carries the ID of the trace and is whole.
func (c *Client) roundTrip(h *http.Client, req *http.Request, step string, e *qm.Endpoint, trace *pool.Trace) (int, []byte, error) {
	ctx := req.Context()
	resp, err := h.Do(req.WithContext(trace.Context(ctx)))
	if err != nil {
		code := qm.CodeEndpointFailed
		if ctx.Err() != nil {
			code = qm.CodeTimeout
		}
		if !trace.Sent() {
			return 0, nil, qm.Refuse(code, step, "%v", err).WithPeer(e.Address).WithCause(err)
		}
		return 0, nil, qm.Fail(code, step, e.Address, err)
	}
	if got := resp.Header.Get("X-Request-Id"); got != trace.ID {
		trace.CloseConns()
		_ = resp.Body.Close()
		return 0, nil, qm.Fail(qm.CodeEndpointFailed, step, e.Address, errors.Wrapf(qm.ErrWrongRequest, "answer has id %q, want %q", got, trace.ID))
	}
	body, err := pool.ReadAll(resp, pool.EndpointBudget)
	if err == nil && ending.EndsWithConnection(resp) {
		err = c.endings.CheckAlive(ctx, e)
	}
	if err != nil {
		return 0, nil, qm.Fail(qm.CodeEndpointFailed, step, e.Address, err)
	}
	return resp.StatusCode, body, nil
}

// toJSON returns body if it is valid JSON, and otherwise encodes it as a JSON string.
func toJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	b, err := json.Marshal(string(body))
	if err != nil {
		return json.RawMessage("null")
	}
	return b
}

type operationStatus struct {
	State  string
	Status int
	Answer json.RawMessage
}

// Status implements quetzalmount.ServiceClient. It reports a running operation as found, with outcome Unknown.
func (c *Client) Status(ctx context.Context, e *qm.Endpoint, op qm.OperationID) (qm.CallResult, bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/v1/operations/"+url.PathEscape(string(op)), nil)
	if err != nil {
		return qm.CallResult{}, false, qm.Fail(qm.CodeInternal, "status", e.Address, err)
	}
	trace := &pool.Trace{ID: "status-" + pool.NewID(), Unique: true}
	req.Header.Set("X-Request-Id", trace.ID)
	status, body, err := c.roundTrip(c.pooled, req, "status", e, trace)
	if err != nil {
		return qm.CallResult{}, false, err
	}
	var o operationStatus
	if err := json.Unmarshal(body, &o); err != nil || status != http.StatusOK {
		return qm.CallResult{}, false, qm.Fail(qm.CodeEndpointFailed, "status", e.Address, errors.Errorf("status %d: %v", status, err))
	}
	switch o.State {
	case "Done":
		return qm.CallResult{Operation: op, Outcome: qm.OutcomeDone, Status: o.Status, Answer: o.Answer}, true, nil
	case "Running":
		return qm.CallResult{Operation: op, Outcome: qm.OutcomeUnknown}, true, nil
	}
	return qm.CallResult{Operation: op, Outcome: qm.OutcomeUnknown}, false, nil
}
