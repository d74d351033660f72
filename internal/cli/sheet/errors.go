package sheet

import (
	"fmt"

	"github.com/pkg/errors"
)

// Exit codes of the subcommands.
const (
	ExitFailed     = 1 // nothing was changed, for example because the log does not answer
	ExitInvalid    = 2 // wrong usage or invalid sheet
	ExitLostRace   = 3
	ExitUnknown    = 4 // the edit may be in the log, now or later
	ExitNotInForce = 5
)

// Error is a failure of a subcommand.
type Error struct {
	Code  int
	cause error
}

// Error returns the cause.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// ExitCode returns the exit code of the process.
func (e *Error) ExitCode() int { return e.Code }

func fail(code int, format string, args ...any) error {
	return &Error{Code: code, cause: fmt.Errorf(format, args...)}
}

func failWith(code int, err error, step string) error {
	if err == nil {
		return nil
	}
	return &Error{Code: code, cause: errors.WithMessage(err, step)}
}
