package pool_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/standin/flood"
)

// TestEndlessResponse guards against a server that sends bytes that are no response without end: a client that reads on until its timeout
// needs more memory than an instance has.
func TestEndlessResponse(t *testing.T) {
	line := "X-Filler: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n"
	// socketBuffers is what the kernel may take from the server beyond what the client reads.
	const socketBuffers = 16 << 20
	for _, tt := range []struct{ name, head, more string }{
		{"status line", "", "0123456789abcdef"},
		{"head", "HTTP/1.1 200 OK\r\n", line},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body until close", "HTTP/1.1 200 OK\r\n\r\n", line},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10;", "0123456789abcdef"},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", line},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, err := flood.New(tt.head, tt.more)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			p := pool.New(pool.Options{})
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address(), nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := p.RoundTrip(req)
			if err == nil {
				_, err = pool.ReadAll(resp)
			}
			if err == nil || ctx.Err() != nil {
				t.Errorf("error %v, timeout %v, want an error before the timeout", err, ctx.Err())
			}
			if n := s.Sent(); n > pool.MaxResponseBytes+socketBuffers {
				t.Errorf("the client took %d bytes", n)
			}
		})
	}
}

// stalledBody is a body that delivers size bytes and then blocks until it is closed.
type stalledBody struct {
	size   int
	read   atomic.Int64
	closed chan struct{}
	once   sync.Once
}

func (b *stalledBody) Read(p []byte) (int, error) {
	n := min(len(p), b.size-int(b.read.Load()))
	if n == 0 {
		<-b.closed
		return 0, io.ErrUnexpectedEOF
	}
	b.read.Add(int64(n))
	return n, nil
}

func (b *stalledBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// TestLargeBodies guards against large responses of many endpoints at a time, which together need more memory than an instance has.
func TestLargeBodies(t *testing.T) {
	const bodies, size, settleTime = 50, 4 << 20, 500 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	var all []*stalledBody
	var wg sync.WaitGroup
	for range bodies {
		b := &stalledBody{size: size, closed: make(chan struct{})}
		all = append(all, b)
		wg.Go(func() { _, _ = pool.ReadBody(ctx, b) })
	}
	time.Sleep(settleTime)
	var total int64
	for _, b := range all {
		total += b.read.Load()
	}
	if limit := int64(2*size + bodies*(256<<10)); total > limit {
		t.Errorf("%d bytes of %d bodies are in memory, want at most %d", total, bodies, limit)
	}
	cancel()
	for _, b := range all {
		_ = b.Close()
	}
	wg.Wait()
	if _, err := pool.ReadBody(t.Context(), io.NopCloser(io.LimitReader(zeros{}, size))); err != nil {
		t.Errorf("a large body after the others have ended: %v", err)
	}
}

// zeros is an endless reader of zeros.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
