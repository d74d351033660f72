package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// Report is an engine's load report. It lags behind the engine's state.
type Report struct {
	Incarnation qm.Incarnation
	Model       qm.ModelID
	Version     qm.VersionID
	Adapters    []qm.AdapterID
	Role        string
	qm.Load
	Leaving bool
}

// Events is a page of an engine's cache events.
type Events struct {
	Incarnation qm.Incarnation
	// Next is the sequence number at which the next page starts.
	Next int64
	// Gap reports whether events between the requested sequence number and Next are missing.
	Gap    bool
	Events []qm.CacheEvent
}

// Desired is the state that an engine is to reach. Empty fields leave the engine's state unchanged.
type Desired struct {
	// Fence is the fencing token. Engines that support fencing refuse a token lower than the highest that they have seen.
	Fence    qm.Offset
	Version  qm.VersionID
	Adapters []qm.AdapterID
	Role     string
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context, e *qm.Endpoint) (Report, error) {
	return call[Report](ctx, c, e, "load", http.MethodGet, "/v1/load", nil)
}

type wireEvents struct {
	Incarnation qm.Incarnation
	First, Next int64
	Events      []struct {
		Seq   int64
		Kind  string
		Block qm.PrefixKey
	}
}

// Events returns at most limit cache events, starting at sequence number from. The first event of an incarnation has
// number 1.
func (c *Client) Events(ctx context.Context, e *qm.Endpoint, from int64, limit int) (Events, error) {
	w, err := call[wireEvents](ctx, c, e, "events", http.MethodGet, fmt.Sprintf("/v1/events?from=%d&max=%d", from, limit), nil)
	if err != nil {
		return Events{}, err
	}
	out := Events{Incarnation: w.Incarnation, Next: max(w.Next, from)}
	want := from
	for _, v := range w.Events {
		if v.Seq < want {
			return Events{}, qm.Fail(qm.CodeEndpointFailed, "events", e.Address, errors.Errorf("event %d after %d", v.Seq, want-1))
		}
		out.Gap = out.Gap || v.Seq > want
		want = v.Seq + 1
		out.Events = append(out.Events, qm.CacheEvent{Seq: v.Seq, Stored: v.Kind == "Stored", Block: v.Block})
	}
	out.Gap = out.Gap || out.Next > want
	return out, nil
}

// SetDesired sends the desired state to an engine. It returns an *Error with code Conflict if the fencing token is stale.
func (c *Client) SetDesired(ctx context.Context, e *qm.Endpoint, d Desired) error {
	_, err := call[struct{}](ctx, c, e, "desire", http.MethodPut, "/v1/desired", d)
	return err
}

type (
	transferRequest struct {
		Salt   string
		Blocks []qm.PrefixKey
	}
	transferResponse struct{ Blocks int }
)

// Export makes the engine copy the longest prefix of blocks that it has cached to the cache store, and returns the number of
// blocks copied.
func (c *Client) Export(ctx context.Context, e *qm.Endpoint, salt string, blocks []qm.PrefixKey) (int, error) {
	m, err := call[transferResponse](ctx, c, e, "export", http.MethodPost, "/v1/kv/export", transferRequest{salt, blocks})
	return m.Blocks, err
}

// Import makes the engine load the longest prefix of blocks that the cache store has, and returns the number of blocks
// loaded.
func (c *Client) Import(ctx context.Context, e *qm.Endpoint, salt string, blocks []qm.PrefixKey) (int, error) {
	m, err := call[transferResponse](ctx, c, e, "import", http.MethodPost, "/v1/kv/import", transferRequest{salt, blocks})
	return m.Blocks, err
}

// call sends a request with in as its JSON body, if not nil, and decodes the JSON response. The request has an ID of its own, so that the
// response to an earlier one on the same connection is not taken for its response.
func call[T any](ctx context.Context, c *Client, e *qm.Endpoint, step, method, path string, in any) (T, error) {
	var zero T
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return zero, qm.Fail(qm.CodeInternal, step, e.Address, err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+path, bytes.NewReader(body))
	if err != nil {
		return zero, qm.Fail(qm.CodeInternal, step, e.Address, err)
	}
	trace := &pool.Trace{ID: pool.NewID(), Unique: true}
	req.Header.Set("X-Request-Id", trace.ID)
	resp, err := c.pooled.Do(req.WithContext(trace.Context(ctx)))
	if err != nil {
		return zero, qm.Fail(qm.CodeEndpointFailed, step, e.Address, err)
	}
	if err := trace.CheckID(resp.Header.Get("X-Request-Id")); err != nil {
		_ = resp.Body.Close()
		return zero, qm.Fail(qm.CodeEndpointFailed, step, e.Address, err)
	}
	status := resp.StatusCode
	v, err := pool.Decode[T](resp, pool.EndpointBudget)
	switch {
	case status == http.StatusConflict:
		return zero, qm.Refuse(qm.CodeConflict, step, "%v", err).WithPeer(e.Address)
	case err != nil:
		return zero, qm.Fail(qm.CodeEndpointFailed, step, e.Address, err)
	}
	return v, nil
}
