// Package opaque serves callers whose requests are forwarded without being understood.
//
// It reads a request whole, with the bounds of the configuration in force, runs it as an exchange and writes the answer: whole, or
// event by event. A request that could not be answered gets a status that says truly whether it may have run.
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
	"quetzalmount.dev/quetzalmount/internal/route/exchg"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

const (
	// bodyTime bounds the time in which a caller sends its body, beside the deadline of the request.
	bodyReadTimeout = 10 * time.Second
	// writeTime bounds the time in which a caller takes a part of its answer. Callers give up a silent stream after seconds too.
	writeTimeout = 10 * time.Second
)

// Codec knows the headers that callers read and write.
type Codec interface {
	// Decode makes an exchange of a request whose body was not read yet. The error is a refusal.
	Decode(r *http.Request, routes *qm.Routes, now time.Time) (*qm.Exchange, error)
	// Request returns the id of a request, empty if it has none.
	RequestID(r *http.Request) qm.RequestID
	// Answer copies the headers of an endpoint's answer to that for the caller.
	CopyResponseHeader(to http.Header, a *qm.Response)
	// Refuse sets the headers of an answer that the router makes itself.
	SetErrorHeader(to http.Header, r *http.Request, e *qm.Error)
}

// Runner runs exchanges.
type Runner interface {
	Run(ctx context.Context, x *qm.Exchange, w exchg.Writer) error
}

// Deps are the parts that a Handler works with.
type Deps struct {
	Board  *board.Board
	Codec  Codec
	Runner Runner
	// StopBy returns the time by which this router ends, false if it goes on.
	StopTime func() (time.Time, bool)
	Log      logr.Logger
}

// Handler serves callers.
type Handler struct{ deps Deps }

// New returns a Handler.
func New(deps Deps) *Handler { return &Handler{deps: deps} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	head, end, err := strict.Begin(r)
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
		h.refuse(w, r, qm.Refuse(qm.CodeNoTable, "route", "this router has no configuration yet").WithRetryAfter(noTableRetry), false)
		return
	}
	if routes.RequestLimits.MaxHeaderBytes > 0 && head > routes.RequestLimits.MaxHeaderBytes {
		h.refuse(w, r, qm.Refuse(qm.CodeHeaderTooLarge, "read head", "the head has %d bytes, more than %d", head, routes.RequestLimits.MaxHeaderBytes), true)
		return
	}
	x, err := h.deps.Codec.Decode(r, routes, now)
	if err != nil {
		h.refuse(w, r, qm.AsError(err), false)
		return
	}
	x.Received = now
	if by, stops := h.deps.StopTime(); stops && now.Add(exchg.Length(x)).After(by) {
		h.refuse(w, r, qm.Refuse(qm.CodeLeaving, "admit", "this router stops before the request would end").WithRetryAfter(leavingRetry), true)
		return
	}
	if err := readBody(w, r, x, routes.RequestLimits.MaxBodyBytes); err != nil {
		h.refuse(w, r, qm.AsError(err), true)
		return
	}
	a := &answer{handler: h, w: w, control: http.NewResponseController(w)}
	err = h.deps.Runner.Run(r.Context(), x, a)
	switch {
	case err == nil:
	case a.begun || errors.Is(err, exchg.ErrBegun):
		// Ends the connection without the end of the answer, so that nobody takes it for whole.
		panic(http.ErrAbortHandler)
	case r.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	default:
		h.refuse(w, r, qm.AsError(err), false)
	}
}

// noTableRetry is the time after which a caller should try again at a router that has just started: its configuration is one call to
// the log or to a peer away.
const noTableRetry = 500 * time.Millisecond

// leavingRetry is the time after which a caller should try again elsewhere.
const leavingRetry = 10 * time.Millisecond

// readBody reads the body of a request whole.
func readBody(w http.ResponseWriter, r *http.Request, x *qm.Exchange, limit int64) error {
	if r.ContentLength == 0 {
		return nil
	}
	if limit > 0 && r.ContentLength > limit {
		return qm.Refuse(qm.CodeTooLarge, "read body", "the body has %d bytes, more than %d", r.ContentLength, limit)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(earlier(time.Now().Add(bodyReadTimeout), x.EffectiveDeadline))
	var err error
	body := io.Reader(r.Body)
	if limit > 0 {
		body = io.LimitReader(r.Body, limit+1)
	}
	if r.ContentLength > 0 {
		x.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(body, x.Body)
		if err == nil {
			// Makes net/http see the end of the body, from where on it watches the connection for the caller leaving.
			_, _ = r.Body.Read(make([]byte, 1))
		}
	} else {
		x.Body, err = io.ReadAll(body)
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

// refuse answers a request without an endpoint.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, e *qm.Error, closing bool) {
	status := e.HTTPStatus()
	if e.Outcome != qm.OutcomeNotRun && status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway
	}
	if e.Outcome == qm.OutcomeNotRun && (status == http.StatusBadGateway || status == http.StatusGatewayTimeout) {
		// Tells the caller that the request did not run, so that it may send it again.
		status = http.StatusServiceUnavailable
	}
	if closing || r.ContentLength < 0 {
		// What is left of the request must not be taken for another one.
		w.Header().Set("Connection", "close")
	}
	h.deps.Codec.SetErrorHeader(w.Header(), r, e)
	h.deps.Log.Info("request refused", logs.RequestID, h.deps.Codec.RequestID(r), logs.Step, e.Step, logs.Code, e.Code, logs.Outcome, e.Outcome, "Status", status,
		"Reason", e.Message, "Method", r.Method, "Host", r.Host, "Path", r.URL.Path)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, e.Message+"\n")
}

// answer writes an answer to a caller.
type answer struct {
	handler *Handler
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool
}

var _ exchg.Writer = (*answer)(nil)

func (a *answer) head(from *qm.Response) {
	a.begun = true
	a.handler.deps.Codec.CopyResponseHeader(a.w.Header(), from)
	if a.handler.deps.Board.IsLeaving() {
		a.w.Header().Set("Connection", "close")
	}
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// Whole implements exchg.Writer.
func (a *answer) Whole(from *qm.Response, body []byte) error {
	a.head(from)
	if from.Status != http.StatusNoContent && from.Status != http.StatusNotModified {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.w.WriteHeader(from.Status)
	_, err := a.w.Write(body)
	return errors.Wrap(err, "write answer")
}

// Begin implements exchg.Writer.
func (a *answer) Begin(from *qm.Response) error {
	a.head(from)
	a.w.Header().Del("Content-Length")
	a.w.WriteHeader(from.Status)
	return nil
}

// Event implements exchg.Writer.
func (a *answer) Event(raw []byte, flush bool) error {
	if _, err := a.w.Write(raw); err != nil {
		return errors.Wrap(err, "write event")
	}
	if !flush {
		return nil
	}
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	return errors.Wrap(a.control.Flush(), "flush events")
}

// End implements exchg.Writer.
func (a *answer) End() error { return nil }
