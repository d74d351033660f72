package strict_test

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/entry/strict"
)

// TestCheck guards against ambiguous heads that are accepted, and unambiguous ones that are refused.
func TestCheck(t *testing.T) {
	for name, tt := range map[string]struct {
		head string
		ok   bool
	}{
		"plain":              {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
		"length":             {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n", true},
		"chunked":            {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"both":               {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"length twice":       {"POST / HTTP/1.1\r\nContent-Length: 3\r\ncontent-length: 3\r\n\r\n", false},
		"bare line feed":     {"GET / HTTP/1.1\nHost: a\r\n\r\n", false},
		"bare return":        {"GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", false},
		"folded header":      {"GET / HTTP/1.1\r\nX: a\r\n b\r\n\r\n", false},
		"no end of the head": {"", false},
	} {
		if err := strict.Check([]byte(tt.head)); (err == nil) != tt.ok {
			t.Errorf("%s: Check() = %v, want ok = %v", name, err, tt.ok)
		}
	}
}

// TestKeptConnection guards against bytes of a request's body that are taken for the head of the next request on the same connection,
// whether or not the handler reads the body.
func TestKeptConnection(t *testing.T) {
	for _, read := range []bool{true, false} {
		t.Run(fmt.Sprint("read ", read), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{ConnContext: strict.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, end, err := strict.Begin(r)
				defer end()
				if err != nil {
					t.Errorf("request %s: %v", r.URL.Path, err)
				}
				if read {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				w.WriteHeader(http.StatusNoContent)
			})}
			go func() { _ = server.Serve(strict.Listener{Listener: l}) }()
			defer func() { _ = server.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			responses := bufio.NewReader(c)
			for i := range 5 {
				body := strings.Repeat("a\nb", 6000*i)
				if _, err := fmt.Fprintf(c, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", i, len(body), body); err != nil {
					t.Fatal(err)
				}
				resp, err := http.ReadResponse(responses, nil)
				if err != nil || resp.StatusCode != http.StatusNoContent {
					t.Fatalf("request %d: %v %v", i, resp, err)
				}
			}
		})
	}
}

// serve serves one connection that delivers text, a byte at a time if bytewise is set. It returns the requests that Begin accepted.
func serve(t *testing.T, text string, bytewise bool) (accepted []*http.Request) {
	t.Helper()
	closed := make(chan struct{})
	server := &http.Server{MaxHeaderBytes: 64 << 10, ConnContext: strict.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, end, err := strict.Begin(r)
		defer end()
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		accepted = append(accepted, r)
	}), ErrorLog: log.New(io.Discard, "", 0), ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			close(closed)
		}
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(strict.Listener{Listener: l})
	}()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	go func() { _, _ = io.Copy(io.Discard, client) }()
	step := len(text)
	if bytewise {
		step = 1
	}
	for i := 0; i < len(text); i += step {
		if _, err := io.WriteString(client, text[i:min(i+step, len(text))]); err != nil {
			break
		}
	}
	// Requests that were received are handled before the end of the connection is read.
	_ = client.(*net.TCPConn).CloseWrite()
	<-closed
	_ = server.Close()
	<-done
	return accepted
}

// TestHiddenHead guards against a request with an ambiguous body that is accepted because empty lines, which net/http skips, stand before its head, or
// because net/http ignores its encoding, so that a request inside its body runs.
func TestHiddenHead(t *testing.T) {
	const first = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
	const hidden = "POST /hidden HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nno"
	ambiguous := fmt.Sprintf("POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(hidden)+5, hidden)
	oldVersion := "POST /2 HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden
	sound := "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
	for _, tt := range []struct {
		name, text string
		want       int
	}{
		{"none", first + ambiguous, 1},
		{"one empty line", first + "\r\n" + ambiguous, 1},
		{"two empty lines", first + "\r\n\r\n" + ambiguous, 1},
		{"line feeds", first + "\n\n" + ambiguous, 1},
		{"old version", first + oldVersion, 1},
		{"old version behind empty lines", first + "\r\n\r\n" + oldVersion, 1},
		{"sound behind an empty line", first + "\r\n" + sound, 2},
		{"sound behind two empty lines", first + "\r\n\r\n" + sound, 2},
		{"sound", first + sound, 2},
	} {
		for _, bytewise := range []bool{false, true} {
			if got := serve(t, tt.text, bytewise); len(got) != tt.want {
				var lines []string
				for _, r := range got {
					lines = append(lines, r.Method+" "+r.RequestURI)
				}
				t.Errorf("%s, bytewise %v: requests %q were accepted, want %d", tt.name, bytewise, lines, tt.want)
			}
		}
	}
}

// TestBehindChunks guards against a request that is taken from behind a body in chunks that is still being read, where it can't be told from the
// body, and against the refusal of one that comes after the answer.
func TestBehindChunks(t *testing.T) {
	const chunks = "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
	const next = "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, end, err := strict.Begin(r)
		defer end()
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	server.Listener, server.Config.ConnContext = strict.Listener{Listener: server.Listener}, strict.ConnContext
	server.Start()
	defer server.Close()
	for name, tt := range map[string]struct {
		parts []string
		want  []int
	}{
		"at once":          {[]string{chunks + next}, []int{200, 400}},
		"after the answer": {[]string{chunks, next, chunks, next}, []int{200, 200, 200, 200}},
	} {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		responses := bufio.NewReader(c)
		for i, want := range tt.want {
			if i < len(tt.parts) {
				if _, err := io.WriteString(c, tt.parts[i]); err != nil {
					t.Fatal(err)
				}
			}
			resp, err := http.ReadResponse(responses, nil)
			if err != nil {
				t.Fatalf("%s: answer %d: %v", name, i, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if resp.StatusCode != want {
				t.Errorf("%s: answer %d has status %d, want %d", name, i, resp.StatusCode, want)
			}
		}
		_ = c.Close()
	}
}

// TestRequestAfterLargeAnswer guards against the loss of the first bytes of a request that comes after the response to one with a body in chunks, but before
// the handler has returned. A response that is larger than the server's buffers arrives before that.
func TestRequestAfterLargeAnswer(t *testing.T) {
	const first = "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n00\r\nTrailer: x\r\n\r\n"
	const next = "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
	sent := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, end, err := strict.Begin(r)
		defer end()
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/1" {
			<-sent
			// The server reads the first byte of the next request in the background.
			time.Sleep(100 * time.Millisecond)
		}
	}))
	server.Listener, server.Config.ConnContext = strict.Listener{Listener: server.Listener}, strict.ConnContext
	server.Start()
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	responses := bufio.NewReader(c)
	for i, text := range []string{first, next} {
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		if i > 0 {
			close(sent)
		}
		resp, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("request %d: status %d, %v", i+1, resp.StatusCode, err)
		}
	}
}

// FuzzHeads guards against a request that net/http parses in another way than Check, and that is accepted: its framing is ambiguous. Whatever is
// accepted must be the requests that a strict reading of the bytes from the start gives.
func FuzzHeads(f *testing.F) {
	const post = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
	f.Add(post + "\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + post)
	f.Add(post + "\n\r\n\n" + post + post)
	f.Add(post + "GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" + post)
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n" + post)
	f.Add("GET / HTTP/1.1\nHost: a\n\n" + post)
	f.Fuzz(func(t *testing.T, text string) {
		if len(text) > 1<<10 {
			return
		}
		rest := text
		for i, r := range serve(t, text, false) {
			var ok bool
			if rest, ok = skipRequest(rest, r); !ok {
				t.Fatalf("request %d, %s %s, was accepted, and is not at the start of %q", i, r.Method, r.RequestURI, rest)
			}
		}
	})
}

// skipRequest returns the text behind a request, and whether the text begins with it, behind empty lines, with one length or encoding at most.
func skipRequest(text string, r *http.Request) (rest string, ok bool) {
	text = strings.TrimLeft(text, "\r\n")
	head, rest, found := strings.Cut(text, "\r\n\r\n")
	if !found || !strings.HasPrefix(head, r.Method+" "+r.RequestURI+" "+r.Proto) {
		return text, false
	}
	lower := strings.ToLower(head)
	chunked := strings.Count(lower, "\r\ntransfer-encoding:")
	if strings.Count(lower, "\r\ncontent-length:")+chunked > 1 || chunked > 0 && r.Proto == "HTTP/1.0" {
		return text, false
	}
	if chunked > 0 {
		// Nothing may be accepted behind a body in chunks that came with it.
		return "", true
	}
	return rest[min(max(r.ContentLength, 0), int64(len(rest))):], true
}

// TestLongHead guards against a head that net/http accepts and that is refused as ambiguous, not for its length, because its end was not retained.
func TestLongHead(t *testing.T) {
	filler := strings.Repeat("X-Filler: "+strings.Repeat("x", 1000)+"\r\n", 66)
	got := serve(t, "GET /1 HTTP/1.1\r\nHost: a\r\n"+filler+"\r\n", false)
	if len(got) != 1 {
		t.Errorf("a head of %d bytes was not accepted", len(filler))
	}
}
