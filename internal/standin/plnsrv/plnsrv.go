// Package plnsrv implements a fake plain service that counts the executions of each operation, so that tests can detect calls
// that ran twice.
//
// The service speaks HTTP with JSON:
//
//	POST /v1/calls/{call}              any JSON body. Headers: X-Request-Id, X-Operation, and optionally Idempotency-Key and
//	                                   X-Fence, a fencing token. The response repeats X-Request-Id.
//	GET  /v1/operations/{operation}    {"State":"Done"|"Running"|"Absent","Status","Answer"}
//	GET  /admin/executions             {"Executions":{<operation>:<count>},"Order":[Execution]}
//	GET, PUT /admin/faults             Faults
//
// The answer to a call is {"Call","Operation","Count","Body"}, where Count is the number of times that the operation ran.
// With Options.Dedupes, a call with a known Idempotency-Key gets the answer of the first call with that key. With
// Options.Fences, a call gets 409 if its token is below the highest one seen for the same key, or for the same operation if it
// has no key.
package plnsrv

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/pauser"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

// Options configures a service.
type Options struct {
	// Dedupes makes the service run calls with the same Idempotency-Key only once.
	Dedupes bool
	// Fences makes the service refuse stale fencing tokens.
	Fences bool
	// CallTime is the run time of a call.
	CallTime time.Duration
}

// Faults configures fault injection. It can be changed while the service runs.
type Faults struct {
	// LoseNext is the number of following calls that run but whose answer is lost.
	LoseNext int
	// DelayMs is the delay before each call runs, in milliseconds. The call runs even if its client disconnects meanwhile.
	DelayMs int64
	// Refuse makes the service answer calls with 503 without running them.
	Refuse bool
	// LateMs is the delay between the end of each call and its answer, in milliseconds.
	LateMs int64
	// CrossNext is the number of following calls that run but get the answer to another request.
	CrossNext int
	// Silence makes the service pause at any byte of some exchanges and go on, if it is served with the pauses of Server.Silence.
	Silence pauser.Options
}

// Execution is one execution of a call. Key is its Idempotency-Key, if any.
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

// Operation is the answer to GET /v1/operations/{operation}. Status and Answer are those of the call if State is Done.
type Operation struct {
	State  string
	Status int             `json:",omitempty"`
	Answer json.RawMessage `json:",omitempty"`
}

// result is the result of a running or finished call.
type result struct {
	done   chan struct{} // closed when the call has finished; answer is set before
	answer Answer
}

// Server is a fake plain service.
type Server struct {
	opts Options
	// Silence draws the pauses of the service's connections. See Faults.
	Silence pauser.Source

	mu                 sync.Mutex
	faults             Faults
	executions         []Execution
	counts             map[qm.OperationID]int
	resultsByOperation map[qm.OperationID]*result
	resultsByKey       map[string]*result
	maxFences          map[string]int64
}

// New returns a service that has executed no calls.
func New(opts Options) *Server {
	return &Server{
		opts: opts, counts: make(map[qm.OperationID]int), resultsByOperation: make(map[qm.OperationID]*result),
		resultsByKey: make(map[string]*result), maxFences: make(map[string]int64),
	}
}

// Executions returns the number of executions of each operation.
func (s *Server) Executions() map[qm.OperationID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[qm.OperationID]int, len(s.counts))
	for k, v := range s.counts {
		out[k] = v
	}
	return out
}

// Order returns all executions in the order in which they started.
func (s *Server) Order() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.Silence.Set(f.Silence)
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// takeFault decrements a counter of the faults and reports whether it was above 0.
func (s *Server) takeFault(field func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := field(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/calls/{call}", s.serveCall)
	mux.HandleFunc("GET /v1/operations/{operation}", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		serve.WriteJSON(w, http.StatusOK, s.operationStatus(qm.OperationID(r.PathValue("operation"))))
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
	exec := Execution{Call: r.PathValue("call"), Operation: qm.OperationID(r.Header.Get("X-Operation")), Key: r.Header.Get("Idempotency-Key")}
	if !serve.ReadJSON(w, r, &exec.Body) {
		return
	}
	f := s.Faults()
	// The call runs even if the client disconnects, so that a lost connection doesn't tell the client whether it ran.
	ctx := context.WithoutCancel(r.Context())
	serve.Sleep(ctx, time.Duration(f.DelayMs)*time.Millisecond)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if f.Refuse {
		serve.WriteError(w, http.StatusServiceUnavailable, 1, "service refuses calls")
		return
	}
	if !s.acceptFence(exec, fencingToken(r)) {
		serve.WriteError(w, http.StatusConflict, 0, "stale fencing token")
		return
	}
	a := s.execute(ctx, exec)
	serve.Sleep(ctx, time.Duration(f.LateMs)*time.Millisecond)
	if s.takeFault(func(f *Faults) *int { return &f.LoseNext }) {
		serve.Abort()
	}
	if s.takeFault(func(f *Faults) *int { return &f.CrossNext }) {
		w.Header().Set("X-Request-Id", "other-"+id)
		a = Answer{Call: a.Call, Operation: "other-" + a.Operation, Count: 1, Body: json.RawMessage(`"other"`)}
	}
	serve.WriteJSON(w, http.StatusOK, a)
}

// fencingToken returns the fencing token of a call, or -1 if it has no valid one.
func fencingToken(r *http.Request) int64 {
	n := json.Number(r.Header.Get("X-Fence"))
	v, err := n.Int64()
	if err != nil {
		return -1
	}
	return v
}

// acceptFence reports whether the fencing token of a call isn't stale, and records it as the highest one seen.
func (s *Server) acceptFence(exec Execution, fence int64) bool {
	if !s.opts.Fences || fence < 0 {
		return true
	}
	key := exec.Key
	if key == "" {
		key = string(exec.Operation)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence < s.maxFences[key] {
		return false
	}
	s.maxFences[key] = fence
	return true
}

// execute runs a call and returns its answer. If the service deduplicates and already has a call with the same key, execute
// waits for the answer of that call instead.
func (s *Server) execute(ctx context.Context, exec Execution) Answer {
	e := &result{done: make(chan struct{})}
	s.mu.Lock()
	if first, ok := s.resultsByKey[exec.Key]; ok && s.opts.Dedupes && exec.Key != "" {
		s.resultsByOperation[exec.Operation] = first
		s.mu.Unlock()
		<-first.done
		return first.answer
	}
	s.resultsByKey[exec.Key], s.resultsByOperation[exec.Operation] = e, e
	s.counts[exec.Operation]++
	s.executions = append(s.executions, exec)
	e.answer = Answer{Call: exec.Call, Operation: exec.Operation, Count: s.counts[exec.Operation], Body: exec.Body}
	s.mu.Unlock()
	serve.Sleep(ctx, s.opts.CallTime)
	close(e.done)
	return e.answer
}

// operationStatus returns the state of an operation, and its answer if it is done.
func (s *Server) operationStatus(op qm.OperationID) Operation {
	s.mu.Lock()
	e, ok := s.resultsByOperation[op]
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
