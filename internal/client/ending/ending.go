// Package ending decides whether a response that has neither a length nor chunks is whole.
//
// Such a response ends with its connection, and the connection of a process that is killed ends in the same way. The response counts as whole
// only if its process is known to have outlived it. What else is known of the endpoint, for example that it is leaving, proves nothing: an
// endpoint that leaves may also be gone before it has sent its last response.
package ending

import (
	"context"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
)

// EndsWithConnection reports whether the body of a response has neither a length nor chunks.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

const (
	// exitTime is the time within which a process that is killed closes all its sockets. The kernel closes them in any order, one after the other,
	// so that the listener may still accept connections when the last bytes of a response have arrived.
	exitTime = 50 * time.Millisecond
	// turnAwayTime is the time for which an endpoint must accept connections and end each of them at once to count as running: one with as many
	// connections as it takes does so. It leaves a process that is being killed several times exitTime.
	turnAwayTime = 10 * exitTime
	// firstProbeTimeout and probeTimeout limit the first probe of an endpoint and each further one. A connection request that was lost is repeated by
	// the kernel only after a second. probeTimeout covers the round trip between regions.
	firstProbeTimeout = exitTime + 100*time.Millisecond
	probeTimeout      = exitTime + 300*time.Millisecond
)

// errTurnedAway means that an endpoint accepted a connection and ended it at once.
var errTurnedAway = errors.New("connection ended")

// ProbeFunc returns nil if the process of an endpoint accepts connections and goes on running, and an error that wraps ECONNREFUSED if no
// process listens at its address. Other errors prove nothing.
type ProbeFunc func(context.Context, *qm.Endpoint) error

// Probe is the ProbeFunc for TCP. It opens a connection and waits for exitTime: a connection that a process has not accepted, or has accepted
// shortly before it was killed, ends within that time.
func Probe(ctx context.Context, e *qm.Endpoint) error {
	c, err := pool.Dial(ctx, e.Address)
	if errors.Is(err, syscall.ECONNRESET) {
		return errors.Wrapf(errTurnedAway, "probe %s: %v", e.ID, err)
	}
	if err != nil {
		return errors.WithMessagef(err, "probe %s", e.ID)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetReadDeadline(time.Now().Add(exitTime)); err != nil {
		return errors.WithMessagef(err, "probe %s", e.ID)
	}
	switch _, err := c.Read(make([]byte, 1)); {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	default:
		return errors.Wrapf(errTurnedAway, "probe %s: %v", e.ID, err)
	}
}

// Checker checks whether the processes of endpoints have outlived their responses. It is safe for concurrent use.
type Checker struct {
	probe  ProbeFunc
	lookup func(qm.EndpointID) *qm.Endpoint
}

// New returns a Checker. lookup returns what is known of an endpoint now, nil if it is not listed. A nil lookup knows none.
func New(probe ProbeFunc, lookup func(qm.EndpointID) *qm.Endpoint) *Checker {
	if lookup == nil {
		lookup = func(qm.EndpointID) *qm.Endpoint { return nil }
	}
	return &Checker{probe: probe, lookup: lookup}
}

// CheckAlive returns nil if the process that was seen as e still accepts connections. Call it after the end of a response from e. While the endpoint is
// silent, which a sound one may be too, CheckAlive asks again until ctx is done.
func (c *Checker) CheckAlive(ctx context.Context, e *qm.Endpoint) error {
	if err := c.connect(ctx, e); err != nil {
		return errors.WithMessagef(err, "endpoint %s may have ended before it had sent the whole response", e.ID)
	}
	// Another process at the same address accepts connections too.
	if known := c.lookup(e.ID); known != nil && e.Incarnation != "" && known.Incarnation != e.Incarnation {
		return errors.Errorf("endpoint %s has ended and started again: incarnation %s, want %s", e.ID, known.Incarnation, e.Incarnation)
	}
	return nil
}

// connect probes an endpoint until it accepts or refuses a connection, or ctx is done.
func (c *Checker) connect(ctx context.Context, e *qm.Endpoint) error {
	began, timeout := time.Now(), firstProbeTimeout
	for {
		probeCtx, cancel := context.WithTimeout(ctx, timeout)
		err := c.probe(probeCtx, e)
		answered := probeCtx.Err() == nil
		cancel()
		switch {
		case err == nil, errors.Is(err, syscall.ECONNREFUSED):
			return err
		case errors.Is(err, errTurnedAway) && time.Since(began) >= turnAwayTime:
			return nil
		case ctx.Err() != nil, answered && !period.Sleep(ctx, exitTime):
			return err
		}
		timeout = probeTimeout
	}
}
