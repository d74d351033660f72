package engsrv

import (
	"context"
	"io"
	"net/http"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

// loadRetryDelay is the delay before a failed download of weights is tried again.
const loadRetryDelay = 200 * time.Millisecond

// Desired is the body of PUT /v1/desired. Empty fields leave the state unchanged.
type Desired struct {
	Fence    qm.Offset
	Version  qm.VersionID
	Adapters []qm.AdapterID
	Role     string
}

// applyDesired applies a command. Weights are loaded in the background. Meanwhile the engine refuses new requests and
// continues its running streams.
func (c *core) applyDesired(d Desired) *requestError {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opts.Fences && d.Fence < c.fence {
		return &requestError{409, 0, "stale fencing token"}
	}
	c.fence = max(c.fence, d.Fence)
	if d.Adapters != nil {
		c.adapters = d.Adapters
	}
	if d.Role != "" {
		c.role = d.Role
	}
	if d.Version == "" || (d.Version == c.version && c.cancelLoad == nil) {
		return nil
	}
	if c.cancelLoad != nil {
		c.cancelLoad()
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.cancelLoad = cancel
	c.wg.Go(func() {
		defer cancel()
		if !c.fetchWeights(ctx, d.Version) {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if ctx.Err() == nil {
			c.version, c.cancelLoad = d.Version, nil
		}
	})
	return nil
}

// fetchWeights downloads the weights from the weight store, and retries until it succeeds or ctx ends. Without a weight
// store it waits for LoadTime. It reports whether the weights were loaded.
func (c *core) fetchWeights(ctx context.Context, v qm.VersionID) bool {
	if c.opts.WeightStore == "" {
		return serve.Sleep(ctx, c.opts.LoadTime)
	}
	url := "http://" + c.opts.WeightStore + "/v1/weights/" + string(c.opts.Model) + "/" + string(v)
	for ctx.Err() == nil {
		if httpGet(ctx, url, io.Discard) == http.StatusOK {
			return true
		}
		serve.Sleep(ctx, loadRetryDelay)
	}
	return false
}

// httpGet copies the response body to w and returns the status code, or 0 if the request failed or the body was incomplete.
func httpGet(ctx context.Context, url string, w io.Writer) int {
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
