// Package pool holds what the HTTP clients of outside systems share: connections of bounded age, a trace that tells
// whether any byte of a request was sent, and bounded reading of answers.
package pool

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// DefaultMaxAge bounds the age of pooled connections. Without a bound a connection outlives changes of routes and
	// addresses.
	DefaultMaxAge = time.Minute
	// DefaultConnectTimeout is well above the round trip between regions and below every request timeout.
	DefaultConnectTimeout = time.Second
	// probeTime is the time between probes of silent connections, the shortest that the system takes.
	probeTime = time.Second
	// DefaultIdlePerHost is the number of idle connections kept for one endpoint.
	DefaultIdlePerHost = 64
)

// Options of a Pool. Zero values mean the defaults.
type Options struct {
	MaxAge         time.Duration
	ConnectTimeout time.Duration
	IdlePerHost    int
	// IdleTime closes connections that were not used for this long; 0 means MaxAge.
	IdleTimeout time.Duration
	// SilentTime ends a connection whose peer acknowledges nothing for this long; 0 leaves it to the system, which takes minutes.
	TCPUserTimeout time.Duration
	// TLS is used for https addresses; nil means the defaults of net/http.
	TLS *tls.Config
}

// Pool is an http.RoundTripper whose pooled connections have a bounded age: after MaxAge it takes a new transport and
// lets the old one close its connections as they become idle.
type Pool struct {
	opts Options
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	fresh *http.Transport

	mu      sync.Mutex
	current *http.Transport
	born    time.Time
}

// New returns an empty pool.
func New(opts Options) *Pool {
	if opts.MaxAge <= 0 {
		opts.MaxAge = DefaultMaxAge
	}
	if opts.ConnectTimeout <= 0 {
		opts.ConnectTimeout = DefaultConnectTimeout
	}
	if opts.IdlePerHost <= 0 {
		opts.IdlePerHost = DefaultIdlePerHost
	}
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = opts.MaxAge
	}
	d := &net.Dialer{Timeout: opts.ConnectTimeout, Control: silentAfter(opts.TCPUserTimeout)}
	if opts.TCPUserTimeout > 0 {
		// Finds connections that something between the two ends has lost track of while an answer is waited for.
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeTime, Interval: probeTime, Count: 2}
	}
	p := &Pool{opts: opts}
	p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	p.fresh = p.transport()
	p.fresh.DisableKeepAlives = true
	return p
}

func (p *Pool) transport() *http.Transport {
	return &http.Transport{
		DialContext:         p.dial,
		MaxIdleConnsPerHost: p.opts.IdlePerHost,
		IdleConnTimeout:     p.opts.IdleTimeout,
		DisableCompression:  true,
		TLSClientConfig:     p.opts.TLS,
	}
}

// RoundTrip implements http.RoundTripper with pooled connections.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	return p.young().RoundTrip(r)
}

// Unpooled returns a transport that opens a new connection for each request. A connection that was never used cannot have
// been closed by the peer while idle, and net/http repeats no request that failed on one.
func (p *Pool) Unpooled() http.RoundTripper { return p.fresh }

// young returns the current transport, replaced if it is too old.
func (p *Pool) young() *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.current != nil && now.Sub(p.born) < p.opts.MaxAge {
		return p.current
	}
	if p.current != nil {
		// Connections in use are closed when their request ends, since CloseIdleConnections stays in force for a transport
		// that gets no new requests.
		p.current.CloseIdleConnections()
	}
	p.current, p.born = p.transport(), now
	return p.current
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		p.current.CloseIdleConnections()
	}
	p.fresh.CloseIdleConnections()
}

// Probe opens a connection to an endpoint and closes it.
func Probe(ctx context.Context, e *qm.Endpoint) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", e.Address)
	if err != nil {
		return errors.WithMessagef(err, "probe %s", e.ID)
	}
	return errors.WithMessage(c.Close(), "close probe")
}
