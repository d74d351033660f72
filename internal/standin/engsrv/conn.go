package engsrv

import (
	"encoding/json"
	"fmt"
	"net/http"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

type (
	delta struct {
		Content string `json:"content"`
	}
	choice struct {
		Index  int     `json:"index"`
		Delta  delta   `json:"delta"`
		Finish *string `json:"finish_reason"`
	}
	details struct {
		Cached qm.Tokens `json:"cached_tokens"`
	}
	usage struct {
		Prompt  qm.Tokens `json:"prompt_tokens"`
		Output  qm.Tokens `json:"completion_tokens"`
		Details details   `json:"prompt_tokens_details"`
	}
	chunk struct {
		ID      qm.RequestID `json:"id"`
		Object  string       `json:"object"`
		Model   qm.ModelID   `json:"model"`
		Choices []choice     `json:"choices"`
		Cached  *qm.Tokens   `json:"cached_tokens,omitempty"`
		Usage   *usage       `json:"usage,omitempty"`
	}
)

// conn is one connection that reads a stream.
type conn struct {
	s     *Server
	c     *core
	j     *job
	w     http.ResponseWriter
	done  <-chan struct{} // the client is gone
	stall <-chan struct{}
	fault ConnFault
	sent  int64
}

// stream writes the chunks of a job from number n on.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, c *core, j *job, n int64) {
	defer c.attach(j)()
	fault, stall := s.nextFault()
	k := &conn{s: s, c: c, j: j, w: w, done: r.Context().Done(), stall: stall, fault: fault}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Request-Id", string(j.id))
	if fault.Kind == FaultCrossed && fault.After == 0 {
		h.Set("X-Request-Id", string(crossedID(j.id)))
	}
	w.WriteHeader(http.StatusOK)
	k.flush()
	for ; k.ready(n); n++ {
		k.apply(&n)
		k.send(n)
		if n == j.answer.length-1 {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
	}
}

// ready waits for chunk n and reports whether there is one. It aborts the connection of a dead incarnation.
func (k *conn) ready(n int64) bool {
	for {
		select {
		case <-k.stall:
			k.hang()
		default:
		}
		k.c.mu.Lock()
		ok, ended, news := k.j.produced > n, k.j.ended, k.j.news
		k.c.mu.Unlock()
		switch {
		case k.c.ctx.Err() != nil:
			serve.Abort()
		case ok:
			return true
		case ended:
			serve.Abort()
		}
		select {
		case <-news:
		case <-k.stall:
		case <-k.done:
			return false
		case <-k.c.ctx.Done():
		}
	}
}

// hang keeps the connection open without a word.
func (k *conn) hang() {
	select {
	case <-k.done:
	case <-k.c.ctx.Done():
	}
	serve.Abort()
}

// apply applies the connection's fault if its time has come.
func (k *conn) apply(n *int64) {
	if k.sent != k.fault.After {
		return
	}
	switch k.fault.Kind {
	case FaultStall:
		k.hang()
	case FaultTruncate:
		serve.Abort()
	case FaultCrash:
		k.s.Crash(0)
		serve.Abort()
	case FaultDuplicate:
		k.send(*n)
	case FaultSkip:
		if *n < k.j.answer.length-1 && k.ready(*n+1) {
			*n++
		}
	}
}

func crossedID(id qm.RequestID) qm.RequestID { return "other-" + id }

// send writes chunk n.
func (k *conn) send(n int64) {
	a, id := k.j.answer, k.j.id
	if k.fault.Kind == FaultCrossed && k.sent >= k.fault.After {
		a.seed, id = a.seed+1, crossedID(id)
	}
	ch := chunk{ID: id, Object: "chat.completion.chunk", Model: k.c.opts.Model}
	ch.Choices = []choice{{Delta: delta{a.chunk(n)}}}
	if k.sent == 0 {
		ch.Cached = &k.j.cached
	}
	if n == a.length-1 {
		ch.Choices[0].Finish = &a.finish
		ch.Usage = &usage{Prompt: k.j.prompt, Output: qm.Tokens(a.length), Details: details{k.j.cached}}
	}
	b, err := json.Marshal(ch)
	if err != nil {
		serve.Abort()
	}
	fmt.Fprintf(k.w, "id: %d\ndata: %s\n\n", n, b)
	k.flush()
	k.sent++
}

func (k *conn) flush() { _ = http.NewResponseController(k.w).Flush() }
