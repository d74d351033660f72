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

// script is what endpoints answer to the offers that arrive, in order.
type script struct {
	mu     sync.Mutex
	steps  []func(ctx context.Context) (*qm.Answer, error)
	offers []qm.Offer
}

// Send implements quetzalmount.Carrier.
func (s *script) Send(ctx context.Context, _ *qm.Exchange, o qm.Offer) (*qm.Answer, error) {
	s.mu.Lock()
	s.offers = append(s.offers, o)
	n := len(s.offers)
	s.mu.Unlock()
	if n > len(s.steps) {
		return nil, qm.Refuse(qm.CodeEndpointFull, "send", "the script has ended")
	}
	return s.steps[n-1](ctx)
}

// body is the body of an answer that ends with an error, or hangs until the attempt is cancelled.
type body struct {
	ctx  context.Context
	text io.Reader
	end  error
	hang bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.text.Read(p)
	if n > 0 {
		return n, nil
	}
	if b.hang {
		<-b.ctx.Done()
		return 0, context.Cause(b.ctx)
	}
	if b.end != nil {
		return 0, b.end
	}
	return 0, err
}

func (*body) Close() error { return nil }

func answers(status int, text string, end error) func(context.Context) (*qm.Answer, error) {
	return func(ctx context.Context) (*qm.Answer, error) {
		return &qm.Answer{Status: status, Header: http.Header{}, Body: &body{ctx: ctx, text: strings.NewReader(text), end: end}}, nil
	}
}

func hangs(text string) func(context.Context) (*qm.Answer, error) {
	return func(ctx context.Context) (*qm.Answer, error) {
		return &qm.Answer{Status: http.StatusOK, Header: http.Header{}, Body: &body{ctx: ctx, text: strings.NewReader(text), hang: true}}, nil
	}
}

func fails(err error) func(context.Context) (*qm.Answer, error) {
	return func(context.Context) (*qm.Answer, error) { return nil, err }
}

// writer keeps what the caller gets.
type writer struct {
	status int
	text   strings.Builder
	ended  bool
	err    error
}

func (w *writer) WriteComplete(a *qm.Answer, b []byte) error {
	w.status, w.ended = a.Status, true
	w.text.Write(b)
	return w.err
}
func (w *writer) BeginStream(a *qm.Answer) error { w.status = a.Status; return w.err }
func (w *writer) WriteEvents(raw []byte, _ bool) error {
	w.text.Write(raw)
	return w.err
}
func (w *writer) EndStream() error { w.ended = true; return w.err }

type health struct{}

func (health) Ready(qm.EndpointID) bool         { return true }
func (h health) Begin(qm.EndpointID) qm.Attempt { return h }
func (health) Succeeded()                       {}
func (health) Failed(error)                     {}
func (health) Abandoned()                       {}

type observer struct{}

func (observer) SawVersion(qm.EndpointID, qm.ModelID, qm.VersionID) {}

const (
	event1 = "id: 1\ndata: a\n\n"
	event2 = "id: 2\ndata: b\n\n"
	event3 = "id: 3\ndata: c\n\n"
)

// TestRun replays what endpoints may answer and checks what the caller gets, and that what is said about having run is true.
func TestRun(t *testing.T) {
	full := fails(qm.Refuse(qm.CodeEndpointFull, "send", "full"))
	unreached := fails(qm.Refuse(qm.CodeUnreached, "connect", "refused"))
	lost := fails(qm.Fail(qm.CodeEndpoint, "send", "e", errors.New("reset")))
	broken := errors.New("reset")
	type steps = []func(context.Context) (*qm.Answer, error)
	tests := []struct {
		name    string
		kind    qm.Kind
		steps   steps
		status  int
		text    string
		ended   bool
		code    qm.Code
		outcome qm.Outcome
		offers  int
	}{
		{"answer", qm.NonIdempotent, steps{answers(200, "ok", nil)}, 200, "ok", true, "", "", 1},
		{"own failure of the endpoint", qm.NonIdempotent, steps{answers(500, "no", nil)}, 500, "no", true, "", "", 1},
		{"not reached, then answer", qm.NonIdempotent, steps{unreached, unreached, answers(200, "ok", nil)}, 200, "ok", true, "", "", 3},
		{"refused, then answer", qm.NonIdempotent, steps{full, answers(200, "ok", nil)}, 200, "ok", true, "", "", 2},
		{"lost once", qm.NonIdempotent, steps{lost, answers(200, "ok", nil)}, 0, "", false, qm.CodeEndpoint, qm.Unknown, 1},
		{"refused by all", qm.NonIdempotent, steps{full, full, full, full}, 0, "", false, qm.CodeEndpointFull, qm.NotRun, 4},
		{"short answer", qm.NonIdempotent, steps{answers(200, "o", io.ErrUnexpectedEOF)}, 0, "", false, qm.CodeEndpoint, qm.Unknown, 1},
		{"lost, then answer", qm.Idempotent, steps{lost, answers(200, "ok", nil)}, 200, "ok", true, "", "", 2},
		{"failure, then answer", qm.Idempotent, steps{answers(500, "no", nil), answers(200, "ok", nil)}, 200, "ok", true, "", "", 2},
		{"failure twice", qm.Idempotent, steps{answers(500, "no", nil), answers(500, "no", nil)}, 500, "no", true, "", "", 2},
		{"hangs, then answer", qm.Idempotent, steps{hangs(""), answers(200, "ok", nil)}, 200, "ok", true, "", "", 2},
		{"stream", qm.Streaming, steps{answers(200, event1+event2, nil)}, 200, event1 + event2, true, "", "", 1},
		{"stream cut within an event", qm.Streaming, steps{answers(200, event1+"id: 2\nda", broken)}, 200, event1, false, qm.CodeEndpoint, qm.Unknown, 1},
		{"stream of no events", qm.Streaming, steps{answers(200, "", nil)}, 200, "", false, qm.CodeEndpoint, qm.Unknown, 1},
		{"resumed", qm.Resumable, steps{answers(200, event1+"id: 2\nda", broken), answers(200, event2+event3, nil)}, 200, event1 + event2 + event3, true, "", "", 2},
		{"resumed with repeats", qm.Resumable, steps{answers(200, event1+event2, broken), answers(200, event1+event2+event3, nil)}, 200, event1 + event2 + event3, true, "", "", 2},
		{"resumed stream refused with a status", qm.Resumable, steps{answers(200, event1, broken), answers(404, "gone", nil)}, 200, event1, false, qm.CodeEndpoint, qm.Unknown, 2},
		{"stalls, then resumed", qm.Resumable, steps{hangs(event1), answers(200, event2, nil)}, 200, event1 + event2, true, "", "", 2},
		{"silence of what may run once", qm.NonIdempotent, steps{hangs("")}, 0, "", false, qm.CodeTimeout, qm.Unknown, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, w := &script{steps: tt.steps}, &writer{}
				err := newRunner(t, s).Run(t.Context(), exchange(tt.kind), w)
				if w.status != tt.status || w.text.String() != tt.text || w.ended != tt.ended {
					t.Errorf("the caller got %d %q, ended %v; want %d %q, %v", w.status, w.text.String(), w.ended, tt.status, tt.text, tt.ended)
				}
				if len(s.offers) != tt.offers {
					t.Errorf("%d offers, want %d", len(s.offers), tt.offers)
				}
				checkError(t, err, tt.code, tt.outcome, tt.status != 0)
			})
		})
	}
}

func checkError(t *testing.T, err error, code qm.Code, outcome qm.Outcome, begun bool) {
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
	if errors.Is(err, exchg.ErrIncomplete) != begun {
		t.Errorf("Run() = %v, want the answer begun = %v", err, begun)
	}
}

// TestResumeOffer guards against a resumed stream that asks for events which the caller already has, or at the same endpoint.
func TestResumeOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{steps: []func(context.Context) (*qm.Answer, error){
			answers(200, event1+event2, errors.New("reset")), answers(200, event3, nil),
		}}
		if err := newRunner(t, s).Run(t.Context(), exchange(qm.Resumable), &writer{}); err != nil {
			t.Fatal(err)
		}
		last := []string{s.offers[0].LastEvent, s.offers[1].LastEvent}
		if diff := cmp.Diff([]string{"", "2"}, last); diff != "" {
			t.Error(diff)
		}
		if s.offers[0].Endpoint.ID == s.offers[1].Endpoint.ID {
			t.Error("the stream was resumed at the endpoint that broke it off")
		}
	})
}

// TestCallerLeaves guards against attempts after the caller has left.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{steps: []func(context.Context) (*qm.Answer, error){hangs(""), answers(200, "ok", nil)}}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		err := newRunner(t, s).Run(ctx, exchange(qm.Idempotent), &writer{})
		checkError(t, err, qm.CodeCallerLeft, qm.Unknown, false)
		if len(s.offers) != 1 {
			t.Errorf("%d offers, want 1", len(s.offers))
		}
	})
	// A caller that can't be written to has left as well.
	s := &script{steps: []func(context.Context) (*qm.Answer, error){answers(200, event1+event2, nil)}}
	err := newRunner(t, s).Run(t.Context(), exchange(qm.Streaming), &writer{err: errors.New("broken pipe")})
	checkError(t, err, qm.CodeCallerLeft, qm.Unknown, false)
}

func exchange(k qm.Kind) *qm.Exchange {
	now := time.Now()
	return &qm.Exchange{
		Request: "r", Group: "g", Team: "t", Received: now, Deadline: now.Add(5 * time.Second), GiveUp: now.Add(4 * time.Second),
		Route: &qm.Route{ID: "route", Kind: k, Attempts: 2, Objective: 300 * time.Millisecond, Pause: 300 * time.Millisecond, Timeout: 4 * time.Second},
	}
}

// newRunner returns a runner in front of five plain endpoints that answer by a script.
func newRunner(t *testing.T, s *script) *exchg.Runner {
	t.Helper()
	b := board.New()
	var all qm.Endpoints
	for _, id := range []qm.EndpointID{"a", "b", "c", "d", "e"} {
		all = append(all, &qm.Endpoint{ID: id, Group: "g", Kind: qm.KindService, State: qm.Live})
	}
	b.Endpoints.Store(all)
	m := meter.New("test", 1)
	t.Cleanup(func() { _ = m.Close() })
	return exchg.New(exchg.Deps{
		Board: b, Carrier: s, Engines: place.NewLeast(), Services: place.NewLeast(), Health: health{}, Observer: observer{}, Meter: m,
		Log: logr.Discard(), StoreUnavailable: func() bool { return true }, ManyRouters: func() bool { return false },
		RetryBudget: retry.NewGroupBudget(retry.GroupBudgetOptions{Ratio: 0.2, Extra: 50, Window: 10 * time.Second, UsableFraction: 1, Routers: func() int { return 1 }}),
	})
}
