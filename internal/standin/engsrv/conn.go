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
	promptDetails struct {
		Cached qm.Tokens `json:"cached_tokens"`
	}
	usage struct {
		Prompt  qm.Tokens     `json:"prompt_tokens"`
		Output  qm.Tokens     `json:"completion_tokens"`
		Details promptDetails `json:"prompt_tokens_details"`
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

// conn is one client connection that reads a stream.
type conn struct {
	server     *Server
	core       *core
	job        *job
	w          http.ResponseWriter
	clientGone <-chan struct{} // closed when the client disconnects
	stalled    <-chan struct{}
	fault      ConnFault
	chunksSent int64
}

// stream writes the chunks of a job, starting at chunk n.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, c *core, j *job, n int64) {
	defer c.addReader(j)()
	fault, stalled := s.takeConnFault()
	cn := &conn{server: s, core: c, job: j, w: w, clientGone: r.Context().Done(), stalled: stalled, fault: fault}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Request-Id", string(j.id))
	if fault.Kind == FaultCrossed && fault.After == 0 {
		h.Set("X-Request-Id", string(crossedID(j.id)))
	}
	w.WriteHeader(http.StatusOK)
	cn.flush()
	for ; cn.waitForChunk(n); n++ {
		cn.injectFault(&n)
		cn.writeChunk(n)
		if n == j.answer.length-1 {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
	}
}

// waitForChunk waits until chunk n is generated. It reports false if the client disconnects first, and aborts the connection
// if the job or the incarnation ends first.
func (c *conn) waitForChunk(n int64) bool {
	for {
		select {
		case <-c.stalled:
			c.stall()
		default:
		}
		c.core.mu.Lock()
		available, ended, changed := c.job.produced > n, c.job.ended, c.job.changed
		c.core.mu.Unlock()
		switch {
		case c.core.ctx.Err() != nil:
			serve.Abort()
		case available:
			return true
		case ended:
			serve.Abort()
		}
		select {
		case <-changed:
		case <-c.stalled:
		case <-c.clientGone:
			return false
		case <-c.core.ctx.Done():
		}
	}
}

// stall keeps the connection open without sending anything until the client disconnects or the incarnation ends, then
// aborts it.
func (c *conn) stall() {
	select {
	case <-c.clientGone:
	case <-c.core.ctx.Done():
	}
	serve.Abort()
}

// injectFault applies the connection's fault if it is due before the next chunk. A skip advances n.
func (c *conn) injectFault(n *int64) {
	if c.chunksSent != c.fault.After {
		return
	}
	switch c.fault.Kind {
	case FaultStall:
		c.stall()
	case FaultTruncate:
		serve.Abort()
	case FaultCrash:
		c.server.Crash(0)
		serve.Abort()
	case FaultDuplicate:
		c.writeChunk(*n)
	case FaultSkip:
		if *n < c.job.answer.length-1 && c.waitForChunk(*n+1) {
			*n++
		}
	}
}

// crossedID returns the wrong request ID that a crossed answer carries.
func crossedID(id qm.RequestID) qm.RequestID { return "other-" + id }

// writeChunk sends chunk n as a server-sent event.
func (c *conn) writeChunk(n int64) {
	a, id := c.job.answer, c.job.id
	if c.fault.Kind == FaultCrossed && c.chunksSent >= c.fault.After {
		a.seed, id = a.seed+1, crossedID(id)
	}
	ch := chunk{ID: id, Object: "chat.completion.chunk", Model: c.core.opts.Model}
	ch.Choices = []choice{{Delta: delta{a.chunk(n)}}}
	if c.chunksSent == 0 {
		ch.Cached = &c.job.cached
	}
	if n == a.length-1 {
		ch.Choices[0].Finish = &a.finish
		ch.Usage = &usage{Prompt: c.job.promptTokens, Output: qm.Tokens(a.length), Details: promptDetails{c.job.cached}}
	}
	b, err := json.Marshal(ch)
	if err != nil {
		serve.Abort()
	}
	fmt.Fprintf(c.w, "id: %d\ndata: %s\n\n", n, b)
	c.flush()
	c.chunksSent++
}

func (c *conn) flush() { _ = http.NewResponseController(c.w).Flush() }
