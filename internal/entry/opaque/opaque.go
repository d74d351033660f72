// Package opaque implements the HTTP handler for callers whose requests are forwarded without being parsed.
//
// It reads a complete request, within the limits of the configuration in force, runs it as an exchange and writes the response, at
// once or event by event. The status of an error response tells whether an endpoint may have run the request.
package opaque

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/entry/strict"
	"quetzalmount.dev/quetzalmount/internal/infra/logs"
	"quetzalmount.dev/quetzalmount/internal/limit/memory"
	"quetzalmount.dev/quetzalmount/internal/limit/supply"
	"quetzalmount.dev/quetzalmount/internal/route/exchg"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

const (
	// bodyReadTimeout is the longest time for reading the body of a request. The deadline of the request applies too.
	bodyReadTimeout = 10 * time.Second
	// writeTimeout is the longest time for which a caller may take in nothing of a response, up to writeBytes. Callers, too, abandon a stalled stream after
	// seconds.
	writeTimeout = 10 * time.Second
	// writeBytes is the size of the parts in which a response is written, each within writeTimeout: the slowest caller that gets more takes 13 kbit/s.
	writeBytes = 16 << 10
	// requestCost is the memory of a request in progress beside its connection and body: its exchange, and the connection to an endpoint with its
	// goroutines and buffers.
	requestCost = 40 << 10
	// headCostFactor is the memory that a byte of a head takes beside the head itself once it is decoded: four bytes can name a part of a prompt.
	headCostFactor = 8
)

// Codec decodes and encodes the headers of the callers' protocol.
type Codec interface {
	// Decode converts a request whose body has not been read yet to an exchange. An error is an *quetzalmount.Error with outcome
	// OutcomeNotRun.
	Decode(r *http.Request, routes *qm.Routes, now time.Time) (*qm.Exchange, error)
	// RequestID returns the ID of a request, empty if it has none.
	RequestID(r *http.Request) qm.RequestID
	// CopyResponseHeader sets the headers of the response to the caller from an endpoint's response.
	CopyResponseHeader(to http.Header, resp *qm.Response)
	// SetErrorHeader sets the headers of an error response of the router itself.
	SetErrorHeader(to http.Header, r *http.Request, e *qm.Error)
}

// Runner runs exchanges.
type Runner interface {
	// Run runs x and writes its response to w. See exchg.Runner.Run for the errors.
	Run(ctx context.Context, x *qm.Exchange, w exchg.Writer) error
}

// Deps are the dependencies of a Handler.
type Deps struct {
	Board  *board.Board
	Codec  Codec
	Runner Runner
	// Admit charges an exchange against the limits of its team. The error is an *quetzalmount.Error with outcome OutcomeNotRun. refund is called if
	// the exchange is not run after all. nil means that teams have no limits.
	Admit func(ctx context.Context, x *qm.Exchange, routes *qm.Routes) (refund func(), err error)
	// StopTime returns the time by which this router stops, false if it is not stopping.
	StopTime func() (time.Time, bool)
	// Memory limits the bodies of all requests together; nil for no limit.
	Memory *memory.Limit
	// Supply is the memory for requests in progress; nil for no limit.
	Supply *supply.Limit
	// Stopping is done when open requests must be answered because the process ends; nil for never.
	Stopping context.Context
	Log      logr.Logger
}

// Handler is the HTTP handler for callers.
type Handler struct{ deps Deps }

// New returns a Handler.
func New(deps Deps) *Handler { return &Handler{deps: deps} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	headBytes, end, err := strict.Begin(r)
	defer end()
	if h.deps.Board.IsLeaving() {
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		h.refuse(w, r, qm.Refuse(qm.CodeBadRequest, "read head", "%v", err), true)
		return
	}
	routes, ok := h.deps.Board.Routes.Load()
	if !ok {
		h.refuse(w, r, qm.Refuse(qm.CodeNoTable, "route", "this router has no configuration yet").WithRetryAfter(noTableRetryAfter), false)
		return
	}
	if routes.RequestLimits.MaxHeaderBytes > 0 && headBytes > routes.RequestLimits.MaxHeaderBytes {
		h.refuse(w, r, qm.Refuse(qm.CodeHeaderTooLarge, "read head", "the head has %d bytes, more than %d", headBytes, routes.RequestLimits.MaxHeaderBytes), true)
		return
	}
	x, err := h.deps.Codec.Decode(r, routes, now)
	if err != nil {
		h.refuse(w, r, qm.AsError(err), false)
		return
	}
	x.Received = now
	if stopTime, stopping := h.deps.StopTime(); stopping && now.Add(exchg.EstimateDuration(x)).After(stopTime) {
		h.refuse(w, r, qm.Refuse(qm.CodeLeaving, "admit", "this router stops before the request would end").WithRetryAfter(leavingRetryAfter), true)
		return
	}
	if h.deps.Supply != nil {
		cost := int64(requestCost + headCostFactor*headBytes)
		if h.deps.Supply.Take(cost) != nil {
			h.refuse(w, r, qm.AsError(memoryError(x, "too many requests are in progress")), true)
			return
		}
		defer h.deps.Supply.Return(cost)
	}
	defer x.DropBody()
	if err := h.readBody(w, r, x, routes.RequestLimits.MaxBodyBytes); err != nil {
		h.refuse(w, r, qm.AsError(err), true)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if h.deps.Stopping != nil {
		defer context.AfterFunc(h.deps.Stopping, func() { cancel(exchg.ErrStopping) })()
	}
	refund, err := h.admit(ctx, x, routes)
	if err != nil {
		h.refuse(w, r, qm.AsError(err), false)
		return
	}
	rw := &responseWriter{handler: h, inner: w, control: http.NewResponseController(w), callerDeadline: x.CallerDeadline}
	err = h.deps.Runner.Run(ctx, x, rw)
	if err != nil && qm.AsError(err).Outcome == qm.OutcomeNotRun {
		refund()
	}
	switch {
	case err == nil:
	case rw.started || errors.Is(err, exchg.ErrIncomplete):
		// Aborts the connection, so that the caller doesn't take the incomplete response for a complete one.
		panic(http.ErrAbortHandler)
	case r.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	default:
		h.refuse(w, r, qm.AsError(err), false)
	}
}

// admit charges an exchange against the limits of its team.
func (h *Handler) admit(ctx context.Context, x *qm.Exchange, routes *qm.Routes) (refund func(), err error) {
	if h.deps.Admit == nil {
		return func() {}, nil
	}
	return h.deps.Admit(ctx, x, routes)
}

// noTableRetryAfter is the Retry-After of a router without a configuration. It has just started and gets one with its next request to
// the log or to a peer.
const noTableRetryAfter = 500 * time.Millisecond

// leavingRetryAfter is the Retry-After of a router that stops. The caller can retry at another router at once.
const leavingRetryAfter = 10 * time.Millisecond

// maxMemoryRetryAfter is the longest Retry-After of a request whose body doesn't fit into the memory. Bodies are dropped with their exchanges, of which
// several run.
const maxMemoryRetryAfter = time.Second

// readBody reads the body of a request into x.Body, within Deps.Memory. limit is the largest size in bytes, 0 for no limit.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, x *qm.Exchange, limit int64) error {
	if r.ContentLength == 0 {
		return nil
	}
	if limit > 0 && r.ContentLength > limit {
		return qm.Refuse(qm.CodeTooLarge, "read body", "the body has %d bytes, more than %d", r.ContentLength, limit)
	}
	held := h.deps.Memory.Body()
	x.ReleaseBody = held.Release
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(earlier(time.Now().Add(bodyReadTimeout), x.EffectiveDeadline))
	var err error
	body := io.Reader(r.Body)
	if limit > 0 {
		body = io.LimitReader(r.Body, limit+1)
	}
	if r.ContentLength > 0 {
		x.Body, err = readFull(body, r.ContentLength, held)
		if err == nil {
			// Makes net/http see the end of the body. Only then does it watch the connection and detect that the caller disconnects.
			_, _ = r.Body.Read(make([]byte, 1))
		}
	} else {
		x.Body, err = io.ReadAll(held.Reader(body, 1))
	}
	if errors.Is(err, memory.ErrFull) {
		return memoryError(x, err.Error())
	}
	if err != nil {
		return qm.Refuse(qm.CodeRequestTimeout, "read body", "the body did not arrive: %v", err).WithCause(err)
	}
	if limit > 0 && int64(len(x.Body)) > limit {
		return qm.Refuse(qm.CodeTooLarge, "read body", "the body has more than %d bytes", limit)
	}
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// refuse writes the error response for a request that no endpoint answered. closeConn closes the connection afterwards.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, e *qm.Error, closeConn bool) {
	status := e.HTTPStatus()
	if e.Outcome != qm.OutcomeNotRun && status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway
	}
	if e.Outcome == qm.OutcomeNotRun && (status == http.StatusBadGateway || status == http.StatusGatewayTimeout) {
		// Status 503 tells the caller that the request was not run and can be repeated.
		status = http.StatusServiceUnavailable
	}
	if closeConn || r.ContentLength < 0 {
		// The unread rest of the body must not be parsed as another request.
		w.Header().Set("Connection", "close")
	}
	h.deps.Codec.SetErrorHeader(w.Header(), r, e)
	h.deps.Log.Info("request refused", logs.RequestID, h.deps.Codec.RequestID(r), logs.Step, e.Step, logs.Code, e.Code,
		logs.Outcome, e.Outcome, "Status", status, "Reason", e.Message, "Method", r.Method, "Host", r.Host, "Path", r.URL.Path)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, e.Message+"\n")
}

// responseWriter writes the response of an exchange to the caller. It implements exchg.Writer.
type responseWriter struct {
	handler *Handler
	inner   http.ResponseWriter
	control *http.ResponseController
	started bool
	// callerDeadline is the time after which the caller waits no longer.
	callerDeadline time.Time
	// lastWrite is the time by which a complete response must be written, zero for a stream.
	lastWrite time.Time
}

var _ exchg.Writer = (*responseWriter)(nil)

// setHeader sets the headers for an endpoint's response.
func (w *responseWriter) setHeader(resp *qm.Response) {
	w.started = true
	w.handler.deps.Codec.CopyResponseHeader(w.inner.Header(), resp)
	if w.handler.deps.Board.IsLeaving() {
		w.inner.Header().Set("Connection", "close")
	}
}

// setDeadline sets the deadline of what is written next, also by net/http at the end of a response.
func (w *responseWriter) setDeadline() {
	deadline := time.Now().Add(writeTimeout)
	if !w.lastWrite.IsZero() {
		deadline = earlier(deadline, w.lastWrite)
	}
	_ = w.control.SetWriteDeadline(deadline)
}

// write writes a part of a response. Its deadlines don't include the time since the part before.
func (w *responseWriter) write(data []byte) error {
	for {
		n := min(len(data), writeBytes)
		w.setDeadline()
		if _, err := w.inner.Write(data[:n]); err != nil {
			return err
		}
		if data = data[n:]; len(data) == 0 {
			w.setDeadline()
			return nil
		}
	}
}

// WriteComplete implements exchg.Writer.
func (w *responseWriter) WriteComplete(resp *qm.Response, body []byte) error {
	w.setHeader(resp)
	if resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		w.inner.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.inner.WriteHeader(resp.Status)
	// A slow caller keeps the response in memory, which after its deadline is of no use to it.
	w.lastWrite = time.Now().Add(writeTimeout)
	if w.lastWrite.Before(w.callerDeadline) {
		w.lastWrite = w.callerDeadline
	}
	return errors.Wrap(w.write(body), "write answer")
}

// BeginStream implements exchg.Writer.
func (w *responseWriter) BeginStream(resp *qm.Response) error {
	w.setHeader(resp)
	w.inner.Header().Del("Content-Length")
	w.inner.WriteHeader(resp.Status)
	return nil
}

// WriteEvents implements exchg.Writer.
func (w *responseWriter) WriteEvents(raw []byte, flush bool) error {
	if err := w.write(raw); err != nil {
		return errors.Wrap(err, "write event")
	}
	if !flush {
		return nil
	}
	return errors.Wrap(w.control.Flush(), "flush events")
}

// EndStream implements exchg.Writer.
func (w *responseWriter) EndStream() error {
	w.setDeadline()
	return nil
}
