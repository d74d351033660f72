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

// latency is the one-way latency between two instances.
const latency = time.Millisecond

// cluster runs several instances in one process and records what they admit.
type cluster struct {
	t           testing.TB
	mu          sync.Mutex
	routers     []*router
	team        *qm.Team
	fraction    float64
	unreachable map[[2]int]bool
	admitted    []admission
	refused     int
	messages    int
	bytes       int
}

type admission struct {
	at             time.Duration
	prompt, output float64
}

type router struct {
	cl      *cluster
	index   int
	board   *board.Board
	limiter *share.Limiter
	dead    bool
}

func id(i int) qm.InstanceID { return qm.InstanceID(fmt.Sprintf("router-%03d", i)) }

func newCluster(t testing.TB, n int, l qm.Limits, fraction float64) *cluster {
	cl := &cluster{t: t, team: &qm.Team{ID: "ledgerwell-7", Limits: l}, fraction: fraction, unreachable: map[[2]int]bool{}}
	for i := range n {
		cl.routers = append(cl.routers, &router{cl: cl, index: i, board: board.New()})
	}
	cl.configure(l)
	for i := range n {
		cl.setMembers(i, n)
		cl.start(i)
	}
	return cl
}

// setMembers sets the members that router i sees: the first n, with some of them suspect.
func (cl *cluster) setMembers(i, n int, suspect ...int) {
	var m qm.Members
	for j := range n {
		x := qm.Member{Instance: id(j), PeerAddress: fmt.Sprint(j), State: qm.Live, IsSelf: i == j}
		if slices.Contains(suspect, j) {
			x.State = qm.Suspect
		}
		m = append(m, x)
	}
	cl.routers[i].board.Members.Store(m)
}

func (cl *cluster) configure(l qm.Limits) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.team = &qm.Team{ID: cl.team.ID, Limits: l}
	for _, r := range cl.routers {
		r.board.Table.Store(&qm.Config{Offset: 1, Teams: map[qm.TeamID]*qm.Team{cl.team.ID: cl.team}})
	}
}

func (cl *cluster) start(i int) {
	l := share.New(cl.t.Context(), share.Options{
		Board: cl.routers[i].board, Self: id(i), Borrow: cl.routers[i].borrow, FloorFraction: cl.fraction,
	})
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.routers[i].limiter, cl.routers[i].dead = l, false
}

// crash stops an instance: from then on it answers nothing and admits nothing.
func (cl *cluster) crash(i int) {
	cl.mu.Lock()
	cl.routers[i].dead = true
	l := cl.routers[i].limiter
	cl.mu.Unlock()
	l.Close()
}

func (cl *cluster) stop() {
	for i, r := range cl.routers {
		if !r.dead {
			cl.crash(i)
		}
	}
}

// homeIndex returns the index of the team's home while all members are live.
func (cl *cluster) homeIndex() int {
	m, _ := cl.routers[0].board.Members.Load()
	m = slices.Clone(m)
	for i := range m {
		m[i].State = qm.Live
	}
	h, _ := advice.Home(cl.team.ID, m)
	for i := range m {
		if m[i].Instance == h.Instance {
			return i
		}
	}
	return -1
}

func (r *router) borrow(ctx context.Context, to qm.Member, q *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	time.Sleep(latency)
	cl := r.cl
	var dst int
	if _, err := fmt.Sscanf(to.PeerAddress, "%d", &dst); err != nil {
		return nil, err
	}
	cl.mu.Lock()
	d := cl.routers[dst]
	unreachable, dead, l := cl.unreachable[[2]int{r.index, dst}], d.dead, d.limiter
	cl.messages++
	cl.bytes += proto.Size(q)
	cl.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if dead {
		return nil, errors.New("connection refused")
	}
	response, err := l.Lend(ctx, q)
	cl.mu.Lock()
	cl.bytes += proto.Size(response)
	cl.mu.Unlock()
	time.Sleep(latency)
	return response, err
}

// sendLoad sends requests through router i at a constant rate until length has passed since start.
func (cl *cluster) sendLoad(i int, every, length time.Duration, cost qm.Cost, start time.Time, on func(time.Duration) bool) {
	for time.Since(start) < length {
		cl.mu.Lock()
		r, team, dead := cl.routers[i], cl.team, cl.routers[i].dead
		l := r.limiter
		cl.mu.Unlock()
		if !dead && on(time.Since(start)) {
			g, err := l.Admit(team, cost, time.Now())
			cl.mu.Lock()
			if err == nil {
				cl.admitted = append(cl.admitted, admission{time.Since(start), float64(cost.PromptTokens), float64(cost.OutputTokens)})
			} else {
				cl.refused++
			}
			cl.mu.Unlock()
			if err == nil {
				g.Release(cost.OutputTokens)
			}
		}
		time.Sleep(every)
	}
}

// worstMinute returns the most requests, prompt tokens and output tokens admitted in any minute.
func (cl *cluster) worstMinute() (r, p, o float64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	slices.SortFunc(cl.admitted, func(a, b admission) int { return int(a.at - b.at) })
	var sum admission
	first, count := 0, 0.0
	for _, e := range cl.admitted {
		for cl.admitted[first].at <= e.at-time.Minute {
			sum.prompt -= cl.admitted[first].prompt
			sum.output -= cl.admitted[first].output
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
