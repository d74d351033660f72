package share_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/share"
	"quetzalmount.dev/quetzalmount/internal/member/advice"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// latency is one way between two instances.
const latency = time.Millisecond

// world is several instances in one process, and what they admitted.
type world struct {
	t        testing.TB
	mu       sync.Mutex
	nodes    []*instance
	team     *qm.Team
	fraction float64
	cut      map[[2]int]bool
	admitted []event
	refused  int
	calls    int
	bytes    int
}

type event struct {
	at             time.Duration
	prompt, output float64
}

type instance struct {
	w       *world
	at      int
	board   *board.Board
	limiter *share.Limiter
	dead    bool
}

func id(i int) qm.InstanceID { return qm.InstanceID(fmt.Sprintf("router-%03d", i)) }

func newWorld(t testing.TB, n int, l qm.Limits, fraction float64) *world {
	w := &world{t: t, team: &qm.Team{ID: "ledgerwell-7", Limits: l}, fraction: fraction, cut: map[[2]int]bool{}}
	for i := range n {
		w.nodes = append(w.nodes, &instance{w: w, at: i, board: board.New()})
	}
	w.configure(l)
	for i := range n {
		w.see(i, n)
		w.start(i)
	}
	return w
}

// see sets the members that node i sees: the first n, with some of them suspect.
func (w *world) see(i, n int, suspect ...int) {
	var m qm.Members
	for j := range n {
		x := qm.Member{Instance: id(j), PeerAddress: fmt.Sprint(j), State: qm.Live, IsSelf: i == j}
		if slices.Contains(suspect, j) {
			x.State = qm.Suspect
		}
		m = append(m, x)
	}
	w.nodes[i].board.Members.Store(m)
}

func (w *world) configure(l qm.Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.team = &qm.Team{ID: w.team.ID, Limits: l}
	for _, n := range w.nodes {
		n.board.Table.Store(&qm.Config{Offset: 1, Teams: map[qm.TeamID]*qm.Team{w.team.ID: w.team}})
	}
}

func (w *world) start(i int) {
	l := share.New(w.t.Context(), share.Options{
		Board: w.nodes[i].board, Self: id(i), Ask: w.nodes[i].ask, FloorFraction: w.fraction,
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[i].limiter, w.nodes[i].dead = l, false
}

// kill ends an instance as a crash does: it answers nothing and admits nothing.
func (w *world) kill(i int) {
	w.mu.Lock()
	w.nodes[i].dead = true
	l := w.nodes[i].limiter
	w.mu.Unlock()
	l.Close()
}

func (w *world) stop() {
	for i, n := range w.nodes {
		if !n.dead {
			w.kill(i)
		}
	}
}

// home is the home of the team while all members are live.
func (w *world) home() int {
	m, _ := w.nodes[0].board.Members.Load()
	m = slices.Clone(m)
	for i := range m {
		m[i].State = qm.Live
	}
	h, _ := advice.Home(w.team.ID, m)
	for i := range m {
		if m[i].Instance == h.Instance {
			return i
		}
	}
	return -1
}

func (n *instance) ask(ctx context.Context, to qm.Member, q *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	time.Sleep(latency)
	w := n.w
	var dst int
	if _, err := fmt.Sscanf(to.PeerAddress, "%d", &dst); err != nil {
		return nil, err
	}
	w.mu.Lock()
	d := w.nodes[dst]
	cut, dead, l := w.cut[[2]int{n.at, dst}], d.dead, d.limiter
	w.calls++
	w.bytes += proto.Size(q)
	w.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if dead {
		return nil, errors.New("connection refused")
	}
	r, err := l.Lend(ctx, q)
	w.mu.Lock()
	w.bytes += proto.Size(r)
	w.mu.Unlock()
	time.Sleep(latency)
	return r, err
}

// load sends requests through node i at an even pace until the time is over.
func (w *world) load(i int, every, length time.Duration, cost qm.Cost, start time.Time, on func(time.Duration) bool) {
	for time.Since(start) < length {
		w.mu.Lock()
		n, team, dead := w.nodes[i], w.team, w.nodes[i].dead
		l := n.limiter
		w.mu.Unlock()
		if !dead && on(time.Since(start)) {
			g, err := l.Admit(team, cost, time.Now())
			w.mu.Lock()
			if err == nil {
				w.admitted = append(w.admitted, event{time.Since(start), float64(cost.PromptTokens), float64(cost.OutputTokens)})
			} else {
				w.refused++
			}
			w.mu.Unlock()
			if err == nil {
				g.Release(cost.OutputTokens)
			}
		}
		time.Sleep(every)
	}
}

// worst returns the most that was admitted in any minute: requests, prompt tokens, output tokens.
func (w *world) worst() (r, p, o float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortFunc(w.admitted, func(a, b event) int { return int(a.at - b.at) })
	var sum event
	first, count := 0, 0.0
	for _, e := range w.admitted {
		for w.admitted[first].at <= e.at-time.Minute {
			sum.prompt -= w.admitted[first].prompt
			sum.output -= w.admitted[first].output
			count--
			first++
		}
		count++
		sum.prompt += e.prompt
		sum.output += e.output
		r, p, o = max(r, count), max(p, sum.prompt), max(o, sum.output)
	}
	return r, p, o
}
