package front

import (
	"context"
	"mime"
	"net/http"
	"time"

	"github.com/google/uuid"

	qm "quetzalmount.dev/quetzalmount"
)

type contextKey int

const (
	requestKey contextKey = iota
	teamKey
)

// RequestIDHeader carries the id of a request in every answer.
const RequestIDHeader = "X-Request-Id"

// wrap adds what concerns every request: its id, the bound on its body, and the flushing of event streams.
func (h *Handler) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := qm.RequestID(uuid.NewString())
		w.Header().Set(RequestIDHeader, string(id))
		if h.deps.Board.IsLeaving() {
			// The caller opens its next connection to another instance.
			w.Header().Set("Connection", "close")
		}
		r.Body = http.MaxBytesReader(w, r.Body, h.opts.MaxBodyBytes)
		fw := &flushWriter{ResponseWriter: w, control: http.NewResponseController(w), stall: h.opts.WriteStall}
		next.ServeHTTP(fw, r.WithContext(context.WithValue(r.Context(), requestKey, id)))
	})
}

func requestID(ctx context.Context) qm.RequestID {
	id, _ := ctx.Value(requestKey).(qm.RequestID)
	return id
}

// flushWriter sends each part of an event stream at once, and gives up on a caller that stops reading.
type flushWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
	stream  bool
}

// WriteHeader notes whether the answer is an event stream.
func (w *flushWriter) WriteHeader(status int) {
	media, _, err := mime.ParseMediaType(w.Header().Get("Content-Type"))
	w.stream = err == nil && media == "text/event-stream"
	if w.stream {
		w.Header().Set("Cache-Control", "no-store")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends data, and flushes it if it belongs to an event stream.
func (w *flushWriter) Write(p []byte) (int, error) {
	// A connection that cannot have deadlines, as in tests with a recorder, is written to without one.
	_ = w.control.SetWriteDeadline(time.Now().Add(w.stall))
	n, err := w.ResponseWriter.Write(p)
	if err == nil && w.stream {
		err = w.control.Flush()
	}
	return n, err
}

// Unwrap lets http.ResponseController reach the connection.
func (w *flushWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
