package exchg_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/fatal"
	"quetzalmount.dev/quetzalmount/internal/route/exchg"
)

// fatalClient ends the engine that runs the request with body "poison" for 200 ms and answers all others. If status is not 0, all are
// answered with it.
type fatalClient struct {
	mu     sync.Mutex
	ended  map[qm.EndpointID]bool
	sent   int
	status int
}

// newFatalTracker returns a tracker of the requests to the engines of client.
func newFatalTracker(t *testing.T, client *fatalClient) *fatal.Tracker {
	return fatal.New(t.Context(), fatal.Options{
		Probe: func(_ context.Context, e *qm.Endpoint) error {
			if client.hasEnded(e.ID) {
				return syscall.ECONNREFUSED
			}
			return nil
		},
		Lookup:  func(id qm.EndpointID) *qm.Endpoint { return &qm.Endpoint{ID: id, State: qm.Live} },
		IsFirst: func(qm.Fingerprint) bool { return true }, Announce: func() {}, Log: testr.New(t),
	})
}

func (c *fatalClient) hasEnded(id qm.EndpointID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended[id]
}

func (c *fatalClient) Send(ctx context.Context, x *qm.Exchange, o qm.ExchangeAttempt) (*qm.Response, error) {
	if c.hasEnded(o.Endpoint.ID) {
		return nil, qm.Refuse(qm.CodeEndpointUnreached, "connect", "connection refused")
	}
	c.sent++
	if c.status != 0 {
		return &qm.Response{Status: c.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("error"))}, nil
	}
	if string(x.Body) == "poison" {
		select {
		case <-ctx.Done():
			return nil, qm.Fail(qm.CodeEndpointFailed, "send", o.Endpoint.Address, context.Cause(ctx))
		case <-time.After(200 * time.Millisecond):
		}
		c.mu.Lock()
		c.ended[o.Endpoint.ID] = true
		c.mu.Unlock()
		return nil, qm.Fail(qm.CodeEndpointFailed, "send", o.Endpoint.Address, errors.New("reset"))
	}
	return &qm.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

// failureCounter counts the failures that are reported of endpoints.
type failureCounter struct {
	alwaysReady
	failed int
}

func (c *failureCounter) Begin(qm.EndpointID) qm.Attempt { return c }
func (c *failureCounter) Failed(error)                   { c.failed++ }

// slowClient answers no request until its context ends.
type slowClient struct{}

func (slowClient) Send(ctx context.Context, _ *qm.Exchange, o qm.ExchangeAttempt) (*qm.Response, error) {
	<-ctx.Done()
	return nil, qm.Fail(qm.CodeEndpointFailed, "send", o.Endpoint.Address, context.Cause(ctx))
}

// TestStoppedRun guards against holding an endpoint responsible for a run that was stopped because its request was convicted.
func TestStoppedRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps, health := newDeps(t, nil), &failureCounter{}
		deps.Client, deps.Health = slowClient{}, health
		deps.Fatal = fatal.New(t.Context(), fatal.Options{
			Lookup: func(qm.EndpointID) *qm.Endpoint { return nil }, IsFirst: func(qm.Fingerprint) bool { return true }, Announce: func() {},
		})
		defer deps.Fatal.Close()
		now := time.Now()
		x := &qm.Exchange{
			Route: &qm.Route{ID: "r", Kind: qm.NonIdempotent, MaxAttempts: 1}, Group: "g", Team: "t", Method: "POST", Target: &url.URL{Path: "/a"},
			Received: now, CallerDeadline: now.Add(time.Minute), EffectiveDeadline: now.Add(time.Minute),
		}
		go func() {
			time.Sleep(time.Second)
			deps.Fatal.ApplyReport(fatal.Report{Kind: fatal.ReportConvicted, Fingerprints: x.Fingerprints(), For: time.Minute})
		}()
		if err := exchg.New(deps).Run(t.Context(), x, &recorder{}); err == nil || time.Since(now) > 2*time.Second {
			t.Errorf("the run of a convicted request ended after %v with error %v", time.Since(now), err)
		}
		if health.failed > 0 {
			t.Error("the endpoint counts as failed")
		}
	})
}

// TestFatalRequest guards against a request that callers repeat and that ends one engine after the other. After two it gets a final answer
// at once, which says that it was not run; others are served.
func TestFatalRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &fatalClient{ended: map[qm.EndpointID]bool{}}
		deps := newDeps(t, nil)
		deps.Client = client
		deps.Fatal = newFatalTracker(t, client)
		defer deps.Fatal.Close()
		runner := exchg.New(deps)
		send := func(body string) error {
			now := time.Now()
			err := runner.Run(t.Context(), &qm.Exchange{
				Request: qm.RequestID(fmt.Sprint(now)), Route: &qm.Route{ID: "r", Kind: qm.Idempotent, MaxAttempts: 2}, Group: "g", Team: "t", Method: "POST", Target: &url.URL{Path: "/a"},
				Body: []byte(body), Received: now, CallerDeadline: now.Add(time.Minute), EffectiveDeadline: now.Add(time.Minute),
			}, &recorder{})
			time.Sleep(time.Second)
			return err
		}
		for range 3 {
			if err := send("poison"); err == nil {
				t.Fatal("a request that ends engines was answered")
			}
		}
		sent := client.sent
		err := send("poison")
		e := qm.AsError(err)
		if err == nil || e.Code != qm.CodeFatalRequest || e.Outcome != qm.OutcomeNotRun || e.RetryAfter != 0 || client.sent != sent {
			t.Errorf("after %d ends: error %v, sent %d times more; want a refusal at once", len(client.ended), err, client.sent-sent)
		}
		if len(client.ended) > 3 {
			t.Errorf("%d engines ended: %v", len(client.ended), client.ended)
		}
		if err := send("harmless"); err != nil {
			t.Errorf("another request was not answered: %v", err)
		}
	})
}

// newPoison returns the n-th request that ends its engine.
func newPoison(n int) *qm.Exchange {
	now := time.Now()
	return &qm.Exchange{
		Request: qm.RequestID(fmt.Sprint(n)), Route: &qm.Route{ID: "r", Kind: qm.NonIdempotent, MaxAttempts: 1}, Group: "g", Team: "t", Method: "POST",
		Target: &url.URL{Path: "/a"}, Body: []byte("poison"), Received: now, CallerDeadline: now.Add(time.Minute), EffectiveDeadline: now.Add(time.Minute),
	}
}

// TestErrorAcquitsNobody guards against a request that ends engines and is cleared again and again because other engines answer it with an error
// before they run it.
func TestErrorAcquitsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &fatalClient{ended: map[qm.EndpointID]bool{}}
		deps := newDeps(t, nil)
		deps.Client = client
		deps.Fatal = newFatalTracker(t, client)
		defer deps.Fatal.Close()
		runner := exchg.New(deps)
		send := func(n int) error {
			time.Sleep(time.Second)
			return runner.Run(t.Context(), newPoison(n), &recorder{})
		}
		for n := range 2 {
			client.status = 0
			if err := send(2 * n); err == nil {
				t.Fatal("a request that ends engines was answered")
			}
			client.status = http.StatusInternalServerError
			err := send(2*n + 1)
			if isRefused := err != nil && qm.AsError(err).Code == qm.CodeFatalRequest; isRefused != (n == 1) {
				t.Errorf("after %d ends and an error each: %v", n+1, err)
			}
		}
	})
}

// TestSuspectEngine guards against a request that ends engines and is never accused because it ran on engines that had failed shortly before.
func TestSuspectEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &fatalClient{ended: map[qm.EndpointID]bool{}}
		deps := newDeps(t, nil)
		deps.Client = client
		deps.Board.Endpoints.Store(withState(deps.Board, qm.Suspect))
		deps.Fatal = newFatalTracker(t, client)
		defer deps.Fatal.Close()
		runner := exchg.New(deps)
		var err error
		for n := range 3 {
			time.Sleep(time.Second)
			err = runner.Run(t.Context(), newPoison(n), &recorder{})
		}
		if err == nil || qm.AsError(err).Code != qm.CodeFatalRequest {
			t.Errorf("after %d ends of suspect engines: %v, want a refusal", len(client.ended), err)
		}
	})
}
