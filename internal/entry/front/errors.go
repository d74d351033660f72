package front

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/memory"
	"quetzalmount.dev/quetzalmount/internal/wire/caller"
)

// errorTypes maps HTTP status codes to the error types of the completions protocol.
var errorTypes = map[int]string{
	http.StatusBadRequest:            "invalid_request_error",
	http.StatusUnauthorized:          "authentication_error",
	http.StatusNotFound:              "invalid_request_error",
	http.StatusConflict:              "invalid_request_error",
	http.StatusRequestEntityTooLarge: "invalid_request_error",
	http.StatusTooManyRequests:       "rate_limit_error",
}

// NewError implements caller.Handler. It converts an error of a handler or of the key check into a response.
func (h *Handler) NewError(ctx context.Context, err error) *caller.ErrorStatusCodeWithHeaders {
	e := classify(err)
	out := &caller.ErrorStatusCodeWithHeaders{StatusCode: e.HTTPStatus(), Response: caller.ErrorBody{Error: errorDetail(ctx, e)}}
	if e.RetryAfter > 0 {
		out.RetryAfter = caller.NewOptInt(int((e.RetryAfter + time.Second - 1) / time.Second))
	}
	return out
}

// errorDetail returns the body of an error response or error event.
func errorDetail(ctx context.Context, e *qm.Error) caller.ErrorDetail {
	errorType, ok := errorTypes[e.HTTPStatus()]
	if !ok {
		errorType = "server_error"
	}
	d := caller.ErrorDetail{
		Message: e.Message, Type: errorType, Code: string(e.Code), Outcome: caller.Outcome(e.Outcome),
		RequestId: caller.NewOptString(string(requestIDFromContext(ctx))),
	}
	if e.Operation != "" {
		d.Operation = caller.NewOptString(string(e.Operation))
	}
	return d
}

// classify converts errors of the generated code into errors of the root package.
func classify(err error) *qm.Error {
	var (
		qmErr    *qm.Error
		tooLarge *http.MaxBytesError
		security *ogenerrors.SecurityError
		decode   *ogenerrors.DecodeRequestError
		params   *ogenerrors.DecodeParamsError
		media    *validate.InvalidContentTypeError
	)
	switch {
	case errors.As(err, &qmErr):
		return qmErr
	case errors.As(err, &security):
		return errUnauthorized()
	case errors.As(err, &tooLarge):
		return qm.Refuse(qm.CodeTooLarge, "read body",
			"The request is larger than %d bytes; send a shorter one.", tooLarge.Limit)
	case errors.Is(err, memory.ErrFull):
		return errNoMemory("The bodies of requests take too much memory")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return qm.Refuse(qm.CodeRequestTimeout, "read body", "The body did not arrive in time; nothing was run.")
	case errors.As(err, &media):
		return qm.Refuse(qm.CodeBadRequest, "read body", "The body must be JSON; send \"Content-Type: application/json\".")
	case errors.As(err, &decode), errors.As(err, &params):
		return qm.Refuse(qm.CodeBadRequest, "read request", "The request is not valid: %s.", decodeErrorMessage(err))
	}
	return qm.AsError(err)
}

// decodeErrorMessage returns the message of a decoding error. For a body it is that of the inner error, which names the field.
func decodeErrorMessage(err error) string {
	const maxMessageBytes = 300 // a message may quote the caller's text
	msg := err.Error()
	var body *ogenerrors.DecodeBodyError
	if errors.As(err, &body) {
		msg = body.Err.Error()
	}
	if len(msg) > maxMessageBytes {
		msg = msg[:maxMessageBytes]
	}
	return msg
}

// serveError writes the response for an error outside a handler, such as a body that can't be decoded.
func (h *Handler) serveError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	h.writeError(ctx, w, h.NewError(ctx, err))
}

func (h *Handler) serveNotFound(w http.ResponseWriter, r *http.Request) {
	h.writeError(r.Context(), w, h.NewError(r.Context(), qm.Refuse(qm.CodeNotFound, "route", "There is no such path.")))
}

func (h *Handler) serveMethodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	res := h.NewError(r.Context(), qm.Refuse(qm.CodeBadRequest, "route", "This path takes only %s.", allowed))
	res.StatusCode = http.StatusMethodNotAllowed
	h.writeError(r.Context(), w, res)
}

// writeError writes an error response.
func (h *Handler) writeError(ctx context.Context, w http.ResponseWriter, res *caller.ErrorStatusCodeWithHeaders) {
	if v, ok := res.RetryAfter.Get(); ok {
		w.Header().Set("Retry-After", strconv.Itoa(v))
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(res.StatusCode)
	var e jx.Encoder
	res.Response.Encode(&e)
	if _, err := e.WriteTo(w); err != nil {
		h.deps.Log.V(1).Info("error response not written", "RequestID", requestIDFromContext(ctx), "Cause", err.Error())
	}
}
