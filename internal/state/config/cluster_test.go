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
	numRouters = 3
	retention  = 30 * time.Second
	// maxFaultTime keeps an outage plus a late append below half of the retention time. After a whole retention time
	// without the log, records that were appended late can no longer be read.
	maxFaultTime = 8 * time.Second
)

// cluster is a log with routers and editors, and what they observed.
type cluster struct {
	ctx        context.Context
	log        *logsrv.Store
	work       sync.WaitGroup
	routers    [numRouters]*router
	ownerShift int          // selects the owner of the snapshots
	peersDown  bool         // peers do not answer
	delayMs    atomic.Int64 // delay of answers of the log and of peers

	mu       sync.Mutex
	contents map[qm.Offset]string // content of the table by offset
	weights  map[string]bool      // team and weight of each row of any published table
	attempts []*attempt
	failures []string
}

// router is one router. A restart replaces it with one that has no table.
type router struct {
	board      *board.Board
	controller *config.Controller
	cancel     context.CancelFunc
}

// attempt is one edit and its outcome.
type attempt struct {
	team, weight string // weight is unique among all edits; empty for a deletion
	base         qm.Offset
	out          config.Outcome
	err          error
}

func newCluster(ctx context.Context, seed uint64) *cluster {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rnd.Float64()
	}
	cl := &cluster{
		ctx: ctx, contents: make(map[qm.Offset]string), weights: make(map[string]bool),
		log: logsrv.New(logsrv.Options{Retention: retention, Random: random}),
	}
	for i := range cl.routers {
		cl.start(i)
	}
	return cl
}

func (cl *cluster) errorf(format string, args ...any) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.failures = append(cl.failures, fmt.Sprintf(format, args...))
}

func (cl *cluster) start(i int) {
	lowest := cl.lowestOffset()
	ctx, cancel := context.WithCancel(cl.ctx)
	r := &router{board: board.New(), cancel: cancel}
	cl.mu.Lock()
	cl.routers[i] = r
	cl.mu.Unlock()
	c := config.New(ctx, config.Options{
		Log: delayedLog{cl.log, cl}, Board: r.board, Fetch: func(ctx context.Context, after qm.Offset) ([]byte, qm.Offset, error) {
			return cl.fetch(ctx, i, after)
		},
		IsSnapshotOwner: func() bool { return cl.isSnapshotOwner(i) }, Retention: retention, PartRows: 1, PartsPerAppend: 2,
	})
	cl.mu.Lock()
	r.controller = c
	cl.mu.Unlock()
	cl.work.Go(func() { cl.watch(ctx, i, r, lowest) })
}

// lowestOffset returns the lowest offset in force on the running routers. A restarted router must not start below it.
func (cl *cluster) lowestOffset() qm.Offset {
	var lowest qm.Offset
	for _, r := range cl.running() {
		if off := r.controller.Offset(); lowest == 0 || off < lowest {
			lowest = off
		}
	}
	return lowest
}

func (cl *cluster) running() []*router {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var out []*router
	for _, r := range cl.routers {
		if r != nil && r.controller != nil {
			out = append(out, r)
		}
	}
	return out
}

func (cl *cluster) restart(i int) {
	cl.mu.Lock()
	r := cl.routers[i]
	cl.routers[i] = nil
	cl.mu.Unlock()
	r.cancel()
	r.controller.Close()
	cl.start(i)
}

func (cl *cluster) isSnapshotOwner(i int) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return (i+cl.ownerShift)%numRouters == 0 || cl.ownerShift == numRouters && i < 2 // the last case has two owners
}

// fetch asks the other routers and returns the newest answer.
func (cl *cluster) fetch(ctx context.Context, i int, after qm.Offset) (data []byte, off qm.Offset, err error) {
	cl.mu.Lock()
	peersDown, self := cl.peersDown, cl.routers[i]
	cl.mu.Unlock()
	if peersDown {
		return nil, 0, errors.New("no peer answers")
	}
	for _, r := range cl.running() {
		if r == self {
			continue
		}
		if d, o, err := r.controller.Snapshot(after); err == nil && o > off {
			data, off = d, o
		}
	}
	cl.delay()
	return data, off, ctx.Err()
}

func (cl *cluster) delay() { time.Sleep(time.Duration(cl.delayMs.Load()) * time.Millisecond) }

// delayedLog delays the answers to reads, so that they are outdated when they arrive.
type delayedLog struct {
	qm.Log
	cl *cluster
}

func (l delayedLog) Read(ctx context.Context, id qm.StreamID, from qm.Offset, limit int, wait time.Duration) (qm.Batch, error) {
	b, err := l.Log.Read(ctx, id, from, limit, wait)
	l.cl.delay()
	return b, err
}

// appendTornSnapshot appends a snapshot without one of its parts, as a faulty writer would.
func (cl *cluster) appendTornSnapshot(i int) {
	ctx, cancel := context.WithTimeout(cl.ctx, time.Second)
	defer cancel()
	t, err := config.NewEditor(cl.log, nil).Load(ctx)
	if err != nil {
		return
	}
	records, err := t.Snapshot(qm.AttemptID(fmt.Sprintf("torn-%d", t.Offset())), 1)
	if err != nil {
		cl.errorf("torn snapshot: %v", err)
	}
	if len(records) > 1 {
		i %= len(records) - 1
		cl.log.Append(ctx, config.Stream, slices.Delete(records, i, i+1))
	}
}

// watch checks every table that a router publishes.
func (cl *cluster) watch(ctx context.Context, i int, r *router, last qm.Offset) {
	for ctx.Err() == nil {
		changed := r.board.Table.Changed()
		if c, ok := r.board.Table.Load(); ok {
			if c.Offset < last {
				cl.errorf("router %d went back from offset %d to %d", i, last, c.Offset)
			}
			last = c.Offset
			cl.observe(c)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (cl *cluster) observe(c *qm.Config) {
	var rows []string
	cl.mu.Lock()
	for _, id := range slices.Sorted(maps.Keys(c.Teams)) {
		value := fmt.Sprintf("%s=%v", id, c.Teams[id].Weight)
		cl.weights[value] = true
		rows = append(rows, value)
	}
	content := strings.Join(rows, " ")
	old, ok := cl.contents[c.Offset]
	cl.contents[c.Offset] = content
	cl.mu.Unlock()
	if ok && old != content {
		cl.errorf("offset %d has the contents %q and %q", c.Offset, old, content)
	}
}

// runEdit loads the table, waits for the step's PauseMs and applies an edit, as the command line does for an operator.
func (cl *cluster) runEdit(s step) {
	a := &attempt{team: fmt.Sprintf("t%d", s.Team)}
	cl.mu.Lock()
	cl.attempts = append(cl.attempts, a)
	weight := fmt.Sprint(len(cl.attempts))
	cl.mu.Unlock()
	cl.work.Go(func() {
		ctx, cancel := context.WithTimeout(cl.ctx, time.Duration(s.TimeoutMs)*time.Millisecond)
		defer cancel()
		e := config.NewEditor(cl.log, nil)
		t, err := e.Load(ctx)
		if err != nil {
			a.out.Result = config.NotApplied
			a.weight = weight
			return
		}
		cl.observe(t.Config()) // the command line also reads the log, but has no peers
		key := table.Key{Kind: table.Team, Name: a.team}
		change := t.MergeCells(key, map[string]string{"Key": table.HashKey(a.team), "Weight": weight})
		if s.Delete && change.Base > 0 {
			change = table.Change{Key: key, Base: change.Base, Delete: true}
		} else {
			a.weight = weight
		}
		a.base = change.Base
		time.Sleep(time.Duration(s.PauseMs) * time.Millisecond)
		a.out, a.err = e.Apply(ctx, []table.Change{change})
	})
}

// check compares the final tables with the outcomes of the edits.
func (cl *cluster) check() {
	ctx, cancel := context.WithTimeout(cl.ctx, retention)
	defer cancel()
	fresh, err := config.NewEditor(cl.log, nil).Load(ctx)
	if err != nil {
		cl.errorf("a new reader: %v", err)
		return
	}
	for i, r := range cl.routers {
		if s := r.controller.State(); s.Offset != fresh.Offset() && fresh.Offset() > 0 || s.Digest != fresh.Digest() {
			cl.errorf("router %d ends with offset %d digest %x, a new reader with %d %x", i, s.Offset, s.Digest, fresh.Offset(), fresh.Digest())
		}
	}
	bases := make(map[string]bool)
	for _, a := range cl.attempts {
		if a.err != nil {
			cl.errorf("edit of %s: %v", a.team, a.err)
		}
		switch a.out.Result {
		case config.Accepted:
			base := fmt.Sprintf("%s %d", a.team, a.base)
			if a.base > 0 && bases[base] {
				cl.errorf("two accepted edits of %s are based on offset %d", a.team, a.base)
			}
			bases[base] = true
			cl.checkAccepted(a, fresh)
		case config.Refused, config.NotApplied:
			if a.weight != "" && cl.weights[a.team+"="+a.weight] {
				cl.errorf("%s=%s was in force although the operator was told %s", a.team, a.weight, a.out.Result)
			}
		}
	}
}

// checkAccepted checks that the final table has the accepted edit or a later one that replaced it.
func (cl *cluster) checkAccepted(a *attempt, t *table.Table) {
	row := t.Row(table.Key{Kind: table.Team, Name: a.team})
	if row != nil && row.Version == a.out.Offset {
		if row.Value("Weight") != a.weight {
			cl.errorf("%s is %s at offset %d, accepted was %q", a.team, row.Value("Weight"), a.out.Offset, a.weight)
		}
		return
	}
	for _, b := range cl.attempts {
		later := b.out.Result == config.Accepted && b.out.Offset > a.out.Offset || b.out.Result == config.Unknown
		final := row == nil && b.weight == "" || row != nil && row.Value("Weight") == b.weight
		if b != a && b.team == a.team && later && final {
			return
		}
	}
	if row == nil && a.weight == "" {
		return // the deletion itself
	}
	cl.errorf("the accepted edit of %s to %q at offset %d is lost", a.team, a.weight, a.out.Offset)
}
