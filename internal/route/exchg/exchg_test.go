package exchg_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/meter"
	"quetzalmount.dev/quetzalmount/internal/route/exchg"
	"quetzalmount.dev/quetzalmount/internal/route/place"
	"quetzalmount.dev/quetzalmount/internal/route/retry"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// scriptedClient answers attempts with the steps of a script, in order.
type scriptedClient struct {
	mu       sync.Mutex
	steps    []func(ctx context.Context) (*qm.Response, error)
	attempts []qm.ExchangeAttempt
}

// Send implements quetzalmount.ExchangeClient.
func (s *scriptedClient) Send(ctx context.Context, _ *qm.Exchange, o qm.ExchangeAttempt) (*qm.Response, error) {
	s.mu.Lock()
	s.attempts = append(s.attempts, o)
	n := len(s.attempts)
	s.mu.Unlock()
	if n > len(s.steps) {
		return nil, qm.Refuse(qm.CodeEndpointFull, "send", "the script has ended")
	}
	return s.steps[n-1](ctx)
}

// scriptedBody is the body of a response that ends with an error, or stalls until the attempt is cancelled.
type scriptedBody struct {
	ctx    context.Context
	text   io.Reader
	endErr error
	stall  bool
}

func (b *scriptedBody) Read(p []byte) (int, error) {
	n, err := b.text.Read(p)
	if n > 0 {
		return n, nil
	}
	if b.stall {
		<-b.ctx.Done()
		return 0, context.Cause(b.ctx)
	}
	if b.endErr != nil {
		return 0, b.endErr
	}
	return 0, err
}

func (*scriptedBody) Close() error { return nil }

func answerWith(status int, text string, end error) func(context.Context) (*qm.Response, error) {
	return func(ctx context.Context) (*qm.Response, error) {
		return &qm.Response{Status: status, Header: http.Header{}, Body: &scriptedBody{ctx: ctx, text: strings.NewReader(text), endErr: end}}, nil
	}
}

func stallAfter(text string) func(context.Context) (*qm.Response, error) {
	return func(ctx context.Context) (*qm.Response, error) {
		return &qm.Response{Status: http.StatusOK, Header: http.Header{}, Body: &scriptedBody{ctx: ctx, text: strings.NewReader(text), stall: true}}, nil
	}
}

func failWith(err error) func(context.Context) (*qm.Response, error) {
	return func(context.Context) (*qm.Response, error) { return nil, err }
}

// recorder records what the caller receives.
type recorder struct {
	status int
	text   strings.Builder
	ended  bool
	err    error
}

func (w *recorder) WriteComplete(a *qm.Response, b []byte) error {
	w.status, w.ended = a.Status, true
	w.text.Write(b)
	return w.err
}
func (w *recorder) BeginStream(a *qm.Response) error { w.status = a.Status; return w.err }
func (w *recorder) WriteEvents(raw []byte, _ bool) error {
	w.text.Write(raw)
	return w.err
}
func (w *recorder) EndStream() error { w.ended = true; return w.err }

type alwaysReady struct{}

func (alwaysReady) Ready(qm.EndpointID) bool         { return true }
func (h alwaysReady) Begin(qm.EndpointID) qm.Attempt { return h }
func (alwaysReady) Succeeded()                       {}
func (alwaysReady) Failed(error)                     {}
func (alwaysReady) Abandoned()                       {}

type noObserver struct{}

func (noObserver) RecordVersion(qm.EndpointID, qm.ModelID, qm.VersionID) {}
func (noObserver) RecordMisdirected(*qm.Endpoint, bool)                  {}

const (
	event1 = "id: 1\ndata: a\n\n"
	event2 = "id: 2\ndata: b\n\n"
	event3 = "id: 3\ndata: c\n\n"
)

// TestRun guards against wrong answers, a wrong number of attempts and a wrong outcome for each way in which endpoints may answer.
func TestRun(t *testing.T) {
	full := failWith(qm.Refuse(qm.CodeEndpointFull, "send", "full"))
	unreached := failWith(qm.Refuse(qm.CodeEndpointUnreached, "connect", "refused"))
	lost := failWith(qm.Fail(qm.CodeEndpointFailed, "send", "e", errors.New("reset")))
	broken := errors.New("reset")
	type steps = []func(context.Context) (*qm.Response, error)
	tests := []struct {
		name     string
		kind     qm.ExchangeKind
		steps    steps
		status   int
		text     string
		ended    bool
		code     qm.Code
		outcome  qm.Outcome
		attempts int
	}{
		{"answer", qm.NonIdempotent, steps{answerWith(200, "ok", nil)}, 200, "ok", true, "", "", 1},
		{"own failure of the endpoint", qm.NonIdempotent, steps{answerWith(500, "no", nil)}, 500, "no", true, "", "", 1},
		{"not reached, then answer", qm.NonIdempotent, steps{unreached, unreached, answerWith(200, "ok", nil)}, 200, "ok", true, "", "", 3},
		{"refused, then answer", qm.NonIdempotent, steps{full, answerWith(200, "ok", nil)}, 200, "ok", true, "", "", 2},
		{"lost once", qm.NonIdempotent, steps{lost, answerWith(200, "ok", nil)}, 0, "", false, qm.CodeEndpointFailed, qm.OutcomeUnknown, 1},
		{"refused by all", qm.NonIdempotent, steps{full, full, full, full}, 0, "", false, qm.CodeEndpointFull, qm.OutcomeNotRun, 4},
		{"short answer", qm.NonIdempotent, steps{answerWith(200, "o", io.ErrUnexpectedEOF)}, 0, "", false, qm.CodeEndpointFailed, qm.OutcomeUnknown, 1},
		{"lost, then answer", qm.Idempotent, steps{lost, answerWith(200, "ok", nil)}, 200, "ok", true, "", "", 2},
		{"failure, then answer", qm.Idempotent, steps{answerWith(500, "no", nil), answerWith(200, "ok", nil)}, 200, "ok", true, "", "", 2},
		{"failure twice", qm.Idempotent, steps{answerWith(500, "no", nil), answerWith(500, "no", nil)}, 500, "no", true, "", "", 2},
		{"hangs, then answer", qm.Idempotent, steps{stallAfter(""), answerWith(200, "ok", nil)}, 200, "ok", true, "", "", 2},
		{"stream", qm.Streaming, steps{answerWith(200, event1+event2, nil)}, 200, event1 + event2, true, "", "", 1},
		{"stream cut within an event", qm.Streaming, steps{answerWith(200, event1+"id: 2\nda", broken)}, 200, event1, false, qm.CodeEndpointFailed, qm.OutcomeUnknown, 1},
		{"stream of no events", qm.Streaming, steps{answerWith(200, "", nil)}, 200, "", false, qm.CodeEndpointFailed, qm.OutcomeUnknown, 1},
		{"resumed", qm.Resumable, steps{answerWith(200, event1+"id: 2\nda", broken), answerWith(200, event2+event3, nil)}, 200, event1 + event2 + event3, true, "", "", 2},
		{"resumed with repeats", qm.Resumable, steps{answerWith(200, event1+event2, broken), answerWith(200, event1+event2+event3, nil)}, 200, event1 + event2 + event3, true, "", "", 2},
		{"resumed stream refused with a status", qm.Resumable, steps{answerWith(200, event1, broken), answerWith(404, "gone", nil)}, 200, event1, false, qm.CodeEndpointFailed, qm.OutcomeUnknown, 2},
		{"resumed stream fails with a status", qm.Resumable, steps{answerWith(200, event1, broken), answerWith(500, "HTTP/1.1 500 No\r\n\r\nno\n\n", nil), answerWith(503, "no\n\n", nil)}, 200, event1, false, qm.CodeEndpointFailed, qm.OutcomeUnknown, 2},
		{"resumed stream is a text", qm.Resumable, steps{answerWith(200, event1, broken), answerWith(200, "error: overloaded\n\n", nil)}, 200, event1, false, qm.CodeEndpointFailed, qm.OutcomeUnknown, 2},
		{"resumed stream is a response", qm.Resumable, steps{answerWith(200, event1, broken), answerWith(200, "HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nno\n\n", nil)}, 200, event1, false, qm.CodeEndpointFailed, qm.OutcomeUnknown, 2},
		{"resumed stream turns into a text", qm.Resumable, steps{answerWith(200, event1, broken), answerWith(200, event2+"error: overloaded\n\n", nil)}, 200, event1 + event2, false, qm.CodeEndpointFailed, qm.OutcomeUnknown, 2},
		{"resumed stream has an ID that is no number", qm.Resumable, steps{answerWith(200, event1, broken), answerWith(200, "id: x\ndata: b\n\n", nil)}, 200, event1, false, qm.CodeEndpointFailed, qm.OutcomeUnknown, 2},
		{"failure before the stream", qm.Resumable, steps{answerWith(500, "no", nil), answerWith(200, event1, broken)}, 200, event1, false, qm.CodeEndpointFailed, qm.OutcomeUnknown, 2},
		{"stalls, then resumed", qm.Resumable, steps{stallAfter(event1), answerWith(200, event2, nil)}, 200, event1 + event2, true, "", "", 2},
		{"silence of what may run once", qm.NonIdempotent, steps{stallAfter("")}, 0, "", false, qm.CodeTimeout, qm.OutcomeUnknown, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, w := &scriptedClient{steps: tt.steps}, &recorder{}
				err := newRunner(t, s).Run(t.Context(), exchange(tt.kind), w)
				if w.status != tt.status || w.text.String() != tt.text || w.ended != tt.ended {
					t.Errorf("the caller received %d %q, ended %v; want %d %q, %v", w.status, w.text.String(), w.ended, tt.status, tt.text, tt.ended)
				}
				if len(s.attempts) != tt.attempts {
					t.Errorf("%d attempts, want %d", len(s.attempts), tt.attempts)
				}
				checkError(t, err, tt.code, tt.outcome, tt.status != 0)
			})
		})
	}
}

func checkError(t *testing.T, err error, code qm.Code, outcome qm.Outcome, started bool) {
	t.Helper()
	if code == "" {
		if err != nil {
			t.Errorf("Run() = %v", err)
		}
		return
	}
	var e *qm.Error
	if !errors.As(err, &e) || e.Code != code || e.Outcome != outcome {
		t.Errorf("Run() = %v, want code %s and outcome %s", err, code, outcome)
	}
	if errors.Is(err, exchg.ErrIncomplete) != started {
		t.Errorf("Run() = %v, want an error of a started answer = %v", err, started)
	}
}

// TestResumeAttempt guards against resuming a stream from an event that the caller already has, or at the endpoint that failed.
func TestResumeAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedClient{steps: []func(context.Context) (*qm.Response, error){
			answerWith(200, event1+event2, errors.New("reset")), answerWith(200, event3, nil),
		}}
		if err := newRunner(t, s).Run(t.Context(), exchange(qm.Resumable), &recorder{}); err != nil {
			t.Fatal(err)
		}
		last := []string{s.attempts[0].LastEventID, s.attempts[1].LastEventID}
		if diff := cmp.Diff([]string{"", "2"}, last); diff != "" {
			t.Error(diff)
		}
		if s.attempts[0].Endpoint.ID == s.attempts[1].Endpoint.ID {
			t.Error("the stream was resumed at the endpoint that failed")
		}
	})
}

// TestCallerLeaves guards against attempts after the caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedClient{steps: []func(context.Context) (*qm.Response, error){stallAfter(""), answerWith(200, "ok", nil)}}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		err := newRunner(t, s).Run(ctx, exchange(qm.Idempotent), &recorder{})
		checkError(t, err, qm.CodeCallerLeft, qm.OutcomeUnknown, false)
		if len(s.attempts) != 1 {
			t.Errorf("%d attempts, want 1", len(s.attempts))
		}
	})
	// A failed write to the caller counts as a disconnection.
	s := &scriptedClient{steps: []func(context.Context) (*qm.Response, error){answerWith(200, event1+event2, nil)}}
	err := newRunner(t, s).Run(t.Context(), exchange(qm.Streaming), &recorder{err: errors.New("broken pipe")})
	checkError(t, err, qm.CodeCallerLeft, qm.OutcomeUnknown, false)
}

// TestTimeoutMessage guards against errors that name the deadline twice or not at all.
func TestTimeoutMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedClient{steps: []func(context.Context) (*qm.Response, error){stallAfter("")}}
		err := newRunner(t, s).Run(t.Context(), exchange(qm.NonIdempotent), &recorder{})
		if got := strings.Count(err.Error(), "request deadline exceeded"); got != 1 {
			t.Errorf("Run() = %q, which names the deadline %d times, want 1", err, got)
		}
	})
}

func exchange(k qm.ExchangeKind) *qm.Exchange {
	now := time.Now()
	return &qm.Exchange{
		Request: "r", Group: "g", Team: "t", Received: now, CallerDeadline: now.Add(5 * time.Second), EffectiveDeadline: now.Add(4 * time.Second),
		Route: &qm.Route{ID: "route", Kind: k, MaxAttempts: 2, LatencyObjective: 300 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Timeout: 4 * time.Second},
	}
}

// newRunner returns a Runner for five plain endpoints whose answers come from s.
func newRunner(t *testing.T, s *scriptedClient) *exchg.Runner {
	t.Helper()
	return exchg.New(newDeps(t, s))
}

// newDeps returns the dependencies of such a Runner.
func newDeps(t *testing.T, s *scriptedClient) exchg.Deps {
	t.Helper()
	b := board.New()
	var all qm.Endpoints
	for _, id := range []qm.EndpointID{"a", "b", "c", "d", "e"} {
		all = append(all, &qm.Endpoint{ID: id, Group: "g", Kind: qm.KindService, State: qm.Live})
	}
	b.Endpoints.Store(all)
	m := meter.New("test", 1)
	t.Cleanup(func() { _ = m.Close() })
	return exchg.Deps{
		Board: b, Client: s, Engines: place.NewLeast(), Services: place.NewLeast(), Health: alwaysReady{}, Observer: noObserver{}, Meter: m,
		Log: logr.Discard(), CacheStoreUnavailable: func() bool { return true }, ManyRouters: func() bool { return false },
		RetryBudget: retry.NewGroupBudget(retry.GroupBudgetOptions{Ratio: 0.2, Extra: 50, Window: 10 * time.Second, UsableFraction: 1, Routers: func() int { return 1 }}),
	}
}

// flushRecorder records whether the events that were written have been flushed.
type flushRecorder struct {
	recorder
	flushed bool
}

func (w *flushRecorder) WriteEvents(raw []byte, flush bool) error {
	w.flushed = flush
	return w.recorder.WriteEvents(raw, flush)
}

// TestFlushBeforeResume guards against events that are ready and reach the caller only after the stream was resumed, because the endpoint broke
// off in the middle of the next event.
func TestFlushBeforeResume(t *testing.T) {
	w := &flushRecorder{}
	resume := func(ctx context.Context) (*qm.Response, error) {
		if !w.flushed {
			t.Error("the first event is not flushed when the stream is resumed")
		}
		return answerWith(200, event2, nil)(ctx)
	}
	s := &scriptedClient{steps: []func(context.Context) (*qm.Response, error){answerWith(200, event1+"id: 2\nda", errors.New("reset")), resume}}
	if err := newRunner(t, s).Run(t.Context(), exchange(qm.Resumable), w); err != nil {
		t.Fatal(err)
	}
}
