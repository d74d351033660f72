package config_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/state/config"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

const (
	routers   = 3
	retention = 30 * time.Second
	// longestFault keeps an outage plus a late append below half of the retention time. Beyond a whole retention time
	// without the log nobody can read what was appended late.
	longestFault = 8 * time.Second
)

// world is a log with readers and editors, and what they observed.
type world struct {
	ctx    context.Context
	log    *logsrv.Store
	work   sync.WaitGroup
	nodes  [routers]*node
	shift  int          // chooses the owner of the snapshots
	noPeer bool         // peers do not answer
	slow   atomic.Int64 // milliseconds that answers of the log and of peers travel

	mu     sync.Mutex
	seen   map[qm.Offset]string // content of the table by offset
	values map[string]bool      // team and weight of every row that was ever in force
	edits  []*attempt
	faults []string
}

// node is one router; it is restarted with an empty memory.
type node struct {
	board *board.Board
	ctrl  *config.Controller
	stop  context.CancelFunc
}

// attempt is one edit of an operator.
type attempt struct {
	team, weight string // weight is unique among all edits; empty for a deletion
	base         qm.Offset
	out          config.Outcome
	err          error
}

func newWorld(ctx context.Context, seed uint64) *world {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rnd.Float64()
	}
	w := &world{
		ctx: ctx, seen: make(map[qm.Offset]string), values: make(map[string]bool),
		log: logsrv.New(logsrv.Options{Retention: retention, Random: random}),
	}
	for i := range w.nodes {
		w.start(i)
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) start(i int) {
	floor := w.floor()
	ctx, stop := context.WithCancel(w.ctx)
	n := &node{board: board.New(), stop: stop}
	w.mu.Lock()
	w.nodes[i] = n
	w.mu.Unlock()
	c := config.New(ctx, config.Options{
		Log: slowLog{w.log, w}, Board: n.board, Fetch: func(ctx context.Context, after qm.Offset) ([]byte, qm.Offset, error) {
			return w.fetch(ctx, i, after)
		},
		Owner: func() bool { return w.owns(i) }, Retention: retention, PartRows: 1, PartsPerAppend: 2,
	})
	w.mu.Lock()
	n.ctrl = c
	w.mu.Unlock()
	w.work.Go(func() { w.watch(ctx, i, n, floor) })
}

// floor returns the lowest offset in force on the running routers, below which a restarted one must not begin.
func (w *world) floor() qm.Offset {
	var low qm.Offset
	for _, n := range w.running() {
		if off := n.ctrl.Offset(); low == 0 || off < low {
			low = off
		}
	}
	return low
}

func (w *world) running() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*node
	for _, n := range w.nodes {
		if n != nil && n.ctrl != nil {
			out = append(out, n)
		}
	}
	return out
}

func (w *world) restart(i int) {
	w.mu.Lock()
	n := w.nodes[i]
	w.nodes[i] = nil
	w.mu.Unlock()
	n.stop()
	n.ctrl.Close()
	w.start(i)
}

func (w *world) owns(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return (i+w.shift)%routers == 0 || w.shift == routers && i < 2 // the last case has two owners
}

// fetch asks the other routers and returns the newest answer.
func (w *world) fetch(ctx context.Context, i int, after qm.Offset) (data []byte, off qm.Offset, err error) {
	w.mu.Lock()
	cut, self := w.noPeer, w.nodes[i]
	w.mu.Unlock()
	if cut {
		return nil, 0, errors.New("no peer answers")
	}
	for _, n := range w.running() {
		if n == self {
			continue
		}
		if d, o, err := n.ctrl.Snapshot(after); err == nil && o > off {
			data, off = d, o
		}
	}
	w.travel()
	return data, off, ctx.Err()
}

func (w *world) travel() { time.Sleep(time.Duration(w.slow.Load()) * time.Millisecond) }

// slowLog gives answers to reads that are old when they arrive.
type slowLog struct {
	qm.Log
	w *world
}

func (l slowLog) Read(ctx context.Context, id qm.StreamID, from qm.Offset, limit int, wait time.Duration) (qm.Batch, error) {
	b, err := l.Log.Read(ctx, id, from, limit, wait)
	l.w.travel()
	return b, err
}

// tear appends a snapshot that lacks one of its parts, as a faulty writer would.
func (w *world) tear(i int) {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	t, err := config.NewEditor(w.log, nil).Load(ctx)
	if err != nil {
		return
	}
	records, err := t.Snapshot(qm.AttemptID(fmt.Sprintf("torn-%d", t.Offset())), 1)
	if err != nil {
		w.fail("torn snapshot: %v", err)
	}
	if len(records) > 1 {
		i %= len(records) - 1
		w.log.Append(ctx, config.Stream, slices.Delete(records, i, i+1))
	}
}

// watch checks every table that a router puts in force.
func (w *world) watch(ctx context.Context, i int, n *node, last qm.Offset) {
	for ctx.Err() == nil {
		changed := n.board.Table.Changed()
		if c, ok := n.board.Table.Load(); ok {
			if c.Offset < last {
				w.fail("router %d went back from offset %d to %d", i, last, c.Offset)
			}
			last = c.Offset
			w.observe(c)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (w *world) observe(c *qm.Config) {
	var rows []string
	w.mu.Lock()
	for _, id := range slices.Sorted(maps.Keys(c.Teams)) {
		value := fmt.Sprintf("%s=%v", id, c.Teams[id].Weight)
		w.values[value] = true
		rows = append(rows, value)
	}
	content := strings.Join(rows, " ")
	old, ok := w.seen[c.Offset]
	w.seen[c.Offset] = content
	w.mu.Unlock()
	if ok && old != content {
		w.fail("offset %d has the contents %q and %q", c.Offset, old, content)
	}
}

// edit runs the command line of one operator, who thinks before the edit is sent.
func (w *world) edit(s step) {
	a := &attempt{team: fmt.Sprintf("t%d", s.Team)}
	w.mu.Lock()
	w.edits = append(w.edits, a)
	weight := fmt.Sprint(len(w.edits))
	w.mu.Unlock()
	w.work.Go(func() {
		ctx, cancel := context.WithTimeout(w.ctx, time.Duration(s.PatienceMs)*time.Millisecond)
		defer cancel()
		e := config.NewEditor(w.log, nil)
		t, err := e.Load(ctx)
		if err != nil {
			a.out.Result = config.NotApplied
			a.weight = weight
			return
		}
		w.observe(t.Config()) // the command line is a reader, too, and has no peers
		key := table.Key{Kind: table.Team, Name: a.team}
		change := t.Set(key, map[string]string{"Key": table.HashKey(a.team), "Weight": weight})
		if s.Delete && change.Base > 0 {
			change = table.Change{Key: key, Base: change.Base, Delete: true}
		} else {
			a.weight = weight
		}
		a.base = change.Base
		time.Sleep(time.Duration(s.ThinkMs) * time.Millisecond)
		a.out, a.err = e.Apply(ctx, []table.Change{change})
	})
}

// check compares the final tables with the outcomes that the operators were told.
func (w *world) check() {
	ctx, cancel := context.WithTimeout(w.ctx, retention)
	defer cancel()
	fresh, err := config.NewEditor(w.log, nil).Load(ctx)
	if err != nil {
		w.fail("a new reader: %v", err)
		return
	}
	for i, n := range w.nodes {
		if s := n.ctrl.State(); s.Offset != fresh.Offset() && fresh.Offset() > 0 || s.Digest != fresh.Digest() {
			w.fail("router %d ends with offset %d digest %x, a new reader with %d %x", i, s.Offset, s.Digest, fresh.Offset(), fresh.Digest())
		}
	}
	bases := make(map[string]bool)
	for _, a := range w.edits {
		if a.err != nil {
			w.fail("edit of %s: %v", a.team, a.err)
		}
		switch a.out.Result {
		case config.Accepted:
			base := fmt.Sprintf("%s %d", a.team, a.base)
			if a.base > 0 && bases[base] {
				w.fail("two accepted edits of %s are based on offset %d", a.team, a.base)
			}
			bases[base] = true
			w.checkAccepted(a, fresh)
		case config.Refused, config.NotApplied:
			if a.weight != "" && w.values[a.team+"="+a.weight] {
				w.fail("%s=%s was in force although the operator was told %s", a.team, a.weight, a.out.Result)
			}
		}
	}
}

// checkAccepted looks for the accepted edit, or for a later one that replaced it.
func (w *world) checkAccepted(a *attempt, t *table.Table) {
	row := t.Row(table.Key{Kind: table.Team, Name: a.team})
	if row != nil && row.Version == a.out.Offset {
		if row.Value("Weight") != a.weight {
			w.fail("%s is %s at offset %d, accepted was %q", a.team, row.Value("Weight"), a.out.Offset, a.weight)
		}
		return
	}
	for _, b := range w.edits {
		later := b.out.Result == config.Accepted && b.out.Offset > a.out.Offset || b.out.Result == config.Unknown
		final := row == nil && b.weight == "" || row != nil && row.Value("Weight") == b.weight
		if b != a && b.team == a.team && later && final {
			return
		}
	}
	if row == nil && a.weight == "" {
		return // the deletion itself
	}
	w.fail("the accepted edit of %s to %q at offset %d is lost", a.team, a.weight, a.out.Offset)
}
