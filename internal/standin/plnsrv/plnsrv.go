// Package plnsrv is a fake plain service that counts what it runs, so that tests find calls that ran twice.
//
// Wire format, HTTP with JSON:
//
//	POST /v1/calls/{call}              any JSON body. Headers: X-Request-Id, X-Operation, optional Idempotency-Key, and
//	                                   optional X-Fence, a fencing token. The answer carries X-Request-Id.
//	GET  /v1/operations/{operation}    {"State":"Done"|"Running"|"Absent","Status","Answer"}
//	GET  /admin/executions             {"Executions":{<operation>:<count>},"Order":[Execution]}
//	GET, PUT /admin/faults             Faults
//
// The answer to a call is {"Call","Operation","Count","Body"}. Count is the number of times that the operation ran. A
// service that deduplicates answers a known Idempotency-Key with the first answer. A service that fences answers 409 to a
// token below the highest one seen for the same key, or for the same operation if there is no key.
package plnsrv

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

// Options describe a service.
type Options struct {
	// Dedupes makes the service run calls with the same Idempotency-Key once.
	Dedupes bool
	// Fences makes the service refuse stale fencing tokens.
	Fences bool
	// Work is how long a call runs.
	Work time.Duration
}

// Faults are switched on and off while the service runs.
type Faults struct {
	// LoseNext is the number of next calls that run but whose answer is lost.
	LoseNext int
	// DelayMs is added before each call runs, in milliseconds. The call runs even if its connection is lost meanwhile.
	DelayMs int64
	// Refuse makes calls answer 503; they do not run.
	Refuse bool
	// LateMs is added after each call has run, in milliseconds.
	LateMs int64
	// CrossNext is the number of next calls that are answered with the answer to another request.
	CrossNext int
}

// Execution is one run of a call.
type Execution struct {
	Call      string
	Operation qm.OperationID
	Key       string
	Body      json.RawMessage
}

// Answer is the answer to a call.
type Answer struct {
	Call      string
	Operation qm.OperationID
	Count     int
	Body      json.RawMessage
}

// Operation is the answer of GET /v1/operations/{operation}.
type Operation struct {
	State  string
	Status int             `json:",omitempty"`
	Answer json.RawMessage `json:",omitempty"`
}

// entry is what the service knows of an operation or a key.
type entry struct {
	done   chan struct{} // closed when answer is set
	answer Answer
}

// Server is a service.
type Server struct {
	opts Options

	mu     sync.Mutex
	faults Faults
	runs   []Execution
	counts map[qm.OperationID]int
	ops    map[qm.OperationID]*entry
	keys   map[string]*entry
	fences map[string]int64
}

// New returns a service that has run nothing.
func New(opts Options) *Server {
	return &Server{
		opts: opts, counts: make(map[qm.OperationID]int), ops: make(map[qm.OperationID]*entry), keys: make(map[string]*entry),
		fences: make(map[string]int64),
	}
}

// Executions returns how often each operation ran.
func (s *Server) Executions() map[qm.OperationID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[qm.OperationID]int, len(s.counts))
	for k, v := range s.counts {
		out[k] = v
	}
	return out
}

// Order returns all runs in the order in which they began.
func (s *Server) Order() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.runs...)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// take lowers a counter of the faults and reports whether it was above 0.
func (s *Server) take(field func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := field(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/calls/{call}", s.serveCall)
	mux.HandleFunc("GET /v1/operations/{operation}", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		serve.WriteJSON(w, http.StatusOK, s.operation(qm.OperationID(r.PathValue("operation"))))
	})
	mux.HandleFunc("GET /admin/executions", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, struct {
			Executions map[qm.OperationID]int
			Order      []Execution
		}{s.Executions(), s.Order()})
	})
	serve.HandleFaults(mux, s.Faults, s.SetFaults)
	return mux
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	x := Execution{Call: r.PathValue("call"), Operation: qm.OperationID(r.Header.Get("X-Operation")), Key: r.Header.Get("Idempotency-Key")}
	if !serve.ReadJSON(w, r, &x.Body) {
		return
	}
	f := s.Faults()
	// The call runs even if its connection is lost: a lost connection tells a client nothing about the call.
	ctx := context.WithoutCancel(r.Context())
	serve.Sleep(ctx, time.Duration(f.DelayMs)*time.Millisecond)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if f.Refuse {
		serve.WriteError(w, http.StatusServiceUnavailable, 1, "service refuses calls")
		return
	}
	if !s.admit(x, serveFence(r)) {
		serve.WriteError(w, http.StatusConflict, 0, "stale fencing token")
		return
	}
	a := s.execute(ctx, x)
	serve.Sleep(ctx, time.Duration(f.LateMs)*time.Millisecond)
	if s.take(func(f *Faults) *int { return &f.LoseNext }) {
		serve.Abort()
	}
	if s.take(func(f *Faults) *int { return &f.CrossNext }) {
		w.Header().Set("X-Request-Id", "other-"+id)
		a = Answer{Call: a.Call, Operation: "other-" + a.Operation, Count: 1, Body: json.RawMessage(`"other"`)}
	}
	serve.WriteJSON(w, http.StatusOK, a)
}

// serveFence returns the fencing token of a call, -1 if there is none.
func serveFence(r *http.Request) int64 {
	n := json.Number(r.Header.Get("X-Fence"))
	v, err := n.Int64()
	if err != nil {
		return -1
	}
	return v
}

// admit checks the fencing token.
func (s *Server) admit(x Execution, fence int64) bool {
	if !s.opts.Fences || fence < 0 {
		return true
	}
	key := x.Key
	if key == "" {
		key = string(x.Operation)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence < s.fences[key] {
		return false
	}
	s.fences[key] = fence
	return true
}

// execute runs a call, or waits for the answer to the first call with its key if the service deduplicates.
func (s *Server) execute(ctx context.Context, x Execution) Answer {
	e := &entry{done: make(chan struct{})}
	s.mu.Lock()
	if first, ok := s.keys[x.Key]; ok && s.opts.Dedupes && x.Key != "" {
		s.ops[x.Operation] = first
		s.mu.Unlock()
		<-first.done
		return first.answer
	}
	s.keys[x.Key], s.ops[x.Operation] = e, e
	s.counts[x.Operation]++
	s.runs = append(s.runs, x)
	e.answer = Answer{Call: x.Call, Operation: x.Operation, Count: s.counts[x.Operation], Body: x.Body}
	s.mu.Unlock()
	serve.Sleep(ctx, s.opts.Work)
	close(e.done)
	return e.answer
}

func (s *Server) operation(op qm.OperationID) Operation {
	s.mu.Lock()
	e, ok := s.ops[op]
	s.mu.Unlock()
	if !ok {
		return Operation{State: "Absent"}
	}
	select {
	case <-e.done:
	default:
		return Operation{State: "Running"}
	}
	b, err := json.Marshal(e.answer)
	if err != nil {
		return Operation{State: "Running"}
	}
	return Operation{State: "Done", Status: http.StatusOK, Answer: b}
}
