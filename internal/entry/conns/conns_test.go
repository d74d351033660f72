package conns_test

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/entry/conns"
)

// ExampleVictim shows who is closed first.
func ExampleVictim() {
	at := time.Unix(0, 0)
	states := []conns.State{
		{Serving: true, Since: at},
		{Since: at.Add(time.Second)},
		{IsNew: true, Since: at.Add(3 * time.Second)},
		{IsNew: true, HeadMemory: 700, Since: at.Add(2 * time.Second)},
	}
	for range 3 {
		i, ok := conns.Victim(states)
		fmt.Println(i, ok)
		states[i].Serving = true
	}
	fmt.Println(conns.Victim(states))
	// Output:
	// 3 true
	// 2 true
	// 1 true
	// -1 false
}

// start serves with a table on loopback and returns the address.
func start(t *testing.T, opts conns.Options, most int, handler http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := conns.New(opts)
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	table.Serve(s)
	go func() { _ = s.Serve(table.Wrap(l, "test", most, false)) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func dial(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// expect reads a response with a status.
func expect(t *testing.T, in *bufio.Reader, status int) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != status {
		t.Fatalf("response %v, %v, want status %d", resp, err, status)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
}

// TestConnectionsInUse guards against a connection with a request in progress that is closed for a crowd, and against a crowd that keeps a new caller out.
func TestConnectionsInUse(t *testing.T) {
	release := make(chan struct{})
	address := start(t, conns.Options{}, 4, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	}))
	_, slow := dial(t, address, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	_, kept := dial(t, address, request)
	expect(t, kept, 200)
	for range 50 {
		dial(t, address, "GET / HTTP/1.1\r\n")
	}
	_, in := dial(t, address, request)
	expect(t, in, 200)
	close(release)
	expect(t, slow, 200)
}

// TestHeadMemory guards against heads that take more than they may together, and against an ordinary request that is refused because of them.
func TestHeadMemory(t *testing.T) {
	address := start(t, conns.Options{HeadMemory: 1 << 20, MaxHeadBytes: func() int { return 64 << 10 }}, 0,
		http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	var crowd []net.Conn
	for range 8 {
		c, _ := dial(t, address, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 5000))
		crowd = append(crowd, c)
	}
	_, in := dial(t, address, request)
	expect(t, in, 200)
	closed := 0
	for _, c := range crowd {
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			closed++
		}
	}
	if closed == 0 {
		t.Error("no connection of eight heads of 300 KB was closed for a bound of 1 MB")
	}
}

// TestHeadTooLarge guards against a head that is read on beyond twice what is accepted.
func TestHeadTooLarge(t *testing.T) {
	address := start(t, conns.Options{MaxHeadBytes: func() int { return 16 << 10 }}, 0, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	_, in := dial(t, address, "GET / HTTP/1.1\r\na: "+strings.Repeat("x", 33<<10))
	resp, err := http.ReadResponse(in, nil)
	if err == nil && resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431 or a closed connection", resp.StatusCode)
	}
	_, in = dial(t, address, "GET / HTTP/1.1\r\nHost: x\r\na: "+strings.Repeat("x", 15<<10)+"\r\n\r\n")
	expect(t, in, 200)
}

// exhaustedListener fails once as if the process had no descriptor left.
type exhaustedListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServerOutlivesExhaustion guards against a server that ends since the process had no descriptor for a connection.
func TestServerOutlivesExhaustion(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := conns.New(conns.Options{})
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ErrorLog: log.New(io.Discard, "", 0)}
	table.Serve(s)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(table.Wrap(&exhaustedListener{Listener: l}, "test", 0, false)) }()
	_, in := dial(t, l.Addr().String(), request)
	expect(t, in, 200)
	_ = s.Close()
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("the server ended: %v", err)
	}
}

// TestNoResponseToClosedHead guards against status 400, after which callers don't repeat a request, on a connection that is closed since heads take too much
// memory.
func TestNoResponseToClosedHead(t *testing.T) {
	address := start(t, conns.Options{HeadMemory: 64 << 10, MaxHeadBytes: func() int { return 1 << 20 }}, 0,
		http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	c, in := dial(t, address, "GET / HTTP/1.1\r\n")
	_, _ = io.WriteString(c, strings.Repeat("a:\r\n", 20_000))
	if resp, err := http.ReadResponse(in, nil); err == nil {
		t.Errorf("status %d, want a closed connection", resp.StatusCode)
	}
}

// TestClosedRequestIsNotRun guards against a request that runs although its connection was closed to make room: its handler must not get the whole body.
func TestClosedRequestIsNotRun(t *testing.T) {
	const longerThanFresh = 1100 * time.Millisecond
	entered, proceed, result := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	address := start(t, conns.Options{}, 1, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			return
		}
		close(entered)
		<-proceed
		_, err := io.ReadAll(r.Body)
		result <- err
	}))
	dial(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi")
	<-entered
	time.Sleep(longerThanFresh)
	_, in := dial(t, address, request)
	expect(t, in, 200)
	close(proceed)
	if err := <-result; err == nil {
		t.Error("the handler read the whole body of a request whose connection was closed")
	}
}

// TestTimeouts guards against a client that holds a connection by a head, a body or a response that takes longer than it may, or by no request at all.
func TestTimeouts(t *testing.T) {
	const timeout = 200 * time.Millisecond
	limit := func() time.Duration { return timeout }
	opts := conns.Options{HeadTimeout: limit, IdleTimeout: limit, BodyTimeout: timeout, WriteTimeout: timeout}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table, closed := conns.New(opts), make(chan struct{}, 10)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, 64<<20))
		}
	})}
	table.Serve(s)
	connState := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		connState(c, state)
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}
	go func() { _ = s.Serve(table.Wrap(l, "test", 0, false)) }()
	t.Cleanup(func() { _ = s.Close() })
	for name, text := range map[string]string{
		"new": "", "head": "GET / HTTP/1.1\r\n", "idle": request, "body": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nh",
		"next head": request + "GET /", "response": "GET /large HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		dial(t, l.Addr().String(), text)
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Errorf("%s: the connection is still open after 10 s, want %v", name, timeout)
		}
	}
}
