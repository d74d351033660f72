// Package logsvc is the HTTP client of the platform's log service. It implements quetzalmount.Log.
package logsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/client/reach"
)

// Client reads and appends records of one log service.
type Client struct {
	addr  string
	opts  pool.Options
	reach *reach.Tracker

	mu       sync.Mutex
	sessions []*session
	// idle holds the sessions that make no call.
	idle map[sessionKey][]*session
}

var _ qm.Log = (*Client)(nil)

// New returns a client of the log service at addr (host:port).
func New(addr string, opts pool.Options) *Client {
	return &Client{addr: addr, opts: opts, reach: reach.New(), idle: map[sessionKey][]*session{}}
}

type (
	newRecord      struct{ Data []byte }
	appendRequest  struct{ Records []newRecord }
	appendResponse struct{ First, Last qm.Offset }
)

func (c *Client) url(stream qm.StreamID) string {
	return "http://" + c.addr + "/v1/streams/" + url.PathEscape(string(stream)) + "/records"
}

// Append implements quetzalmount.Log. The error wraps quetzalmount.ErrNotAppended if no byte of the request was sent or the
// service refused it; after any other error the records may have been appended.
func (c *Client) Append(ctx context.Context, stream qm.StreamID, records [][]byte) (qm.Offset, error) {
	in := appendRequest{Records: make([]newRecord, len(records))}
	for i, r := range records {
		in.Records[i].Data = r
	}
	body, err := json.Marshal(in)
	if err != nil {
		return 0, c.notAppended(stream, err.Error())
	}
	var trace pool.Trace
	// NopCloser hides the type of the reader, so that net/http cannot rewind the body and retry the append.
	req, err := http.NewRequestWithContext(trace.Context(ctx), http.MethodPost, c.url(stream), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return 0, c.notAppended(stream, err.Error())
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	key := sessionKey{stream, true}
	s := c.begin(key)
	defer c.end(key, s)
	resp, end, err := c.do(s, req, false)
	defer end()
	if err != nil {
		if !trace.Sent() {
			return 0, c.notAppended(stream, err.Error())
		}
		return 0, errors.Wrapf(err, "append to %s at %s", stream, c.addr)
	}
	first, err := c.firstOffset(s, &trace, stream, resp, len(records))
	if err != nil {
		s.closeConns(&trace)
	}
	return first, err
}

// firstOffset returns the offset of the first of the n records of an append, or an error by the status of the response.
func (c *Client) firstOffset(s *session, trace *pool.Trace, stream qm.StreamID, resp *http.Response, n int) (qm.Offset, error) {
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusNotFound:
		status := resp.StatusCode
		_ = pool.Drain(resp)
		return 0, c.notAppended(stream, fmt.Sprintf("status %d", status))
	}
	a, err := pool.Decode[appendResponse](resp, pool.ControlBudget)
	if err == nil && (a.First < 1 || a.Last != a.First+qm.Offset(n)-1) {
		err = errors.Errorf("offsets %d to %d for %d records", a.First, a.Last, n)
	}
	if err == nil {
		err = s.acceptAppend(trace, a.First, a.Last)
	}
	if err != nil {
		return 0, errors.Wrapf(err, "append to %s at %s", stream, c.addr)
	}
	return a.First, nil
}

func (c *Client) notAppended(stream qm.StreamID, reason string) error {
	return errors.Wrapf(qm.ErrNotAppended, "append to %s at %s: %s", stream, c.addr, reason)
}

// Read implements quetzalmount.Log.
func (c *Client) Read(ctx context.Context, stream qm.StreamID, from qm.Offset, limit int, wait time.Duration) (qm.Batch, error) {
	q := fmt.Sprintf("%s?from=%d&max=%d&wait=%d", c.url(stream), from, limit, wait.Milliseconds())
	var trace pool.Trace
	req, err := http.NewRequestWithContext(trace.Context(ctx), http.MethodGet, q, nil)
	if err != nil {
		return qm.Batch{}, errors.Wrapf(err, "read %s at %s", stream, c.addr)
	}
	key := sessionKey{stream, false}
	s := c.begin(key)
	defer c.end(key, s)
	resp, end, err := c.do(s, req, true)
	defer end()
	if err != nil {
		return qm.Batch{}, errors.Wrapf(err, "read %s at %s", stream, c.addr)
	}
	body, err := pool.ReadAll(resp, pool.ControlBudget)
	if err != nil {
		return qm.Batch{}, errors.Wrapf(err, "read %s at %s", stream, c.addr)
	}
	if resp.StatusCode != http.StatusOK {
		return qm.Batch{}, errors.Errorf("read %s at %s: status %d", stream, c.addr, resp.StatusCode)
	}
	b, err := decodeBatch(body, from)
	if err == nil {
		err = s.acceptRead(&trace, b.NextOffset)
	}
	if err != nil {
		s.closeConns(&trace)
		return qm.Batch{}, errors.Wrapf(err, "read %s at %s", stream, c.addr)
	}
	return b, nil
}

// do sends a request. The caller reads the response and then calls end. A repeatable request that waits while another one finds the log
// reachable again ends with reach.ErrStale.
func (c *Client) do(s *session, req *http.Request, repeatable bool) (resp *http.Response, end func(), err error) {
	ctx, call := c.reach.Begin(req.Context(), repeatable)
	resp, err = s.http.Do(req.WithContext(ctx))
	switch cause := context.Cause(ctx); {
	case err == nil && resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests:
		call.Answered()
	case err == nil:
		call.Failed()
	case errors.Is(cause, reach.ErrStale):
		err = cause
	case !errors.Is(cause, context.Canceled):
		call.Failed()
		// Idle connections may have gone silent with this one.
		c.closeIdle()
	}
	return resp, call.Close, err
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.closeIdle()
	return nil
}
