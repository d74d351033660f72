package order_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/state/order"
)

const loadTime = 2 * time.Second

// engine is a fake engine. It serves nothing while it loads.
type engine struct {
	view    qm.Endpoint
	fence   qm.Offset
	loads   int // generation, so that a crash stops the load
	refuses bool
}

// fleet is a group of fake engines and what was observed of them.
type fleet struct {
	t       *testing.T
	board   *board.Board
	log     *logsrv.Store
	fences  bool
	version qm.VersionID

	mu                 sync.Mutex
	engines            []*engine
	loading            int
	mostLoads, mostOut int
	sent               []command
}

type command struct {
	at      time.Time
	version qm.VersionID
}

func newFleet(t *testing.T, n int, fences bool) *fleet {
	f := &fleet{t: t, board: board.New(), log: logsrv.New(logsrv.Options{}), fences: fences}
	for i := range n {
		f.engines = append(f.engines, &engine{view: qm.Endpoint{
			ID: qm.EndpointID(fmt.Sprintf("e%02d", i)), Kind: qm.KindEngine, Group: "g", State: qm.Live, Incarnation: "1", Version: "v1",
		}})
	}
	f.change("v2")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish()
	return f
}

// change puts a table with another version in force.
func (f *fleet) change(v qm.VersionID) {
	f.version = v
	f.board.Table.Store(&qm.Config{
		Models: map[qm.ModelID]*qm.Model{"m": {ID: "m", Group: "g", Version: v}},
		Groups: map[qm.GroupID]*qm.Group{"g": {ID: "g", Fences: f.fences, Role: "mixed"}},
	})
}

func (f *fleet) publish() {
	var all qm.Endpoints
	out := 0
	for _, e := range f.engines {
		v := e.view
		all = append(all, &v)
		if v.Version == "" {
			out++
		}
	}
	f.mostOut = max(f.mostOut, out)
	f.board.Endpoints.Store(all)
}

// start starts a router whose commands travel for some time, whatever its context says.
func (f *fleet) start(name string, log qm.Log, travel time.Duration) *order.Controller {
	return order.New(f.t.Context(), order.Options{
		Log: log, Board: f.board, Holder: name, Engines: client{f, travel}, Owner: func(qm.EndpointID) bool { return true },
	})
}

type client struct {
	f      *fleet
	travel time.Duration
}

func (c client) Desire(_ context.Context, e *qm.Endpoint, fence qm.Offset, v qm.VersionID, _ []qm.AdapterID, _ string) error {
	f := c.f
	f.mu.Lock()
	f.sent = append(f.sent, command{time.Now(), v})
	f.mu.Unlock()
	time.Sleep(c.travel)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, en := range f.engines {
		if en.view.ID == e.ID {
			return f.arrive(en, fence, v)
		}
	}
	return errors.New("no such engine")
}

func (f *fleet) arrive(e *engine, fence qm.Offset, v qm.VersionID) error {
	if e.refuses {
		return errors.New("refused")
	}
	if fence < e.fence {
		if !f.fences {
			f.t.Errorf("%s got a command with fence %d after %d", e.view.ID, fence, e.fence)
		}
		return errors.New("stale fence")
	}
	e.fence = fence
	if e.view.Version == v {
		return nil
	}
	e.loads++
	f.loading++
	f.mostLoads = max(f.mostLoads, f.loading)
	e.view.Version = ""
	f.publish()
	load := e.loads
	time.AfterFunc(loadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.loading--
		if e.loads == load {
			e.view.Version = v
			f.publish()
		}
	})
	return nil
}

func (f *fleet) update(i int, change func(*engine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.engines[i])
	f.publish()
}

// behind returns the engines that do not have the version of the table.
func (f *fleet) behind() (ids []qm.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if e.view.Version != f.version {
			ids = append(ids, e.view.ID)
		}
	}
	return ids
}

// pausedLog answers the first append only after a while, as for a process that was paused.
type pausedLog struct {
	qm.Log
	paused atomic.Bool
	pause  time.Duration
}

func (l *pausedLog) Append(ctx context.Context, id qm.StreamID, r [][]byte) (qm.Offset, error) {
	off, err := l.Log.Append(ctx, id, r)
	if l.paused.CompareAndSwap(false, true) {
		time.Sleep(l.pause)
	}
	return off, err
}

func (f *fleet) sentBetween(from, to time.Time, v qm.VersionID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.sent {
		if !c.at.Before(from) && c.at.Before(to) && (v == "" || c.version == v) {
			n++
		}
	}
	return n
}

// TestRollOut guards against an engine that stays behind or takes an older command after a newer one, against more than two
// loads at once, and against a roll-out that takes more than a quarter of the group out of service.
func TestRollOut(t *testing.T) {
	const engines = 8
	tests := []struct {
		name string
		run  func(t *testing.T, f *fleet) []*order.Controller
	}{
		{"one router", func(_ *testing.T, f *fleet) []*order.Controller {
			return []*order.Controller{f.start("a", f.log, 0)}
		}},
		{"three routers", func(_ *testing.T, f *fleet) []*order.Controller {
			return []*order.Controller{f.start("a", f.log, 0), f.start("b", f.log, 0), f.start("c", f.log, 0)}
		}},
		{"holder paused while it claims", func(_ *testing.T, f *fleet) []*order.Controller {
			a := f.start("a", &pausedLog{Log: f.log, pause: 9 * time.Second}, 0)
			time.Sleep(time.Second)
			return []*order.Controller{a, f.start("b", f.log, 0)}
		}},
		{"holder paused while it sends", func(_ *testing.T, f *fleet) []*order.Controller {
			a := f.start("a", f.log, qm.LeaseTime+order.LongestDelay-time.Second)
			time.Sleep(time.Second)
			return []*order.Controller{a, f.start("b", f.log, 0)}
		}},
		{"log down", func(t *testing.T, f *fleet) []*order.Controller {
			a := f.start("a", f.log, 0)
			time.Sleep(1500 * time.Millisecond)
			f.log.SetFaults(logsrv.Faults{Down: true})
			down := time.Now()
			time.Sleep(20 * time.Second)
			if n := f.sentBetween(down.Add(qm.LeaseTime), time.Now(), ""); n > 0 {
				t.Errorf("%d commands without a lease", n)
			}
			f.log.SetFaults(logsrv.Faults{})
			return []*order.Controller{a}
		}},
		{"engine refuses", func(t *testing.T, f *fleet) []*order.Controller {
			f.update(3, func(e *engine) { e.refuses = true })
			a := f.start("a", f.log, 0)
			time.Sleep(2 * time.Minute)
			if ids := f.behind(); len(ids) != 1 || ids[0] != "e03" {
				t.Errorf("behind are %v, want only the engine that refuses", ids)
			}
			failed := false
			for range 200 {
				time.Sleep(100 * time.Millisecond)
				p := a.Progress()[3]
				failed = failed || p.Step == order.Failed && p.Error == "command to e03: refused" && p.Desired == "v2"
			}
			if !failed {
				t.Errorf("progress never showed the failure: %+v", a.Progress()[3])
			}
			f.update(3, func(e *engine) { e.refuses = false })
			return []*order.Controller{a}
		}},
		{"engine crashes during load", func(_ *testing.T, f *fleet) []*order.Controller {
			a := f.start("a", f.log, 0)
			time.Sleep(time.Second)
			f.update(0, func(e *engine) { e.loads++; e.view.Incarnation = "2"; e.view.Version = "v1"; e.fence = 0 })
			return []*order.Controller{a}
		}},
		{"table changes during load", func(t *testing.T, f *fleet) []*order.Controller {
			a := f.start("a", f.log, 0)
			time.Sleep(3 * time.Second)
			f.change("v3")
			changed := time.Now()
			time.Sleep(time.Minute)
			if n := f.sentBetween(changed.Add(time.Millisecond), time.Now(), "v2"); n > 0 {
				t.Errorf("%d commands for the old weights after the change", n)
			}
			return []*order.Controller{a}
		}},
	}
	for _, tt := range tests {
		for _, fences := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/fences=%v", tt.name, fences), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, engines, fences)
					routers := tt.run(t, f)
					time.Sleep(4 * time.Minute)
					if ids := f.behind(); len(ids) > 0 {
						t.Errorf("behind are %v", ids)
					}
					if f.mostLoads > order.Slots {
						t.Errorf("%d loads at once", f.mostLoads)
					}
					if f.mostOut > engines/order.OutShare {
						t.Errorf("%d engines of %d out of service at once", f.mostOut, engines)
					}
					for _, c := range routers {
						for _, p := range c.Progress() {
							if p.Step != order.Current {
								t.Errorf("progress %+v", p)
							}
						}
						c.Close()
					}
				})
			})
		}
	}
}
