package order_test

import (
	"context"
	"fmt"
	"slices"
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

const (
	engines  = 12
	loadTime = 2 * time.Second
	// slowDelay is the delay of a slow command.
	slowDelay = order.MaxCommandDelay - 100*time.Millisecond
	// runsPerCase is the number of runs of each case, with and without fencing. The order of concurrent routers varies.
	runsPerCase = 4
)

// engine is a fake engine. While it loads, it serves nothing and its version is empty.
type engine struct {
	view            qm.Endpoint
	fence           qm.Offset
	lastVersion     qm.VersionID // of the last command
	loads           int          // number of loads and crashes; a change cancels the current load
	refusesCommands bool
}

// fleet is a set of fake engines in three groups, with the observed loads and commands.
type fleet struct {
	t       *testing.T
	board   *board.Board
	log     *logsrv.Store
	fences  bool
	version qm.VersionID

	mu              sync.Mutex
	engines         []*engine
	maxLoads        int
	maxOutOfService map[qm.GroupID]int
	sent            []command
	highestFence    map[qm.EndpointID]qm.Offset // highest fence of a sent command
}

type command struct {
	at      time.Time
	version qm.VersionID
}

func newFleet(t *testing.T, fences bool) *fleet {
	f := &fleet{t: t, board: board.New(), log: logsrv.New(logsrv.Options{}), fences: fences, maxOutOfService: make(map[qm.GroupID]int),
		highestFence: make(map[qm.EndpointID]qm.Offset)}
	for i := range engines {
		f.engines = append(f.engines, &engine{view: qm.Endpoint{
			ID: qm.EndpointID(fmt.Sprintf("e%02d", i)), Kind: qm.KindEngine, Group: group(i), State: qm.Live, Incarnation: "1", Version: "v1",
		}})
	}
	f.setVersion("v2")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish()
	return f
}

// groups have four engines each, so that one engine of each may be out of service. Without the limit of two concurrent
// loads, three engines would load at the same time.
var groups = []qm.GroupID{"g", "h", "i"}

func group(i int) qm.GroupID { return groups[i*len(groups)/engines] }

// setVersion stores a configuration table with another version of all models.
func (f *fleet) setVersion(v qm.VersionID) {
	f.version = v
	c := &qm.Config{Models: make(map[qm.ModelID]*qm.Model), Groups: make(map[qm.GroupID]*qm.Group)}
	for _, g := range groups {
		m := qm.ModelID("model-" + g)
		c.Models[m] = &qm.Model{ID: m, Group: g, Version: v}
		c.Groups[g] = &qm.Group{ID: g, SupportsFencing: f.fences, Role: "mixed"}
	}
	f.board.Table.Store(c)
}

// publish stores the endpoints and updates the observed maxima. The caller must hold f.mu.
func (f *fleet) publish() {
	var all qm.Endpoints
	loads, out := 0, make(map[qm.GroupID]int)
	for _, e := range f.engines {
		v := e.view
		all = append(all, &v)
		if v.Version == "" {
			loads++
			f.maxLoads = max(f.maxLoads, loads)
			out[v.Group]++
			f.maxOutOfService[v.Group] = max(f.maxOutOfService[v.Group], out[v.Group])
		}
	}
	f.board.Endpoints.Store(all)
}

// start starts a router. Every other one of its commands is delayed, also beyond the end of its context.
func (f *fleet) start(name string, log qm.Log, delay time.Duration, owned ...qm.EndpointID) *order.Controller {
	return order.New(f.t.Context(), order.Options{
		Log: log, Board: f.board, Holder: name, Engines: client{f, delay, new(atomic.Int64)},
		Owner: func(id qm.EndpointID) bool { return len(owned) == 0 || slices.Contains(owned, id) },
	})
}

type client struct {
	f        *fleet
	delay    time.Duration // delay of every other command
	commands *atomic.Int64
}

// connectionTimeout is the time after which the connection of a delayed command breaks.
const connectionTimeout = 200 * time.Millisecond

// Desire implements order.Engines. It returns an error if the command is delayed, but the command still arrives.
func (c client) SetDesired(ctx context.Context, e *qm.Endpoint, fence qm.Offset, v qm.VersionID, _ []qm.AdapterID, _ string) error {
	f := c.f
	f.mu.Lock()
	f.sent = append(f.sent, command{time.Now(), v})
	if f.highestFence[e.ID] > fence {
		f.t.Errorf("a command for %s was sent with fence %d after one with %d", e.ID, fence, f.highestFence[e.ID])
	}
	f.highestFence[e.ID] = fence
	f.mu.Unlock()
	delay := time.Duration(0)
	if c.commands.Add(1)%2 == 1 {
		delay = c.delay
	}
	answer := make(chan error, 1)
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, en := range f.engines {
			if en.view.ID == e.ID {
				answer <- f.deliver(en, fence, v)
			}
		}
	})
	select {
	case err := <-answer:
		return err
	case <-time.After(connectionTimeout):
		return errors.New("connection lost")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deliver executes a command at an engine. The caller must hold f.mu.
func (f *fleet) deliver(e *engine, fence qm.Offset, v qm.VersionID) error {
	if e.refusesCommands {
		return qm.Refuse(qm.CodeEndpointFailed, "desire", "refused")
	}
	if fence < e.fence {
		if !f.fences && v != e.lastVersion {
			f.t.Errorf("%s got a command for %s with fence %d after one for %s with %d", e.view.ID, v, fence, e.lastVersion, e.fence)
		}
		return errors.New("stale fence")
	}
	if fence == e.fence && v != e.lastVersion {
		f.t.Errorf("%s got commands for %s and %s with fence %d", e.view.ID, e.lastVersion, v, fence)
	}
	e.fence, e.lastVersion = fence, v
	if e.view.Version == v {
		return nil
	}
	e.loads++
	e.view.Version = ""
	f.publish()
	load := e.loads
	time.AfterFunc(loadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
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

// outdated returns the engines that do not have the version of the configuration table.
func (f *fleet) outdated() (ids []qm.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if e.view.Version != f.version {
			ids = append(ids, e.view.ID)
		}
	}
	return ids
}

// pausedLog delays the result of the first append, as in a process that is paused during the append.
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

// sentBetween returns the number of commands for a version, or for any version if v is empty, that were sent in an
// interval.
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

// changeAfter starts a router, changes the configuration table after wait, and checks that no command for the old version
// is sent after that.
func (f *fleet) changeAfter(wait, delay time.Duration) *order.Controller {
	a := f.start("a", f.log, delay)
	time.Sleep(wait)
	f.setVersion("v3")
	changed := time.Now()
	time.Sleep(time.Minute)
	if n := f.sentBetween(changed.Add(time.Millisecond), time.Now(), "v2"); n > 0 {
		f.t.Errorf("%d commands for the old version after the change", n)
	}
	return a
}

// TestRollOut guards against an engine that keeps the old version or executes an older command after a newer one, against
// more than two concurrent loads, and against a rollout that takes more than a quarter of a group out of service.
func TestRollOut(t *testing.T) {
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
		{"two routers take engines of one group", func(_ *testing.T, f *fleet) []*order.Controller {
			f.log.SetFaults(logsrv.Faults{DelayMs: 50})
			return []*order.Controller{f.start("a", f.log, 0, "e05"), f.start("b", f.log, 0)}
		}},
		{"holder paused while it claims", func(_ *testing.T, f *fleet) []*order.Controller {
			a := f.start("a", &pausedLog{Log: f.log, pause: 9 * time.Second}, 0)
			time.Sleep(time.Second)
			return []*order.Controller{a, f.start("b", f.log, 0)}
		}},
		{"holder paused while it sends", func(_ *testing.T, f *fleet) []*order.Controller {
			a := f.start("a", f.log, slowDelay)
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
			f.update(3, func(e *engine) { e.refusesCommands = true })
			a := f.start("a", f.log, 0)
			time.Sleep(2 * time.Minute)
			if ids := f.outdated(); len(ids) != 1 || ids[0] != "e03" {
				t.Errorf("outdated engines: %v, want only the engine that refuses commands", ids)
			}
			failed := false
			for range 200 {
				time.Sleep(100 * time.Millisecond)
				p := a.Progress()[3]
				failed = failed || p.Step == order.Failed && p.Error == "command to e03: desire: refused" && p.Desired == "v2"
			}
			if !failed {
				t.Errorf("Progress() never reported the failure: %+v", a.Progress()[3])
			}
			f.update(3, func(e *engine) { e.refusesCommands = false })
			return []*order.Controller{a}
		}},
		{"engine crashes during load", func(_ *testing.T, f *fleet) []*order.Controller {
			a := f.start("a", f.log, 0)
			time.Sleep(time.Second)
			f.update(0, func(e *engine) { e.loads++; e.view.Incarnation = "2"; e.view.Version = "v1"; e.fence = 0 })
			return []*order.Controller{a}
		}},
		{"table changes after a lost connection", func(_ *testing.T, f *fleet) []*order.Controller {
			return []*order.Controller{f.changeAfter(500*time.Millisecond, slowDelay)}
		}},
		{"table changes while a repeated command travels", func(_ *testing.T, f *fleet) []*order.Controller {
			return []*order.Controller{f.changeAfter(3*time.Second, slowDelay)}
		}},
		{"holder dies while a command travels", func(_ *testing.T, f *fleet) []*order.Controller {
			a := f.start("a", f.log, slowDelay)
			time.Sleep(50 * time.Millisecond) // the first claim is that of a
			b := f.start("b", f.log, 0)
			time.Sleep(450 * time.Millisecond)
			a.Close()
			f.setVersion("v3")
			return []*order.Controller{b}
		}},
		{"table changes during load", func(_ *testing.T, f *fleet) []*order.Controller {
			return []*order.Controller{f.changeAfter(3500*time.Millisecond, 0)}
		}},
	}
	for _, tt := range tests {
		for i := range 2 * runsPerCase {
			fences := i%2 == 0
			t.Run(fmt.Sprintf("%s/fences=%v", tt.name, fences), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, fences)
					routers := tt.run(t, f)
					time.Sleep(4 * time.Minute)
					if ids := f.outdated(); len(ids) > 0 {
						t.Errorf("outdated engines: %v, want none", ids)
					}
					if f.maxLoads != 2 {
						t.Errorf("%d concurrent loads at most, want 2", f.maxLoads)
					}
					for g, n := range f.maxOutOfService {
						if n > 1 {
							t.Errorf("%d of 4 engines of group %s out of service at once", n, g)
						}
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
