package roster_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

var errDown = errors.New("down")

// world is the list and the endpoints as the roster under test meets them. The test holds mu but while it waits.
type world struct {
	mu        sync.Mutex
	board     *board.Board
	roster    *roster.Roster
	members   []qm.Member
	endpoints []*qm.Endpoint
	load      roster.Report
	// silent makes e1 take a load request and never answer.
	silent                     bool
	listErr, loadErr, probeErr error

	changedMu sync.Mutex
	changed   []qm.Incarnation
}

func (w *world) start(t *testing.T) {
	w.board = board.New()
	w.members = []qm.Member{{Instance: "r2", PeerAddress: "r2:1", State: qm.Live}, {Instance: "r3", PeerAddress: "r3:1", State: qm.Live}}
	w.endpoints = []*qm.Endpoint{{ID: "e1", Kind: qm.KindEngine, State: qm.Live}, {ID: "e2", Kind: qm.KindEngine, State: qm.Live}}
	w.load = roster.Report{Incarnation: "i1"}
	w.roster = roster.New(t.Context(), roster.Options{
		Board: w.board, Self: qm.Member{Instance: "r1"}, PollsPerRound: 10,
		List: func(context.Context) ([]qm.Member, []*qm.Endpoint, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.members, w.endpoints, w.listErr
		},
		FetchReport: func(ctx context.Context, e *qm.Endpoint) (roster.Report, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if e.ID != "e1" {
				return roster.Report{Incarnation: "j1"}, nil
			}
			if w.silent {
				w.mu.Unlock()
				<-ctx.Done()
				w.mu.Lock()
				return roster.Report{}, ctx.Err()
			}
			return w.load, w.loadErr
		},
		Probe: func(context.Context, *qm.Endpoint) error {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.probeErr
		},
		OnRestart: func(_ qm.EndpointID, i qm.Incarnation) {
			w.changedMu.Lock()
			defer w.changedMu.Unlock()
			w.changed = append(w.changed, i)
		},
	})
	w.roster.MarkUsed("e1")
	w.mu.Lock()
	w.wait(3 * time.Second)
}

func (w *world) wait(d time.Duration) {
	w.mu.Unlock()
	defer w.mu.Lock()
	time.Sleep(d)
	synctest.Wait()
}

func (w *world) states() map[string]qm.MemberState {
	out := map[string]qm.MemberState{}
	m, _ := w.board.Members.Load()
	for _, x := range m {
		out[string(x.Instance)] = x.State
	}
	e, _ := w.board.Endpoints.Load()
	for _, x := range e {
		out[string(x.ID)] = x.State
	}
	return out
}

// TestFailures drives the membership failures of the design and compares the states that placement sees.
func TestFailures(t *testing.T) {
	const live, leaving, suspect = qm.Live, qm.Leaving, qm.Suspect
	type states = map[string]qm.MemberState
	all := func(e1 qm.MemberState) states {
		return states{"r1": live, "r2": live, "r3": live, "e1": e1, "e2": live}
	}
	for _, c := range []struct {
		name    string
		do      func(*world)
		want    states
		changed []qm.Incarnation
	}{
		{"crashed endpoint refuses connections", func(w *world) { w.roster.MarkRefused("e1") }, all(suspect), nil},
		{"crashed endpoint answers again", func(w *world) { w.roster.MarkRefused("e1"); w.wait(2 * time.Second) }, all(live), nil},
		{"crash seen by the load poll", func(w *world) { w.loadErr, w.probeErr = errDown, errDown; w.wait(2 * time.Second) }, all(suspect), nil},
		{"one failure with a working new connection", func(w *world) { w.roster.MarkFailed("e1"); w.wait(0) }, all(live), nil},
		{"takes connections but answers nothing", func(w *world) {
			for range roster.FailuresToSuspect {
				w.roster.MarkFailed("e1")
			}
		}, all(suspect), nil},
		{"silent and unreachable", func(w *world) { w.silent, w.probeErr = true, errDown; w.wait(3 * time.Second) }, all(suspect), nil},
		{"back with another incarnation", func(w *world) {
			w.roster.MarkRefused("e1")
			w.load.Incarnation = "i2"
			w.wait(2 * time.Second)
		}, all(live), []qm.Incarnation{"i2"}},
		{"leaving although the list lags", func(w *world) { w.load.Leaving = true; w.wait(5 * time.Second) }, all(leaving), nil},
		{"said leaving in an answer", func(w *world) { w.roster.MarkLeaving("e1", "i1"); w.wait(5 * time.Second) }, all(leaving), nil},
		{"left and restarted", func(w *world) {
			w.roster.MarkLeaving("e1", "i1")
			w.roster.MarkSucceeded("e1", "i2")
		}, all(live), []qm.Incarnation{"i2"}},
		{"leaving by a peer's hint", func(w *world) {
			w.roster.ApplyHint(roster.Hint{Endpoint: "e1", Incarnation: "i1", Kind: roster.HintLeaving})
		}, all(leaving), nil},
		{"leaving hint for an ended incarnation", func(w *world) {
			w.roster.ApplyHint(roster.Hint{Endpoint: "e1", Incarnation: "i0", Kind: roster.HintLeaving})
		}, all(live), nil},
		{"failed hint from a peer that is cut off itself", func(w *world) {
			w.roster.ApplyHint(roster.Hint{Endpoint: "e1", Incarnation: "i1", Kind: roster.HintFailed})
			w.wait(0)
		}, all(live), nil},
		{"failed hint confirmed by the probe", func(w *world) {
			w.probeErr = errDown
			w.roster.ApplyHint(roster.Hint{Endpoint: "e1", Incarnation: "i1", Kind: roster.HintFailed})
			w.wait(0)
		}, all(suspect), nil},
		{"list down", func(w *world) { w.listErr = errDown; w.wait(time.Minute) }, all(live), nil},
		{"list empty", func(w *world) { w.members, w.endpoints = nil, nil; w.wait(time.Minute) }, all(live), nil},
		{"list drops members", func(w *world) {
			w.members, w.endpoints = w.members[:1], w.endpoints[1:]
			w.wait(3 * time.Second)
		}, states{"r1": live, "r2": live, "e2": live}, nil},
		{"router does not answer", func(w *world) { w.roster.MarkPeerFailed("r2", time.Now()); w.wait(time.Minute) },
			states{"r1": live, "r2": suspect, "r3": live, "e1": live, "e2": live}, nil},
		{"router answers again", func(w *world) {
			w.roster.MarkPeerFailed("r2", time.Now())
			w.roster.ApplyPeerState(roster.PeerState{Instance: "r2", Incarnation: "a"}, true)
		}, all(live), nil},
		{"call that began before the router was heard fails late", func(w *world) {
			began := time.Now()
			w.wait(time.Second)
			w.roster.ApplyPeerState(roster.PeerState{Instance: "r2", Incarnation: "a"}, true)
			w.roster.MarkPeerFailed("r2", began)
		}, all(live), nil},
		{"router leaves although the list lags", func(w *world) {
			w.roster.ApplyPeerState(roster.PeerState{Instance: "r2", Incarnation: "a", Version: 2, Leaving: true}, false)
			w.roster.ApplyPeerState(roster.PeerState{Instance: "r2", Incarnation: "a", Version: 1}, true)
			w.wait(time.Minute)
		}, states{"r1": live, "r2": leaving, "r3": live, "e1": live, "e2": live}, nil},
		{"this router stops", func(w *world) { w.board.Leaving.Store(true); w.wait(time.Second) },
			states{"r1": leaving, "r2": live, "r3": live, "e1": live, "e2": live}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &world{}
				w.start(t)
				defer w.roster.Close()
				c.do(w)
				w.mu.Unlock()
				if d := cmp.Diff(c.want, w.states()); d != "" {
					t.Error(d)
				}
				if d := cmp.Diff(c.changed, w.changed); d != "" {
					t.Errorf("incarnations announced: %s", d)
				}
			})
		})
	}
}
