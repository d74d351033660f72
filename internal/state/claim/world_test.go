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

// gate blocks the log and dispatch calls of a router while it is paused.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

func (g *gate) setPaused(paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if paused && g.opened == nil {
		g.opened = make(chan struct{})
	} else if !paused && g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait blocks while the router is paused, also beyond the deadlines of its calls, as in a suspended process.
func (g *gate) wait() {
	for {
		g.mu.Lock()
		held := g.opened
		g.mu.Unlock()
		if held == nil {
			return
		}
		<-held
	}
}

// gatedLog is a router's connection to the log, which blocks while the router is paused.
type gatedLog struct {
	*logsrv.Store
	gate *gate
}

func (l gatedLog) Append(ctx context.Context, id qm.StreamID, data [][]byte) (qm.Offset, error) {
	l.gate.wait()
	defer l.gate.wait()
	return l.Store.Append(ctx, id, data)
}

func (l gatedLog) Read(ctx context.Context, id qm.StreamID, from qm.Offset, limit int, wait time.Duration) (qm.Batch, error) {
	l.gate.wait()
	defer l.gate.wait()
	return l.Store.Read(ctx, id, from, limit, wait)
}

// service is a fake service that counts the calls that it executes.
type service struct {
	mu             sync.Mutex
	rnd            *rand.Rand
	injectFaults   bool
	runs           map[string]int       // executions by key
	requests       map[qm.RequestID]int // executions by request
	done           map[qm.OperationID]string
	lateDispatches int             // number of dispatches after their deadline
	lostCalls      map[string]bool // keys with a call that did not reach the service
}

func newService(seed uint64) *service {
	return &service{rnd: rand.New(rand.NewPCG(seed, 2)), runs: make(map[string]int), requests: make(map[qm.RequestID]int),
		done: make(map[qm.OperationID]string), lostCalls: make(map[string]bool)}
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

func (s *service) drawFault() (fault float64, transit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.injectFaults {
		return 1, time.Millisecond
	}
	return s.rnd.Float64(), time.Duration(s.rnd.IntN(1500)) * time.Millisecond
}

// call simulates a call, which may be refused, lost before or after the service executes it, delayed, or answered.
func (s *service) call(ctx context.Context, op qm.OperationID, c *qm.Call) (int, json.RawMessage, error) {
	fault, transit := s.drawFault()
	if fault < 0.1 {
		return 0, nil, qm.Refuse(qm.CodeNoEndpoint, "connect", "refused")
	}
	if fault < 0.15 {
		s.mu.Lock()
		s.lostCalls[c.Key] = true
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

// router is a router process. A restart replaces it.
type router struct {
	claims *claim.Claims
	gate   *gate
	cancel context.CancelFunc
}

func startRouter(log *logsrv.Store, svc *service, opts claim.Options) (*router, error) {
	ctx, kill := context.WithCancel(context.Background())
	g := &gate{}
	opts.Log = gatedLog{log, g}
	opts.Dispatch = func(ctx context.Context, op qm.OperationID, c *qm.Call) (int, json.RawMessage, error) {
		if ctx.Err() == context.DeadlineExceeded {
			svc.mu.Lock()
			svc.lateDispatches++
			svc.mu.Unlock()
		}
		g.wait()
		return svc.call(ctx, op, c)
	}
	opts.Status = svc.status
	c, err := claim.New(ctx, opts)
	return &router{claims: c, gate: g, cancel: kill}, err
}

// crash stops the process without letting it finish its work.
func (r *router) crash() error {
	r.cancel()
	r.gate.setPaused(false)
	return r.claims.Close()
}
