package exchg

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// TestNext guards against a second run of what must run once, against more runs than the route allows, and against repeats that are
// not taken from the budget.
func TestNext(t *testing.T) {
	unreached := qm.Refuse(qm.CodeUnreached, "connect", "refused")
	full := qm.Refuse(qm.CodeEndpointFull, "send", "full")
	lost := qm.Fail(qm.CodeEndpoint, "send", "e", errors.New("reset"))
	for name, tt := range map[string]struct {
		s      situation
		want   step
		budget bool
	}{
		"not reached":              {situation{kind: qm.NonIdempotent, attempts: 1, tally: tally{unreached: 1}, err: unreached}, again, false},
		"refused, may run once":    {situation{kind: qm.NonIdempotent, attempts: 1, tally: tally{arrivals: 1}, err: full}, again, true},
		"lost, may run once":       {situation{kind: qm.NonIdempotent, attempts: 3, tally: tally{runs: 1, arrivals: 1}, err: lost}, finish, false},
		"lost stream":              {situation{kind: qm.Streaming, attempts: 3, tally: tally{runs: 1, arrivals: 1}, err: lost}, finish, false},
		"lost, repeats":            {situation{kind: qm.Idempotent, attempts: 2, tally: tally{runs: 1, arrivals: 1}, err: lost}, again, true},
		"lost, resumes":            {situation{kind: qm.Resumable, attempts: 2, tally: tally{runs: 1, arrivals: 1}, err: lost}, again, true},
		"lost, all runs used":      {situation{kind: qm.Idempotent, attempts: 2, tally: tally{runs: 2, arrivals: 2}, err: lost}, finish, false},
		"refused by all":           {situation{kind: qm.Idempotent, attempts: 9, tally: tally{arrivals: maxOffers}, err: full}, finish, false},
		"none reached":             {situation{kind: qm.Idempotent, attempts: 9, tally: tally{unreached: maxUnreached}, err: unreached}, finish, false},
		"no endpoint":              {situation{kind: qm.Idempotent, attempts: 2, err: qm.Refuse(qm.CodeNoEndpoint, "place", "none")}, finish, false},
		"no time for another":      {situation{kind: qm.Idempotent, attempts: 2, tally: tally{runs: 1}, err: lost, left: time.Millisecond}, finish, false},
		"not reached after a send": {situation{kind: qm.Idempotent, attempts: 2, tally: tally{runs: 1, arrivals: 1, unreached: 1}, err: unreached}, again, true},
	} {
		if tt.s.left == 0 {
			tt.s.left = time.Second
		}
		if got, budget := next(tt.s); got != tt.want || budget != tt.budget {
			t.Errorf("%s: next() = %v, %v, want %v, %v", name, got, budget, tt.want, tt.budget)
		}
	}
}

// TestPatience guards against giving up an attempt whose answer may be on its way when no other attempt may follow.
func TestPatience(t *testing.T) {
	route := func(k qm.Kind, attempts int) *qm.Exchange {
		return &qm.Exchange{Route: &qm.Route{Kind: k, Attempts: attempts, Objective: 500 * time.Millisecond, Pause: 400 * time.Millisecond}}
	}
	for name, tt := range map[string]struct {
		x     *qm.Exchange
		tally tally
		begun bool
		left  time.Duration
		want  time.Duration
	}{
		"may run once":    {route(qm.NonIdempotent, 3), tally{}, false, 10 * time.Second, 0},
		"stream":          {route(qm.Streaming, 3), tally{}, false, 10 * time.Second, 0},
		"first of two":    {route(qm.Resumable, 2), tally{}, false, 10 * time.Second, 1100 * time.Millisecond},
		"last of two":     {route(qm.Resumable, 2), tally{runs: 1}, false, 10 * time.Second, 0},
		"begun":           {route(qm.Resumable, 2), tally{}, true, 10 * time.Second, 800 * time.Millisecond},
		"no time for two": {route(qm.Idempotent, 2), tally{}, false, 1200 * time.Millisecond, 0},
	} {
		if got := patience(tt.x, tt.tally, tt.begun, 100*time.Millisecond, tt.left); got != tt.want {
			t.Errorf("%s: patience() = %v, want %v", name, got, tt.want)
		}
	}
}

// TestEvents guards against events that are split, joined, or handed over although the stream broke off within them.
func TestEvents(t *testing.T) {
	e := newEvents(strings.NewReader("id: 4\ndata: a\n\nid:8\r\ndata: b\r\n\r\ndata: c\n\nid: 9\ndata: cut"))
	for _, want := range []struct{ raw, id string }{
		{"id: 4\ndata: a\n\n", "4"}, {"id:8\r\ndata: b\r\n\r\n", "8"}, {"data: c\n\n", ""},
	} {
		raw, id, err := e.next()
		if err != nil || string(raw) != want.raw || id != want.id {
			t.Fatalf("next() = %q, %q, %v, want %q, %q", raw, id, err, want.raw, want.id)
		}
	}
	if _, _, err := e.next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("an event that is cut off ends with %v", err)
	}
	if _, _, err := newEvents(strings.NewReader("")).next(); !isEnd(err) {
		t.Errorf("a stream without events ends with %v", err)
	}
	if _, _, err := newEvents(strings.NewReader(strings.Repeat("x", maxEvent+1))).next(); err == nil {
		t.Error("an event without end is read for ever")
	}
}

// TestSeen guards against events that a second run repeats.
func TestSeen(t *testing.T) {
	for _, tt := range []struct {
		id, last string
		want     bool
	}{{"4", "4", true}, {"3", "10", true}, {"11", "10", false}, {"4", "", false}, {"", "4", false}, {"x", "4", false}} {
		if got := seen(tt.id, tt.last); got != tt.want {
			t.Errorf("seen(%q, %q) = %v", tt.id, tt.last, got)
		}
	}
}

// TestLength guards against a stopping router that takes a stream which its grace would cut.
func TestLength(t *testing.T) {
	stream := &qm.Exchange{OutputTokens: 200, Route: &qm.Route{Kind: qm.Resumable, Objective: 500 * time.Millisecond, Timeout: 15 * time.Second}}
	if got := EstimateDuration(stream); got != 7*time.Second {
		t.Errorf("Length() of 200 tokens = %v, want 7s", got)
	}
	plain := &qm.Exchange{Route: &qm.Route{Kind: qm.NonIdempotent, Timeout: 300 * time.Millisecond}}
	if got := EstimateDuration(plain); got != 300*time.Millisecond {
		t.Errorf("Length() of a plain call = %v, want its time-out", got)
	}
}
