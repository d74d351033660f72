package engsrv

import (
	"net/http"
	"strings"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

// maxEventsPerAnswer is the maximum number of events in one answer.
const maxEventsPerAnswer = 1000

// Span is one prefix of the prompt in a CompletionRequest: its key, and its length in tokens.
type Span struct {
	Key qm.PrefixKey `json:"key"`
	End qm.Tokens    `json:"end"`
}

// CompletionRequest is the body of POST /v1/chat/completions.
type CompletionRequest struct {
	RequestID qm.RequestID `json:"request_id"`
	Model     qm.ModelID   `json:"model"`
	Version   qm.VersionID `json:"version,omitempty"`
	Messages  []qm.Message `json:"messages"`
	// MaxTokens limits the whole answer, including the part before ContinueFrom. 0 means 64.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	Stream    bool  `json:"stream"`
	// CacheSalt separates cache entries: requests with different salts share no blocks.
	CacheSalt string `json:"cache_salt,omitempty"`
	// Priority orders the wait queue, highest first.
	Priority int `json:"priority,omitempty"`
	// Blocks are the cache blocks of the prompt, shortest prefix first. If there are none, the engine hashes the text in
	// blocks of 4,000 tokens.
	Blocks []Span `json:"blocks,omitempty"`
	// ContinueFrom is the number of the first chunk to generate. If it is above 0, the last message, with the role assistant,
	// contains the text of the preceding chunks.
	ContinueFrom int64 `json:"continue_from,omitempty"`
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	mux.HandleFunc("GET /v1/streams/{id}", s.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", s.serveCancel)
	mux.HandleFunc("GET /v1/load", s.serveLoad)
	mux.HandleFunc("GET /v1/events", s.serveEvents)
	mux.HandleFunc("PUT /v1/desired", s.serveDesired)
	mux.HandleFunc("POST /v1/kv/export", s.serveExport)
	mux.HandleFunc("POST /v1/kv/import", s.serveImport)
	serve.HandleFaults(mux, s.Faults, s.SetFaults)
	mux.HandleFunc("PUT /admin/leaving", func(w http.ResponseWriter, r *http.Request) {
		var in struct{ Leaving bool }
		if serve.ReadJSON(w, r, &in) {
			s.SetLeaving(in.Leaving)
			serve.WriteJSON(w, http.StatusOK, in)
		}
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, s.Stats()) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/admin/") && s.isDown() {
			serve.Abort()
		}
		w.Header().Set("X-Incarnation", string(s.Incarnation()))
		if id := r.Header.Get("X-Request-Id"); id != "" {
			w.Header().Set("X-Request-Id", id)
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

func (e *requestError) write(w http.ResponseWriter) {
	serve.WriteError(w, e.status, e.retryAfter, e.msg)
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var in CompletionRequest
	if !serve.ReadJSON(w, r, &in) {
		return
	}
	c := s.current()
	w.Header().Set("X-Incarnation", string(c.incarnation))
	w.Header().Set("X-Request-Id", string(in.RequestID))
	if s.Faults().RefuseRequests {
		(&requestError{503, 1, "engine refuses requests"}).write(w)
		return
	}
	j, reqErr := newJob(&in, s.opts.Model)
	if reqErr == nil {
		j, reqErr = c.admit(j, in.Version)
	}
	if reqErr == nil && j.firstChunk > in.ContinueFrom {
		reqErr = &requestError{409, 0, "request is already running from a later chunk"}
	}
	if reqErr != nil {
		reqErr.write(w)
		return
	}
	s.stream(w, r, c, j, in.ContinueFrom)
}

// newJob validates a request and returns its job. It refuses emitted text that isn't the beginning of the answer to this
// prompt, since that means that the router mixed chunks of two requests.
func newJob(in *CompletionRequest, model qm.ModelID) (*job, *requestError) {
	switch {
	case in.RequestID == "" || len(in.Messages) == 0 || !in.Stream:
		return nil, &requestError{400, 0, "request_id, messages and stream are required"}
	case in.Model != model:
		return nil, &requestError{404, 0, "engine serves model " + string(model)}
	}
	messages, emitted := in.Messages, ""
	if in.ContinueFrom > 0 {
		messages, emitted = messages[:len(messages)-1], messages[len(messages)-1].Content
	}
	j := &job{id: in.RequestID, answer: newAnswer(messages, in.MaxTokens), salt: in.CacheSalt, firstChunk: in.ContinueFrom, priority: in.Priority}
	if j.firstChunk >= j.answer.length || j.firstChunk < 0 || emitted != j.answer.text(j.firstChunk) {
		return nil, &requestError{400, 0, "emitted text does not belong to this prompt"}
	}
	size := 0
	for _, m := range messages {
		size += len(m.Content)
	}
	for _, b := range in.Blocks {
		j.spans = append(j.spans, qm.PrefixSpan(b))
	}
	if len(j.spans) == 0 {
		j.spans = prefixSpans(messages)
	}
	j.promptTokens = qm.EstimateTokens(size) + qm.Tokens(j.firstChunk)
	return j, nil
}

func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	c := s.current()
	w.Header().Set("X-Incarnation", string(c.incarnation))
	w.Header().Set("X-Request-Id", r.PathValue("id"))
	j, ok := c.findJob(qm.RequestID(r.PathValue("id")))
	n := serve.QueryInt(r, "from", 0)
	switch {
	case !ok:
		serve.WriteError(w, http.StatusNotFound, 0, "no such stream")
	case n < j.firstChunk || n >= j.answer.length:
		serve.WriteError(w, http.StatusBadRequest, 0, "no such chunk")
	default:
		s.stream(w, r, c, j, n)
	}
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	j, ok := s.current().findJob(qm.RequestID(r.PathValue("id")))
	if !ok {
		serve.WriteError(w, http.StatusNotFound, 0, "no such stream")
		return
	}
	j.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, s.current().laggedReport())
}

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	limit := min(serve.QueryInt(r, "max", maxEventsPerAnswer), maxEventsPerAnswer)
	serve.WriteJSON(w, http.StatusOK, s.current().eventsFrom(serve.QueryInt(r, "from", 1), int(limit)))
}

func (s *Server) serveDesired(w http.ResponseWriter, r *http.Request) {
	var d Desired
	if !serve.ReadJSON(w, r, &d) {
		return
	}
	if s.Faults().RefuseCommands {
		(&requestError{503, 1, "engine refuses commands"}).write(w)
		return
	}
	if reqErr := s.current().applyDesired(d); reqErr != nil {
		reqErr.write(w)
		return
	}
	serve.WriteJSON(w, http.StatusOK, struct{ Incarnation qm.Incarnation }{s.Incarnation()})
}

func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var t Transfer
	if !serve.ReadJSON(w, r, &t) {
		return
	}
	m, err := s.current().exportKV(r.Context(), t)
	if err != nil {
		serve.WriteError(w, http.StatusBadGateway, 1, err.Error())
		return
	}
	serve.WriteJSON(w, http.StatusOK, m)
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var t Transfer
	if serve.ReadJSON(w, r, &t) {
		serve.WriteJSON(w, http.StatusOK, s.current().importKV(r.Context(), t))
	}
}
