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
	requestIDContextKey contextKey = iota
	teamContextKey
)

// RequestIDHeader is the header of every response that has the ID of the request.
const RequestIDHeader = "X-Request-Id"

// withRequestContext returns a handler that adds a request ID, limits the size of the body, and flushes event streams, for all
// requests to next.
func (h *Handler) withRequestContext(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := qm.RequestID(uuid.NewString())
		w.Header().Set(RequestIDHeader, string(id))
		if h.deps.Board.IsLeaving() {
			// Makes the caller connect again, to another instance.
			w.Header().Set("Connection", "close")
		}
		r.Body = http.MaxBytesReader(w, r.Body, h.opts.MaxBodyBytes)
		fw := &flushWriter{ResponseWriter: w, control: http.NewResponseController(w), writeTimeout: h.opts.WriteTimeout}
		next.ServeHTTP(fw, r.WithContext(context.WithValue(r.Context(), requestIDContextKey, id)))
	})
}

func requestIDFromContext(ctx context.Context) qm.RequestID {
	id, _ := ctx.Value(requestIDContextKey).(qm.RequestID)
	return id
}

// flushWriter flushes event streams after each write, and fails writes to a caller that stops reading.
type flushWriter struct {
	http.ResponseWriter
	control       *http.ResponseController
	writeTimeout  time.Duration
	isEventStream bool
}

// WriteHeader implements http.ResponseWriter. It detects event streams and forbids to cache them.
func (w *flushWriter) WriteHeader(status int) {
	media, _, err := mime.ParseMediaType(w.Header().Get("Content-Type"))
	w.isEventStream = err == nil && media == "text/event-stream"
	if w.isEventStream {
		w.Header().Set("Cache-Control", "no-store")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. It flushes the data of an event stream.
func (w *flushWriter) Write(data []byte) (int, error) {
	// Writers without support for deadlines, such as the recorders of tests, are used without one.
	_ = w.control.SetWriteDeadline(time.Now().Add(w.writeTimeout))
	n, err := w.ResponseWriter.Write(data)
	if err == nil && w.isEventStream {
		err = w.control.Flush()
	}
	return n, err
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w *flushWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
