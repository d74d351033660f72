package sheet

import (
	"fmt"

	"github.com/pkg/errors"
)

// Exit codes of the subcommands.
const (
	ExitFailure    = 1 // nothing was changed, for example because the log service does not answer
	ExitUsage      = 2 // invalid arguments or sheet
	ExitRaceLost   = 3 // the edit was refused because of a concurrent edit
	ExitUnknown    = 4 // the edit may be in the log, or be appended to it later
	ExitNotInForce = 5 // the change was not in force at all instances before the timeout
)

// Error is the error of a subcommand with its exit code.
type Error struct {
	Code  int
	cause error
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// ExitCode implements cli.ExitCoder.
func (e *Error) ExitCode() int { return e.Code }

// exitErrorf returns an *Error with an exit code and a formatted message.
func exitErrorf(code int, format string, args ...any) error {
	return &Error{Code: code, cause: fmt.Errorf(format, args...)}
}

// wrapExitError returns an *Error that wraps err, with the name of the failed step before its message, or nil if err is nil.
func wrapExitError(code int, err error, step string) error {
	if err == nil {
		return nil
	}
	return &Error{Code: code, cause: errors.WithMessage(err, step)}
}
