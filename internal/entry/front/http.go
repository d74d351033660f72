package front

import (
	"context"
	"io"
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
		r = r.WithContext(context.WithValue(r.Context(), requestIDContextKey, id))
		fw := &flushWriter{ResponseWriter: w, control: http.NewResponseController(w), writeTimeout: h.opts.WriteTimeout}
		release, err := h.reserve(r)
		if err != nil {
			w.Header().Set("Connection", "close") // the body is not read
			h.writeError(r.Context(), fw, h.NewError(r.Context(), err))
			return
		}
		defer release()
		held := h.deps.Memory.Body()
		defer held.Release()
		r.Body = http.MaxBytesReader(w, heldBody{held.Reader(r.Body, bodyCostFactor), r.Body}, h.opts.MaxBodyBytes)
		next.ServeHTTP(fw, r)
	})
}

const (
	// requestCost is the memory of a request in progress beside its connection and body: its completion or call, and the connection to an endpoint.
	requestCost = 40 << 10
	// bodyCostFactor is the memory that a byte of a body takes until its request has ended: it is buffered, decoded and written to an endpoint.
	bodyCostFactor = 3
	// memoryRetryAfter is the Retry-After of a request that doesn't fit into the memory. Others end all the time.
	memoryRetryAfter = time.Second
)

// reserve takes the memory for a request in progress, if it can have a body. The error is a refusal.
func (h *Handler) reserve(r *http.Request) (release func(), err error) {
	if h.deps.Supply == nil || r.ContentLength == 0 {
		return func() {}, nil
	}
	if h.deps.Supply.Take(requestCost) != nil {
		return nil, errNoMemory("Too many requests are in progress")
	}
	return func() { h.deps.Supply.Return(requestCost) }, nil
}

// errNoMemory returns the refusal of a request that doesn't fit into the memory.
func errNoMemory(cause string) *qm.Error {
	return qm.Refuse(qm.CodeOverload, "read body", "%s; nothing was run, try again later or use another address.", cause).WithRetryAfter(memoryRetryAfter)
}

// heldBody is a body that takes memory as it is read.
type heldBody struct {
	io.Reader
	io.Closer
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

// writePartBytes is the size of the parts in which data is written, each within the write timeout: a caller has stopped reading if it has taken
// less than that, which is a fraction of a usual socket buffer.
const writePartBytes = 16 << 10

// Write implements http.ResponseWriter. It flushes the data of an event stream.
func (w *flushWriter) Write(data []byte) (int, error) {
	n := 0
	for {
		part := data[n:min(n+writePartBytes, len(data))]
		// Writers without support for deadlines, such as the recorders of tests, are used without one.
		_ = w.control.SetWriteDeadline(time.Now().Add(w.writeTimeout))
		written, err := w.ResponseWriter.Write(part)
		n += written
		if err != nil {
			return n, err
		}
		if n == len(data) {
			break
		}
	}
	if w.isEventStream {
		return n, w.control.Flush()
	}
	return n, nil
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w *flushWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
