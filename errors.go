package quetzalmount

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Outcome says whether a request was run by an endpoint.
type Outcome string

// Outcomes of a request.
const (
	// NotRun means that no endpoint ran the request and that none ever will.
	OutcomeNotRun Outcome = "NotRun"
	// Done means that an endpoint ran the request and that its answer is known.
	OutcomeDone Outcome = "Done"
	// Unknown means that an endpoint may have run the request.
	OutcomeUnknown Outcome = "Unknown"
)

// Code is the machine-readable reason of an Error.
type Code string

// Codes that callers see.
const (
	CodeBadRequest   Code = "BadRequest"
	CodeUnauthorized Code = "Unauthorized"
	CodeNotFound     Code = "NotFound"
	CodeTooLarge     Code = "TooLarge"
	// CodeHeaderTooLarge means that the head of a request has more bytes than the configuration allows.
	CodeHeaderTooLarge Code = "HeaderTooLarge"
	// CodeRequestTimeout means that a request did not arrive whole in time.
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
	// CodeUnreached means that no byte of a request left for the endpoint.
	CodeEndpointUnreached Code = "EndpointUnreached"
	// CodeEndpointFull means that the endpoint refused a request without running it.
	CodeEndpointFull Code = "EndpointFull"
	// CodeMisdirected means that the endpoint is not the expected one, or that it has other weights than expected.
	CodeMisdirected Code = "Misdirected"
	// CodeAnsweredError means that an endpoint ran a request and answered with a server error of its own.
	CodeEndpointAnsweredError Code = "EndpointAnsweredError"
	// CodeOverload means that a request could not be answered in time, so that it was not started.
	CodeOverload Code = "Overload"
	// CodeCallerLeft means that the caller closed its connection before its answer was whole. Nobody is left to see it.
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
}

// Error is a failure with what the caller needs to know: whether the request was run, and whether a retry makes sense.
type Error struct {
	Code    Code
	Outcome Outcome
	// Message is one sentence for a caller who never read the limits.
	Message string
	// Step names what was being done, such as "claim" or "dispatch".
	Step string
	// Peer is the address or id of the process on the other side, empty if there was none.
	Peer string
	// RetryAfter is 0 if a retry does not help.
	RetryAfter time.Duration
	// Operation is set if the outcome can be looked up later.
	Operation OperationID
	cause     error
}

// Refuse returns an Error for a request that was not run.
func Refuse(code Code, step, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: OutcomeNotRun, Step: step, Message: fmt.Sprintf(format, args...)}
}

// Fail returns an Error for a request that may have been run by peer.
func Fail(code Code, step, peer string, cause error) *Error {
	return &Error{Code: code, Outcome: OutcomeUnknown, Step: step, Peer: peer, Message: cause.Error(), cause: cause}
}

// Error returns the step, the peer and the message.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %s", e.Step, e.Message)
	}
	return fmt.Sprintf("%s at %s: %s", e.Step, e.Peer, e.Message)
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// Status returns the HTTP status of the error.
func (e *Error) HTTPStatus() int {
	if s, ok := statusOf[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// After sets the time after which a retry makes sense and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// At sets the peer and returns e.
func (e *Error) WithPeer(peer string) *Error {
	e.Peer = peer
	return e
}

// Because sets the cause and returns e.
func (e *Error) WithCause(err error) *Error {
	e.cause = err
	return e
}

// AsError returns err as an *Error. An error of another type becomes an internal error whose outcome is Unknown, since
// nothing can be said about what ran.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Fail(CodeInternal, "serve", "", err)
}

// ErrNotAppended is the cause of an append that certainly had no effect, such as one refused for its rate or never sent.
var ErrNotAppended = errors.New("record not appended")
