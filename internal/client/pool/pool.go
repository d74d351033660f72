// Package pool has the common parts of the HTTP clients: a connection pool that limits the age of connections, a trace
// that reports whether any byte of a request was sent, and functions that read responses of limited size.
package pool

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/supply"
)

const (
	// DefaultMaxAge limits the age of pooled connections, so that they follow changes of routes and addresses.
	DefaultMaxAge = time.Minute
	// DefaultConnectTimeout is well above the round trip between regions and below every request timeout.
	DefaultConnectTimeout = time.Second
	// keepAliveInterval is the time between TCP keep-alive probes. It is the shortest interval that the kernel accepts.
	keepAliveInterval = time.Second
	// maxHeadBytes limits the head of a response. Heads are read by net/http, outside of any Budget and any number at the same time.
	maxHeadBytes = 16 << 10
	// DefaultIdlePerHost is the maximum number of idle connections per endpoint.
	DefaultIdlePerHost = 64
)

// Options configures a Pool. Zero values select the defaults.
type Options struct {
	MaxAge         time.Duration
	ConnectTimeout time.Duration
	IdlePerHost    int
	// IdleTimeout is the time after which an unused connection is closed; 0 means MaxAge.
	IdleTimeout time.Duration
	// TCPUserTimeout is the time after which the kernel closes a connection whose other end acknowledges neither data nor keep-alive probes, or keeps its
	// receive window closed; 0 means the kernel's default, which is several minutes.
	TCPUserTimeout time.Duration
	// ResetOnClose resets connections instead of closing them in order. Bytes of a cancelled request that a network partition holds up
	// are lost then; otherwise they arrive when it ends, and the request takes effect although its sender has given up.
	ResetOnClose bool
	// TLS is the configuration for https URLs; nil means the defaults of net/http.
	TLS *tls.Config
}

// Pool is an http.RoundTripper that limits the age of its pooled connections: after MaxAge it creates a new transport,
// and the old one closes its connections as they become idle.
type Pool struct {
	opts Options
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	unpooled *http.Transport

	mu      sync.Mutex
	current *generation
}

// generation holds the transports for the connections that a Pool opens within MaxAge.
//
// A server may write a response more than once, and its ID tells a copy from the response to a later request only if the two requests have
// different IDs. So no connection carries an ID twice: a request that was sent to the same address n times before uses transports[n].
type generation struct {
	transports [maxPooledSends]*http.Transport
	createdAt  time.Time
	// sends counts the requests with an ID by the hash of the ID and the address.
	sends map[uint64]int
}

// maxPooledSends is the number of times that requests with the same ID are sent to an address over pooled connections. Each further one has
// a connection of its own.
const maxPooledSends = 16

// maxCountedSends limits the requests that a generation counts. A router at the target size (5,200 requests/s, 420 nodes) sends about 750
// requests in a minute, the default of MaxAge.
const maxCountedSends = 1 << 15

// recordSend counts a request whose Trace has an ID, and returns the number of earlier ones with the same ID to the same address.
func (g *generation) recordSend(r *http.Request) int {
	t := traceOf(r.Context())
	if t == nil || t.ID == "" || t.Unique {
		return 0
	}
	key := xxhash.Sum64String(r.URL.Host + " " + t.ID)
	n := g.sends[key]
	g.sends[key] = n + 1
	t.setSentBefore(n)
	return n
}

// New returns a pool without connections.
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
	d := &net.Dialer{Timeout: opts.ConnectTimeout, Control: userTimeoutControl(opts.TCPUserTimeout)}
	if opts.TCPUserTimeout > 0 {
		// Detects connections whose state a middlebox (NAT, load balancer) has lost while a response is awaited: without
		// unacknowledged data the TCP user timeout alone does not close them.
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2}
	}
	p := &Pool{opts: opts}
	p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialBounded(ctx, d, network, addr)
		if err != nil {
			return nil, err
		}
		if t, ok := c.(*net.TCPConn); ok && opts.ResetOnClose {
			if err := t.SetLinger(0); err != nil {
				_ = t.Close()
				supply.Sockets.Return(1)
				return nil, errors.Wrap(err, "set linger")
			}
		}
		return newConn(c), nil
	}
	p.unpooled = p.newTransport()
	p.unpooled.DisableKeepAlives = true
	return p
}

// dialBounded opens a connection that takes one of the sockets of the process. The caller returns it when the connection is closed. If the process has no
// descriptor left, a connection of a client gives way.
func dialBounded(ctx context.Context, d *net.Dialer, network, addr string) (net.Conn, error) {
	if err := supply.Sockets.Take(1); err != nil {
		return nil, err
	}
	c, err := d.DialContext(ctx, network, addr)
	if supply.IsExhausted(err) && supply.Sockets.Evict() {
		c, err = d.DialContext(ctx, network, addr)
	}
	if err != nil {
		supply.Sockets.Return(1)
	}
	return c, err
}

// Dial opens a TCP connection outside of any Pool. It takes one of the sockets of the process until it is closed.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := dialBounded(ctx, &net.Dialer{}, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

func (p *Pool) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            p.dial,
		MaxIdleConnsPerHost:    p.opts.IdlePerHost,
		IdleConnTimeout:        p.opts.IdleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
		TLSClientConfig:        p.opts.TLS,
	}
}

// RoundTrip implements http.RoundTripper over pooled connections.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	return send(p.transportFor(r), r)
}

// Unpooled returns a transport that opens a new connection for each request. The peer cannot have closed a new connection
// as idle, and net/http does not retry a request that failed on one.
func (p *Pool) Unpooled() http.RoundTripper { return unpooled{p} }

// unpooled is the transport that Unpooled returns. It counts sends like the pool, for Trace.SentBefore.
type unpooled struct{ pool *Pool }

// RoundTrip implements http.RoundTripper.
func (u unpooled) RoundTrip(r *http.Request) (*http.Response, error) {
	u.pool.mu.Lock()
	u.pool.currentGeneration().recordSend(r)
	u.pool.mu.Unlock()
	return send(u.pool.unpooled, r)
}

// transportFor returns the transport for a request.
func (p *Pool) transportFor(r *http.Request) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.currentGeneration()
	before := g.recordSend(r)
	if before >= maxPooledSends {
		return p.unpooled
	}
	if g.transports[before] == nil {
		g.transports[before] = p.newTransport()
	}
	return g.transports[before]
}

// currentGeneration returns the generation for new requests. The caller holds p.mu.
func (p *Pool) currentGeneration() *generation {
	now := time.Now()
	if p.current != nil && now.Sub(p.current.createdAt) < p.opts.MaxAge && len(p.current.sends) < maxCountedSends {
		return p.current
	}
	if p.current != nil {
		// After closeIdle a transport without new requests keeps no connection alive, so those in use are closed when their
		// requests end.
		p.current.closeIdle()
	}
	p.current = &generation{createdAt: now, sends: map[uint64]int{}}
	return p.current
}

// closeIdle closes idle connections.
func (g *generation) closeIdle() {
	for _, t := range g.transports {
		if t != nil {
			t.CloseIdleConnections()
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		p.current.closeIdle()
	}
	p.unpooled.CloseIdleConnections()
}

// Probe checks that an endpoint accepts TCP connections.
func Probe(ctx context.Context, e *qm.Endpoint) error {
	c, err := Dial(ctx, e.Address)
	if err != nil {
		return errors.WithMessagef(err, "probe %s", e.ID)
	}
	return errors.WithMessage(c.Close(), "close probe")
}
