package claim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
	"quetzalmount.dev/quetzalmount/internal/state/claim"
)

// gate holds the log and dispatch calls of one router while it is paused.
type gate struct {
	mu   sync.Mutex
	held chan struct{}
}

func (g *gate) set(paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if paused && g.held == nil {
		g.held = make(chan struct{})
	} else if !paused && g.held != nil {
		close(g.held)
		g.held = nil
	}
}

// pass blocks while the gate is closed, whatever the deadlines of the paused process.
func (g *gate) pass() {
	for {
		g.mu.Lock()
		held := g.held
		g.mu.Unlock()
		if held == nil {
			return
		}
		<-held
	}
}

// gatedLog is the log as one router reaches it.
type gatedLog struct {
	*logsrv.Store
	gate *gate
}

func (l gatedLog) Append(ctx context.Context, id qm.StreamID, data [][]byte) (qm.Offset, error) {
	l.gate.pass()
	defer l.gate.pass()
	return l.Store.Append(ctx, id, data)
}

func (l gatedLog) Read(ctx context.Context, id qm.StreamID, from qm.Offset, limit int, wait time.Duration) (qm.Batch, error) {
	l.gate.pass()
	defer l.gate.pass()
	return l.Store.Read(ctx, id, from, limit, wait)
}

// service counts what it runs.
type service struct {
	mu       sync.Mutex
	rnd      *rand.Rand
	faulty   bool
	runs     map[string]int       // by key
	requests map[qm.RequestID]int // by request
	done     map[qm.OperationID]string
	late     int             // dispatches that began after their deadline
	dropped  map[string]bool // keys with a call that was lost on the way
}

func newService(seed uint64) *service {
	return &service{rnd: rand.New(rand.NewPCG(seed, 2)), runs: make(map[string]int), requests: make(map[qm.RequestID]int),
		done: make(map[qm.OperationID]string), dropped: make(map[string]bool)}
}

func answerOf(c *qm.Call) string { return fmt.Sprintf(`{"Key":%q,"Body":%s}`, c.Key, c.Body) }

func (s *service) run(op qm.OperationID, c *qm.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Service.SupportsIdempotencyKeys && s.runs[c.Key] > 0 {
		s.done[op] = answerOf(c)
		return
	}
	s.runs[c.Key]++
	s.requests[c.Request]++
	s.done[op] = answerOf(c)
}

func (s *service) draw() (fault float64, transit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faulty {
		return 1, time.Millisecond
	}
	return s.rnd.Float64(), time.Duration(s.rnd.IntN(1500)) * time.Millisecond
}

// call takes the way of one call: refused, lost before or after the service ran it, late, or answered.
func (s *service) call(ctx context.Context, op qm.OperationID, c *qm.Call) (int, json.RawMessage, error) {
	fault, transit := s.draw()
	if fault < 0.1 {
		return 0, nil, qm.Refuse(qm.CodeNoEndpoint, "connect", "refused")
	}
	if fault < 0.15 {
		s.mu.Lock()
		s.dropped[c.Key] = true
		s.mu.Unlock()
		return 0, nil, errors.New("call lost")
	}
	ran := make(chan struct{})
	time.AfterFunc(transit, func() { s.run(op, c); close(ran) })
	select {
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	case <-ran:
	}
	if fault < 0.35 {
		return 0, nil, errors.New("answer lost")
	}
	return 200, json.RawMessage(answerOf(c)), nil
}

func (s *service) status(_ context.Context, op qm.OperationID, _ *qm.Call) (qm.CallResult, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.done[op]
	return qm.CallResult{Outcome: qm.OutcomeDone, Status: 200, Answer: json.RawMessage(a)}, ok, nil
}

// router is one process; a restart replaces it.
type router struct {
	claims *claim.Claims
	gate   *gate
	kill   context.CancelFunc
}

func startRouter(log *logsrv.Store, svc *service, opts claim.Options) (*router, error) {
	ctx, kill := context.WithCancel(context.Background())
	g := &gate{}
	opts.Log = gatedLog{log, g}
	opts.Dispatch = func(ctx context.Context, op qm.OperationID, c *qm.Call) (int, json.RawMessage, error) {
		if ctx.Err() == context.DeadlineExceeded {
			svc.mu.Lock()
			svc.late++
			svc.mu.Unlock()
		}
		g.pass()
		return svc.call(ctx, op, c)
	}
	opts.Status = svc.status
	c, err := claim.New(ctx, opts)
	return &router{claims: c, gate: g, kill: kill}, err
}

// crash cuts the process at whatever step it is.
func (r *router) crash() error {
	r.kill()
	r.gate.set(false)
	return r.claims.Close()
}
