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

// Report is an engine's load report. It lags.
type Report struct {
	Incarnation qm.Incarnation
	Model       qm.ModelID
	Version     qm.VersionID
	Adapters    []qm.AdapterID
	Role        string
	qm.Load
	Leaving bool
}

// Events is a part of an engine's cache events.
type Events struct {
	Incarnation qm.Incarnation
	// Next is the sequence number to ask for next.
	Next int64
	// Gap tells that events between the asked one and the last one of Events are missing.
	Gap    bool
	Events []qm.CacheEvent
}

// Desired is the state that an engine shall take. Empty fields leave it as it is.
type Desired struct {
	// Fence is the fencing token. Engines that check it refuse a lower one than they have seen.
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

// Events returns at most limit cache events from a sequence number on. The first number of an incarnation is 1.
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

// SetDesired sends a command. An *Error with code Conflict means that the fencing token is stale.
func (c *Client) SetDesired(ctx context.Context, e *qm.Endpoint, d Desired) error {
	_, err := call[struct{}](ctx, c, e, "desire", http.MethodPut, "/v1/desired", d)
	return err
}

type (
	transfer struct {
		Salt   string
		Blocks []qm.PrefixKey
	}
	moved struct{ Blocks int }
)

// Export makes the engine write the leading blocks that it has to the cache store and returns their number.
func (c *Client) Export(ctx context.Context, e *qm.Endpoint, salt string, blocks []qm.PrefixKey) (int, error) {
	m, err := call[moved](ctx, c, e, "export", http.MethodPost, "/v1/kv/export", transfer{salt, blocks})
	return m.Blocks, err
}

// Import makes the engine read leading blocks from the cache store and returns their number.
func (c *Client) Import(ctx context.Context, e *qm.Endpoint, salt string, blocks []qm.PrefixKey) (int, error) {
	m, err := call[moved](ctx, c, e, "import", http.MethodPost, "/v1/kv/import", transfer{salt, blocks})
	return m.Blocks, err
}

// call sends one request and decodes its answer.
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
	resp, err := c.pooled.Do(req)
	if err != nil {
		return zero, qm.Fail(qm.CodeEndpointFailed, step, e.Address, err)
	}
	status := resp.StatusCode
	v, err := pool.Decode[T](resp)
	switch {
	case status == http.StatusConflict:
		return zero, qm.Refuse(qm.CodeConflict, step, "%v", err).WithPeer(e.Address)
	case err != nil:
		return zero, qm.Fail(qm.CodeEndpointFailed, step, e.Address, err)
	}
	return v, nil
}
