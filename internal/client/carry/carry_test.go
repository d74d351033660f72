package carry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/carry"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// codec carries the request ID in the header Id.
type codec struct{}

func (codec) Prepare(h http.Header, x *qm.Exchange, _ *qm.ExchangeAttempt) error {
	h.Set("Id", string(x.Request))
	return nil
}

func (codec) Check(x *qm.Exchange, _ *qm.ExchangeAttempt, resp *http.Response, _ bool) (qm.VersionID, error) {
	switch {
	case resp.Header.Get("Id") != string(x.Request):
		return "", errors.New("foreign")
	case resp.StatusCode == http.StatusServiceUnavailable:
		return "", qm.Refuse(qm.CodeEndpointFull, "send", "full")
	}
	return "", nil
}

func (codec) Notice(*qm.Exchange, *http.Response, bool) carry.Notice { return carry.Notice{} }

func send(t *testing.T, c *carry.Client, address string, kind qm.ExchangeKind, id qm.RequestID, body string) (string, error) {
	t.Helper()
	target, err := url.Parse("/a%2Fb/c?d=e%20f&g")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a, err := c.Send(ctx, &qm.Exchange{
		Request: id, Route: &qm.Route{Kind: kind}, Method: http.MethodPost, Host: "caller.example", Target: target,
		Header: http.Header{"X": {"1", "2"}}, Body: []byte(body),
	}, qm.ExchangeAttempt{Endpoint: &qm.Endpoint{ID: "e", Address: address}})
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	return string(text), err
}

// TestForwardedUnmodified checks that the method, target, host, headers and body reach the endpoint unmodified.
func TestForwardedUnmodified(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = fmt.Fprintf(w, "%s %s %s %v %q %s", r.Method, r.RequestURI, r.Host, r.Header["X"], r.UserAgent(), body)
	}))
	defer s.Close()
	c := carry.New(codec{}, nil, pool.Options{})
	defer c.Close()
	got, err := send(t, c, s.Listener.Addr().String(), qm.Streaming, "r1", "the body")
	want := `POST /a%2Fb/c?d=e%20f&g caller.example [1 2] "" the body`
	if err != nil || got != want {
		t.Errorf("the endpoint got %q (%v), want %q", got, err, want)
	}
}

// TestErrors checks that the outcome is NotRun exactly if the endpoint cannot have run the request, and Unknown otherwise.
func TestErrors(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unusedAddress := closed.Addr().String()
	_ = closed.Close()
	for name, tt := range map[string]struct {
		answer      string // empty if the endpoint closes the connection without a response
		unreachable bool
		code        qm.Code
		want        qm.Outcome
	}{
		"connection refused": {unreachable: true, code: qm.CodeEndpointUnreached, want: qm.OutcomeNotRun},
		"refusal":            {answer: "HTTP/1.1 503 No\r\nId: r1\r\nContent-Length: 0\r\n\r\n", code: qm.CodeEndpointFull, want: qm.OutcomeNotRun},
		"foreign refusal":    {answer: "HTTP/1.1 503 No\r\nId: r2\r\nContent-Length: 0\r\n\r\n", code: qm.CodeEndpointFailed, want: qm.OutcomeUnknown},
		"foreign answer":     {answer: "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 0\r\n\r\n", code: qm.CodeEndpointFailed, want: qm.OutcomeUnknown},
		"malformed response": {answer: "garbage\r\n\r\n", code: qm.CodeEndpointFailed, want: qm.OutcomeUnknown},
		"closed":             {code: qm.CodeEndpointFailed, want: qm.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			address := unusedAddress
			if !tt.unreachable {
				address = newEndpoint(t, tt.answer)
			}
			c := carry.New(codec{}, nil, pool.Options{})
			defer c.Close()
			_, err := send(t, c, address, qm.NonIdempotent, "r1", "body")
			var e *qm.Error
			if !errors.As(err, &e) || e.Code != tt.code || e.Outcome != tt.want {
				t.Errorf("Send() = %v, want code %s and outcome %s", err, tt.code, tt.want)
			}
		})
	}
}

// TestLateAnswer guards against a duplicate response to an earlier request that is left on a pooled connection and then
// returned for the next request.
func TestLateAnswer(t *testing.T) {
	responseFormat := "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\n%s"
	address := newEndpoint(t, fmt.Sprintf(responseFormat, "r1", "r1")+fmt.Sprintf(responseFormat, "r1", "r1"))
	c := carry.New(codec{}, nil, pool.Options{})
	defer c.Close()
	for _, id := range []qm.RequestID{"r1", "r2", "r3"} {
		text, err := send(t, c, address, qm.Idempotent, id, "body")
		if err == nil && text != "r1" || id != "r1" && err == nil {
			t.Errorf("request %s got %q", id, text)
		}
	}
}

// newEndpoint starts an endpoint that writes answer in response to each request, or closes the connection if answer is
// empty, and returns its address.
func newEndpoint(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if answer == "" {
						return
					}
					if _, err := io.Copy(c, strings.NewReader(answer)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}
