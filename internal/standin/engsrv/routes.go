package engsrv

import (
	"net/http"
	"strings"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

// maxEvents is the largest number of events in one answer.
const maxEvents = 1000

// Span is one step of the prompt in a Completion: the key of the prefix that ends there and its length in tokens.
type Span struct {
	Key qm.PrefixKey `json:"key"`
	End qm.Tokens    `json:"end"`
}

// Completion is the body of POST /v1/chat/completions.
type Completion struct {
	RequestID qm.RequestID `json:"request_id"`
	Model     qm.ModelID   `json:"model"`
	Version   qm.VersionID `json:"version,omitempty"`
	Messages  []qm.Message `json:"messages"`
	// MaxTokens bounds the whole answer, the part before ContinueFrom included.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	Stream    bool  `json:"stream"`
	// CacheSalt keeps cache entries apart.
	CacheSalt string `json:"cache_salt,omitempty"`
	// Priority orders the wait queue, larger first.
	Priority int `json:"priority,omitempty"`
	// Blocks are the cache blocks of the prompt, shortest prefix first. Without them the engine hashes the text in blocks of
	// 4,000 tokens.
	Blocks []Span `json:"blocks,omitempty"`
	// ContinueFrom is the number of the first chunk to generate. If it is above 0 the last message, of role assistant, is the
	// text of the chunks before it.
	ContinueFrom int64 `json:"continue_from,omitempty"`
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.complete)
	mux.HandleFunc("GET /v1/streams/{id}", s.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", s.cancel)
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("GET /v1/events", s.events)
	mux.HandleFunc("PUT /v1/desired", s.desired)
	mux.HandleFunc("POST /v1/kv/export", s.export)
	mux.HandleFunc("POST /v1/kv/import", s.importKV)
	serve.Faults(mux, s.Faults, s.SetFaults)
	mux.HandleFunc("PUT /admin/leaving", func(w http.ResponseWriter, r *http.Request) {
		var in struct{ Leaving bool }
		if serve.Read(w, r, &in) {
			s.Leave(in.Leaving)
			serve.JSON(w, http.StatusOK, in)
		}
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { serve.JSON(w, http.StatusOK, s.Stats()) })
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

func (f *refusal) write(w http.ResponseWriter) { serve.Refuse(w, f.status, f.after, f.msg) }

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var in Completion
	if !serve.Read(w, r, &in) {
		return
	}
	c := s.now()
	w.Header().Set("X-Incarnation", string(c.inc))
	w.Header().Set("X-Request-Id", string(in.RequestID))
	if s.Faults().RefuseRequests {
		(&refusal{503, 1, "engine refuses requests"}).write(w)
		return
	}
	j, ref := newJob(&in, s.opts.Model)
	if ref == nil {
		j, ref = c.admit(j, in.Version)
	}
	if ref == nil && j.from > in.ContinueFrom {
		ref = &refusal{409, 0, "request runs already, from a later chunk on"}
	}
	if ref != nil {
		ref.write(w)
		return
	}
	s.stream(w, r, c, j, in.ContinueFrom)
}

// newJob checks a request. An emitted text that is not the start of this engine's answer is refused, because it shows that
// the chunks of two requests were mixed.
func newJob(in *Completion, model qm.ModelID) (*job, *refusal) {
	switch {
	case in.RequestID == "" || len(in.Messages) == 0 || !in.Stream:
		return nil, &refusal{400, 0, "request_id, messages and stream are required"}
	case in.Model != model:
		return nil, &refusal{404, 0, "engine serves model " + string(model)}
	}
	messages, emitted := in.Messages, ""
	if in.ContinueFrom > 0 {
		messages, emitted = messages[:len(messages)-1], messages[len(messages)-1].Content
	}
	j := &job{id: in.RequestID, answer: newAnswer(messages, in.MaxTokens), salt: in.CacheSalt, from: in.ContinueFrom, priority: in.Priority}
	if j.from >= j.answer.length || j.from < 0 || emitted != j.answer.text(j.from) {
		return nil, &refusal{400, 0, "emitted text does not belong to this prompt"}
	}
	size := 0
	for _, m := range messages {
		size += len(m.Content)
	}
	for _, b := range in.Blocks {
		j.spans = append(j.spans, qm.PrefixSpan(b))
	}
	if len(j.spans) == 0 {
		j.spans = spansOf(messages)
	}
	j.prompt = qm.EstimateTokens(size) + qm.Tokens(j.from)
	return j, nil
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	c := s.now()
	w.Header().Set("X-Incarnation", string(c.inc))
	w.Header().Set("X-Request-Id", r.PathValue("id"))
	j, ok := c.find(qm.RequestID(r.PathValue("id")))
	n := serve.Number(r, "from", 0)
	switch {
	case !ok:
		serve.Refuse(w, http.StatusNotFound, 0, "no such stream")
	case n < j.from || n >= j.answer.length:
		serve.Refuse(w, http.StatusBadRequest, 0, "no such chunk")
	default:
		s.stream(w, r, c, j, n)
	}
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	j, ok := s.now().find(qm.RequestID(r.PathValue("id")))
	if !ok {
		serve.Refuse(w, http.StatusNotFound, 0, "no such stream")
		return
	}
	j.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, s.now().lagged())
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	limit := min(serve.Number(r, "max", maxEvents), maxEvents)
	serve.JSON(w, http.StatusOK, s.now().eventsFrom(serve.Number(r, "from", 1), int(limit)))
}

func (s *Server) desired(w http.ResponseWriter, r *http.Request) {
	var d Desired
	if !serve.Read(w, r, &d) {
		return
	}
	if s.Faults().RefuseCommands {
		(&refusal{503, 1, "engine refuses commands"}).write(w)
		return
	}
	if ref := s.now().desire(d); ref != nil {
		ref.write(w)
		return
	}
	serve.JSON(w, http.StatusOK, struct{ Incarnation qm.Incarnation }{s.Incarnation()})
}

func (s *Server) export(w http.ResponseWriter, r *http.Request) {
	var t Transfer
	if !serve.Read(w, r, &t) {
		return
	}
	m, err := s.now().export(r.Context(), t)
	if err != nil {
		serve.Refuse(w, http.StatusBadGateway, 1, err.Error())
		return
	}
	serve.JSON(w, http.StatusOK, m)
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var t Transfer
	if serve.Read(w, r, &t) {
		serve.JSON(w, http.StatusOK, s.now().importKV(r.Context(), t))
	}
}
