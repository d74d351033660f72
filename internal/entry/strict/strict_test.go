package strict_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

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
