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

// fixture is the instance list and the endpoints of the roster under test. The test holds mu except while it waits.
type fixture struct {
	mu        sync.Mutex
	board     *board.Board
	roster    *roster.Roster
	members   []qm.Member
	endpoints []*qm.Endpoint
	load      roster.Report
	// silent makes e1 accept a load request without answering.
	silent                     bool
	listErr, loadErr, probeErr error

	changedMu sync.Mutex
	changed   []qm.Incarnation
}

func (f *fixture) start(t *testing.T) {
	f.board = board.New()
	f.members = []qm.Member{{Instance: "r2", PeerAddress: "r2:1", State: qm.Live}, {Instance: "r3", PeerAddress: "r3:1", State: qm.Live}}
	f.endpoints = []*qm.Endpoint{{ID: "e1", Kind: qm.KindEngine, State: qm.Live}, {ID: "e2", Kind: qm.KindEngine, State: qm.Live}}
	f.load = roster.Report{Incarnation: "i1"}
	f.roster = roster.New(t.Context(), roster.Options{
		Board: f.board, Self: qm.Member{Instance: "r1"}, PollsPerRound: 10,
		List: func(context.Context) ([]qm.Member, []*qm.Endpoint, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.members, f.endpoints, f.listErr
		},
		FetchReport: func(ctx context.Context, e *qm.Endpoint) (roster.Report, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if e.ID != "e1" {
				return roster.Report{Incarnation: "j1"}, nil
			}
			if f.silent {
				f.mu.Unlock()
				<-ctx.Done()
				f.mu.Lock()
				return roster.Report{}, ctx.Err()
			}
			return f.load, f.loadErr
		},
		Probe: func(context.Context, *qm.Endpoint) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.probeErr
		},
		OnRestart: func(_ qm.EndpointID, i qm.Incarnation) {
			f.changedMu.Lock()
			defer f.changedMu.Unlock()
			f.changed = append(f.changed, i)
		},
	})
	f.roster.MarkUsed("e1")
	f.mu.Lock()
	f.wait(3 * time.Second)
}

func (f *fixture) wait(d time.Duration) {
	f.mu.Unlock()
	defer f.mu.Lock()
	time.Sleep(d)
	synctest.Wait()
}

func (f *fixture) states() map[string]qm.MemberState {
	out := map[string]qm.MemberState{}
	m, _ := f.board.Members.Load()
	for _, x := range m {
		out[string(x.Instance)] = x.State
	}
	e, _ := f.board.Endpoints.Load()
	for _, x := range e {
		out[string(x.ID)] = x.State
	}
	return out
}

// TestFailures runs each membership failure and compares the resulting states on the board, which placement uses.
func TestFailures(t *testing.T) {
	const live, leaving, suspect = qm.Live, qm.Leaving, qm.Suspect
	type states = map[string]qm.MemberState
	all := func(e1 qm.MemberState) states {
		return states{"r1": live, "r2": live, "r3": live, "e1": e1, "e2": live}
	}
	for _, c := range []struct {
		name    string
		do      func(*fixture)
		want    states
		changed []qm.Incarnation
	}{
		{"crashed endpoint refuses connections", func(f *fixture) { f.roster.MarkRefused("e1") }, all(suspect), nil},
		{"crashed endpoint answers again", func(f *fixture) { f.roster.MarkRefused("e1"); f.wait(2 * time.Second) }, all(live), nil},
		{"crash seen by the load poll", func(f *fixture) { f.loadErr, f.probeErr = errDown, errDown; f.wait(2 * time.Second) }, all(suspect), nil},
		{"one failure with a working new connection", func(f *fixture) { f.roster.MarkFailed("e1"); f.wait(0) }, all(live), nil},
		{"takes connections but answers nothing", func(f *fixture) {
			for range roster.FailuresToSuspect {
				f.roster.MarkFailed("e1")
			}
		}, all(suspect), nil},
		{"silent and unreachable", func(f *fixture) { f.silent, f.probeErr = true, errDown; f.wait(3 * time.Second) }, all(suspect), nil},
		{"back with another incarnation", func(f *fixture) {
			f.roster.MarkRefused("e1")
			f.load.Incarnation = "i2"
			f.wait(2 * time.Second)
		}, all(live), []qm.Incarnation{"i2"}},
		{"leaving although the list lags", func(f *fixture) { f.load.Leaving = true; f.wait(5 * time.Second) }, all(leaving), nil},
		{"said leaving in an answer", func(f *fixture) { f.roster.MarkLeaving("e1", "i1"); f.wait(5 * time.Second) }, all(leaving), nil},
		{"said leaving, dropped from the list and listed again", func(f *fixture) {
			f.roster.MarkLeaving("e1", "i1")
			listed := f.endpoints
			f.endpoints = listed[1:]
			f.wait(3 * time.Second)
			f.endpoints = listed
			f.wait(3 * time.Second)
		}, all(leaving), nil},
		{"said leaving in an old answer, after the restart", func(f *fixture) {
			f.load.Incarnation = "i2"
			f.wait(2 * time.Second)
			f.roster.MarkLeaving("e1", "i1")
		}, all(live), []qm.Incarnation{"i2"}},
		{"said leaving before it was listed", func(f *fixture) {
			listed := f.endpoints
			f.endpoints = listed[1:]
			f.wait(3 * time.Second)
			f.roster.MarkLeaving("e1", "i1")
			f.endpoints = listed
			f.wait(3 * time.Second)
		}, all(leaving), nil},
		{"left and restarted", func(f *fixture) {
			f.roster.MarkLeaving("e1", "i1")
			f.roster.MarkSucceeded("e1", "i2")
		}, all(live), []qm.Incarnation{"i2"}},
		{"leaving by a peer's hint", func(f *fixture) {
			f.roster.ApplyHint(roster.Hint{Endpoint: "e1", Incarnation: "i1", Kind: roster.HintLeaving})
		}, all(leaving), nil},
		{"leaving hint for an ended incarnation", func(f *fixture) {
			f.roster.ApplyHint(roster.Hint{Endpoint: "e1", Incarnation: "i0", Kind: roster.HintLeaving})
		}, all(live), nil},
		{"failed hint from a peer that is cut off itself", func(f *fixture) {
			f.roster.ApplyHint(roster.Hint{Endpoint: "e1", Incarnation: "i1", Kind: roster.HintFailed})
			f.wait(0)
		}, all(live), nil},
		{"failed hint confirmed by the probe", func(f *fixture) {
			f.probeErr = errDown
			f.roster.ApplyHint(roster.Hint{Endpoint: "e1", Incarnation: "i1", Kind: roster.HintFailed})
			f.wait(0)
		}, all(suspect), nil},
		{"list down", func(f *fixture) { f.listErr = errDown; f.wait(time.Minute) }, all(live), nil},
		{"list empty", func(f *fixture) { f.members, f.endpoints = nil, nil; f.wait(time.Minute) }, all(live), nil},
		{"list drops members", func(f *fixture) {
			f.members, f.endpoints = f.members[:1], f.endpoints[1:]
			f.wait(3 * time.Second)
		}, states{"r1": live, "r2": live, "e2": live}, nil},
		{"unlisted routers, one of which does not answer", func(f *fixture) {
			f.roster.MarkPeerFailed("r2", time.Now())
			f.members = []qm.Member{{Instance: "r2", Unlisted: true}, {Instance: "r3", Unlisted: true}, {Instance: "r4", Unlisted: true}}
			f.wait(3 * time.Second)
		}, states{"r1": live, "r3": live, "e1": live, "e2": live}, nil},
		{"router does not answer", func(f *fixture) { f.roster.MarkPeerFailed("r2", time.Now()); f.wait(time.Minute) },
			states{"r1": live, "r2": suspect, "r3": live, "e1": live, "e2": live}, nil},
		{"router answers again", func(f *fixture) {
			f.roster.MarkPeerFailed("r2", time.Now())
			f.roster.ApplyPeerState(roster.PeerState{Instance: "r2", Incarnation: "a"}, true)
		}, all(live), nil},
		{"call that began before the router was heard fails late", func(f *fixture) {
			began := time.Now()
			f.wait(time.Second)
			f.roster.ApplyPeerState(roster.PeerState{Instance: "r2", Incarnation: "a"}, true)
			f.roster.MarkPeerFailed("r2", began)
		}, all(live), nil},
		{"router leaves although the list lags", func(f *fixture) {
			f.roster.ApplyPeerState(roster.PeerState{Instance: "r2", Incarnation: "a", Version: 2, Leaving: true}, false)
			f.roster.ApplyPeerState(roster.PeerState{Instance: "r2", Incarnation: "a", Version: 1}, true)
			f.wait(time.Minute)
		}, states{"r1": live, "r2": leaving, "r3": live, "e1": live, "e2": live}, nil},
		{"this router stops", func(f *fixture) { f.board.Leaving.Store(true); f.wait(time.Second) },
			states{"r1": leaving, "r2": live, "r3": live, "e1": live, "e2": live}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{}
				f.start(t)
				defer f.roster.Close()
				c.do(f)
				f.mu.Unlock()
				if d := cmp.Diff(c.want, f.states()); d != "" {
					t.Error(d)
				}
				if d := cmp.Diff(c.changed, f.changed); d != "" {
					t.Errorf("incarnations passed to OnRestart (-want +got):\n%s", d)
				}
			})
		})
	}
}
