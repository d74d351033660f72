package engsrv

import (
	"context"
	"io"
	"net/http"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

// loadRetry is the wait before the engine asks the weight store again.
const loadRetry = 200 * time.Millisecond

// Desired is the body of PUT /v1/desired. Empty fields leave the state as it is.
type Desired struct {
	Fence    qm.Offset
	Version  qm.VersionID
	Adapters []qm.AdapterID
	Role     string
}

// desire applies a command. Weights are loaded in the background; the engine takes no requests meanwhile, and the streams
// that it has go on.
func (c *core) desire(d Desired) *refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opts.Fences && d.Fence < c.fence {
		return &refusal{409, 0, "stale fencing token"}
	}
	c.fence = max(c.fence, d.Fence)
	if d.Adapters != nil {
		c.adapters = d.Adapters
	}
	if d.Role != "" {
		c.role = d.Role
	}
	if d.Version == "" || (d.Version == c.version && c.loading == nil) {
		return nil
	}
	if c.loading != nil {
		c.loading()
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.loading = cancel
	c.wg.Go(func() {
		defer cancel()
		if !c.fetch(ctx, d.Version) {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if ctx.Err() == nil {
			c.version, c.loading = d.Version, nil
		}
	})
	return nil
}

// fetch takes the weights from the weight store until it has them, or LoadTime if there is no store.
func (c *core) fetch(ctx context.Context, v qm.VersionID) bool {
	if c.opts.Weights == "" {
		return serve.Sleep(ctx, c.opts.LoadTime)
	}
	url := "http://" + c.opts.Weights + "/v1/weights/" + string(c.opts.Model) + "/" + string(v)
	for ctx.Err() == nil {
		if get(ctx, url, io.Discard) == http.StatusOK {
			return true
		}
		serve.Sleep(ctx, loadRetry)
	}
	return false
}

// get copies the answer to w and returns its status, 0 if it was not complete.
func get(ctx context.Context, url string, w io.Writer) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(w, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
