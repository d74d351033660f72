// Package verbs implements the subcommands of quetzalmount.
//
// The exit code identifies the kind of failure, so that scripts need not parse messages.
package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/cli/sheet"
	"quetzalmount.dev/quetzalmount/internal/client/logsvc"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/infra/conf"
)

// Exit codes. Codes 3 and 5 are returned by the table subcommands only.
const (
	ExitOK            = 0
	ExitFailure       = 1 // the command failed, for example because a process did not answer
	ExitUsage         = 2 // invalid arguments, settings or sheet
	ExitRaceLost      = 3 // an edit was refused because of a concurrent edit
	ExitUnknown       = 4 // the outcome of an edit or a request is unknown
	ExitNotInForce    = 5 // the table was not in force at all instances before the timeout
	ExitRequestFailed = 6 // a request was refused or failed
)

// Version is the program version, set by the linker.
var Version = "dev"

// exitError is an error with a specific exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

// ExitCode implements cli.ExitCoder.
func (e *exitError) ExitCode() int { return e.code }

// usageErrorf returns an error with the exit code ExitUsage.
func usageErrorf(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: errors.Errorf(format, args...)}
}

// Main runs the command line args, prints an error to stderr and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	cmd := command(stdout, stderr)
	err := cmd.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "quetzalmount: %v\n", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var coded interface{ ExitCode() int }
	var faults conf.ErrorList
	switch {
	case errors.As(err, &coded):
		return coded.ExitCode()
	case errors.As(err, &faults):
		return ExitUsage
	}
	return ExitFailure
}

func command(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:                  "quetzalmount",
		Usage:                 "router for language-model requests that share long prompt prefixes",
		Version:               Version,
		Writer:                stdout,
		ErrWriter:             stderr,
		EnableShellCompletion: true,
		Suggest:               true,
		// Main prints the error; the default handler would print it too and exit.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Commands: []*cli.Command{
			serveCommand(stdout), platformCommand(stdout), checkCommand(stdout), sheet.New(sheet.Options{OpenLog: openLog}), statusCommand(stdout), metricsCommand(stdout), entriesCommand(stdout),
			callCommand(stdout), explainCommand(stdout), settingsCommand(stdout), versionCommand(stdout),
		},
	}
	for _, c := range root.Commands {
		// Commands do not inherit OnUsageError from their parent.
		c.OnUsageError = onUsageError
	}
	return root
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &exitError{code: ExitUsage, err: err}
}

// openLog returns a client of the log service at address, which must have the form HOST:PORT.
func openLog(address string) (qm.Log, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, usageErrorf("--log %q: want HOST:PORT", address)
	}
	return logsvc.New(address, pool.Options{}), nil
}

// outputFlag returns the flag that selects the output format.
func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Value: "text", Usage: "`FORMAT` of the result: text or json",
		Validator: func(v string) error {
			if v != "text" && v != "json" {
				return errors.Errorf("--output %q: want text or json", v)
			}
			return nil
		},
	}
}

// writeResult writes v as indented JSON, or calls writeText if the output format is text.
func writeResult(c *cli.Command, w io.Writer, v any, writeText func(w io.Writer)) error {
	if c.String("output") != "json" {
		writeText(w)
		return nil
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.WithMessage(e.Encode(v), "write result")
}

func versionCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version", Flags: []cli.Flag{outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			v := struct{ Version string }{Version}
			return writeResult(c, stdout, v, func(w io.Writer) { fmt.Fprintln(w, "quetzalmount", Version) })
		},
	}
}

func settingsCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "print an annotated settings file with all keys at their defaults",
		Action: func(context.Context, *cli.Command) error {
			_, err := stdout.Write(conf.Example())
			return errors.WithMessage(err, "write settings")
		},
	}
}
