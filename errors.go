package quetzalmount

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Outcome states whether an endpoint ran a request.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeNotRun means that no endpoint ran the request and none will.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeDone means that an endpoint ran the request and its response is known.
	OutcomeDone Outcome = "Done"
	// OutcomeUnknown means that an endpoint may have run the request.
	OutcomeUnknown Outcome = "Unknown"
)

// Code is the machine-readable cause of an Error.
type Code string

// Error codes. Those that reach callers are part of the callers' protocol.
const (
	CodeBadRequest   Code = "BadRequest"
	CodeUnauthorized Code = "Unauthorized"
	CodeNotFound     Code = "NotFound"
	CodeTooLarge     Code = "TooLarge"
	// CodeHeaderTooLarge means that the request line and headers exceed RequestLimits.MaxHeaderBytes.
	CodeHeaderTooLarge Code = "HeaderTooLarge"
	// CodeRequestTimeout means that the complete request was not received in time.
	CodeRequestTimeout Code = "RequestTimeout"
	CodeConflict       Code = "Conflict"
	CodeRateLimit      Code = "RateLimit"
	CodeConcurrency    Code = "Concurrency"
	CodeQueueFull      Code = "QueueFull"
	CodeNoTable        Code = "NoTable"
	CodeNoEndpoint     Code = "NoEndpoint"
	CodeLogUnavailable Code = "LogUnavailable"
	CodeEndpointFailed Code = "EndpointFailed"
	CodeTimeout        Code = "Timeout"
	CodeLeaving        Code = "Leaving"
	CodeInternal       Code = "Internal"
	// CodeEndpointUnreached means that no byte of a request was sent to the endpoint.
	CodeEndpointUnreached Code = "EndpointUnreached"
	// CodeEndpointFull means that the endpoint rejected a request for lack of capacity, without running it.
	CodeEndpointFull Code = "EndpointFull"
	// CodeMisdirected means that the address is served by another endpoint than expected, or that the endpoint has
	// other weights than expected.
	CodeMisdirected Code = "Misdirected"
	// CodeEndpointAnsweredError means that an endpoint ran a request and returned an HTTP 5xx status of its own.
	CodeEndpointAnsweredError Code = "EndpointAnsweredError"
	// CodeOverload means that a request was not started because it was not expected to complete in time.
	CodeOverload Code = "Overload"
	// CodeFatalRequest means that a request was refused because equal requests ended the engines that ran them. A retry does not help.
	CodeFatalRequest Code = "FatalRequest"
	// CodeCallerLeft means that the caller closed its connection before the response was complete. It appears only in logs and
	// metrics.
	CodeCallerLeft Code = "CallerLeft"
)

// statusOf maps codes to HTTP status codes.
var statusOf = map[Code]int{
	CodeBadRequest:            http.StatusBadRequest,
	CodeUnauthorized:          http.StatusUnauthorized,
	CodeNotFound:              http.StatusNotFound,
	CodeTooLarge:              http.StatusRequestEntityTooLarge,
	CodeHeaderTooLarge:        http.StatusRequestHeaderFieldsTooLarge,
	CodeRequestTimeout:        http.StatusRequestTimeout,
	CodeConflict:              http.StatusConflict,
	CodeRateLimit:             http.StatusTooManyRequests,
	CodeConcurrency:           http.StatusTooManyRequests,
	CodeQueueFull:             http.StatusTooManyRequests,
	CodeNoTable:               http.StatusServiceUnavailable,
	CodeNoEndpoint:            http.StatusServiceUnavailable,
	CodeLogUnavailable:        http.StatusServiceUnavailable,
	CodeEndpointFailed:        http.StatusBadGateway,
	CodeTimeout:               http.StatusGatewayTimeout,
	CodeLeaving:               http.StatusServiceUnavailable,
	CodeInternal:              http.StatusInternalServerError,
	CodeEndpointUnreached:     http.StatusServiceUnavailable,
	CodeEndpointFull:          http.StatusServiceUnavailable,
	CodeMisdirected:           http.StatusServiceUnavailable,
	CodeEndpointAnsweredError: http.StatusBadGateway,
	CodeOverload:              http.StatusServiceUnavailable,
	CodeFatalRequest:          http.StatusInternalServerError,
}

// Error is a failed request, with the information a caller needs to decide on a retry: whether the request was run, and
// after which delay a retry may succeed.
type Error struct {
	Code    Code
	Outcome Outcome
	// Message is one sentence that a caller can understand without knowing the configured limits.
	Message string
	// Step names the processing step that failed, such as "claim" or "dispatch".
	Step string
	// Peer is the address or ID of the remote process, empty if none was involved.
	Peer string
	// RetryAfter is the delay after which a retry may succeed, 0 if a retry does not help.
	RetryAfter time.Duration
	// Operation is the ID under which the outcome can be looked up later, empty if it can't.
	Operation OperationID
	cause     error
}

// maxMessageBytes limits the message of an Error. The errors of HTTP clients quote what a peer has sent in place of a response.
const maxMessageBytes = 1 << 10

// limitMessage returns a message of at most maxMessageBytes.
func limitMessage(s string) string {
	if len(s) <= maxMessageBytes {
		return s
	}
	const suffix = "..."
	return strings.ToValidUTF8(s[:maxMessageBytes-len(suffix)], "") + suffix
}

// Refuse returns an Error with outcome OutcomeNotRun. The message is formatted from format and args.
func Refuse(code Code, step, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: OutcomeNotRun, Step: step, Message: limitMessage(fmt.Sprintf(format, args...))}
}

// Fail returns an Error with outcome OutcomeUnknown for a request that peer may have run. The message is that of cause.
func Fail(code Code, step, peer string, cause error) *Error {
	return &Error{Code: code, Outcome: OutcomeUnknown, Step: step, Peer: peer, Message: limitMessage(cause.Error()), cause: cause}
}

// Error returns the step, the peer, if any, and the message.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %s", e.Step, e.Message)
	}
	return fmt.Sprintf("%s at %s: %s", e.Step, e.Peer, e.Message)
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// HTTPStatus returns the HTTP status code for the error code, 500 for a code without one.
func (e *Error) HTTPStatus() int {
	if s, ok := statusOf[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// WithRetryAfter sets e.RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithPeer sets e.Peer and returns e.
func (e *Error) WithPeer(peer string) *Error {
	e.Peer = peer
	return e
}

// WithCause sets the error that Unwrap returns, and returns e.
func (e *Error) WithCause(err error) *Error {
	e.cause = err
	return e
}

// AsError returns the *Error in err's chain. An error without one becomes a CodeInternal error with outcome
// OutcomeUnknown, since the request may have run.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Fail(CodeInternal, "serve", "", err)
}

// ErrNotAppended is wrapped by the errors of appends that certainly had no effect, such as rate-limited or unsent ones.
var ErrNotAppended = errors.New("record not appended")

// ErrWrongRequest is wrapped by errors about a response that belongs to another request than the one it was received for.
var ErrWrongRequest = errors.New("answer belongs to another request")

// ErrOtherIncarnation is wrapped by errors about a response of another process of an endpoint than the one that ran the request, which is no more.
var ErrOtherIncarnation = errors.New("another process answered")
