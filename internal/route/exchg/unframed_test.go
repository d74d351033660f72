package exchg_test

import (
	"context"
	"syscall"
	"testing"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/exchg"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// TestEndedEngine guards against a response that ends with its connection because the engine ended, and that is taken for a whole one. Such a
// stream goes on at another engine if its kind allows it; an engine that is still there, or that was leaving, has sent all of it.
func TestEndedEngine(t *testing.T) {
	unframed := func(status int, text string) func(context.Context) (*qm.Response, error) {
		return func(ctx context.Context) (*qm.Response, error) {
			resp, err := answerWith(status, text, nil)(ctx)
			resp.EndsWithConnection = true
			return resp, err
		}
	}
	for _, tt := range []struct {
		name         string
		kind         qm.ExchangeKind
		first        string
		ended        bool
		leaving      bool
		wantAttempts int
		want         string
		wantErr      bool
	}{
		{name: "stream goes on", kind: qm.Resumable, first: event1, ended: true, wantAttempts: 2, want: event1 + event2},
		{name: "stream without events", kind: qm.Resumable, ended: true, wantAttempts: 2, want: event2},
		{name: "stream is broken off", kind: qm.Streaming, first: event1, ended: true, wantAttempts: 1, want: event1, wantErr: true},
		{name: "call is repeated", kind: qm.Idempotent, first: "sho", ended: true, wantAttempts: 2, want: event2},
		{name: "call fails", kind: qm.NonIdempotent, first: "sho", ended: true, wantAttempts: 1, wantErr: true},
		{name: "whole stream", kind: qm.Resumable, first: event1, wantAttempts: 1, want: event1},
		{name: "whole call", kind: qm.NonIdempotent, first: "whole", wantAttempts: 1, want: "whole"},
		{name: "call at a leaving engine", kind: qm.NonIdempotent, first: "whole", ended: true, leaving: true, wantAttempts: 1, want: "whole"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedClient{}
			deps := newDeps(t, s)
			first := func(ctx context.Context) (*qm.Response, error) {
				if tt.leaving {
					deps.Board.Endpoints.Store(withState(deps.Board, qm.Leaving))
				}
				return unframed(200, tt.first)(ctx)
			}
			s.steps = []func(context.Context) (*qm.Response, error){first, answerWith(200, event2, nil)}
			deps.Probe = func(context.Context, *qm.Endpoint) error {
				if tt.ended {
					return syscall.ECONNREFUSED
				}
				return nil
			}
			w := &recorder{}
			err := exchg.New(deps).Run(t.Context(), exchange(tt.kind), w)
			if (err != nil) != tt.wantErr || w.text.String() != tt.want || len(s.attempts) != tt.wantAttempts || w.ended == tt.wantErr {
				t.Errorf("error %v, text %q, ended %v after %d attempts", err, w.text.String(), w.ended, len(s.attempts))
			}
		})
	}
}

// withState returns copies of the endpoints on a board in another state.
func withState(b *board.Board, state qm.MemberState) qm.Endpoints {
	var out qm.Endpoints
	all, _ := b.Endpoints.Load()
	for _, e := range all {
		c := *e
		c.State = state
		out = append(out, &c)
	}
	return out
}
