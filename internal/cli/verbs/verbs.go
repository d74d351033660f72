// Package verbs holds the subcommands of quetzalmount.
//
// Exit codes tell kinds of failure apart, so that scripts need not read messages; the constants below list them.
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

// Exit codes. Codes 3 to 5 come from the table subcommands.
const (
	ExitOK          = 0
	ExitFailure     = 1 // the command failed, for example because a process did not answer
	ExitUsage       = 2 // wrong arguments, invalid settings or an invalid sheet
	ExitRaceLost    = 3 // an edit was refused because another one came first
	ExitUnknown     = 4 // the outcome is not known
	ExitNotInForce  = 5 // the table was not in force everywhere in time
	ExitRequestFail = 6 // a request was refused or failed
)

// Version is the version of the program, set by the linker.
var Version = "dev"

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

// ExitCode returns the exit code for the error.
func (e *exitError) ExitCode() int { return e.code }

func usage(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: errors.Errorf(format, args...)}
}

// Main runs the command line and returns its exit code.
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
		// Errors are printed once, by Main.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Commands: []*cli.Command{
			serveCommand(stdout), platformCommand(stdout), checkCommand(stdout), sheet.New(sheet.Options{OpenLog: openLog}), statusCommand(stdout), metricsCommand(stdout), entriesCommand(stdout),
			callCommand(stdout), explainCommand(stdout), settingsCommand(stdout), versionCommand(stdout),
		},
	}
	for _, c := range root.Commands {
		// Commands do not inherit the handler of their parent.
		c.OnUsageError = usageError
	}
	return root
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &exitError{code: ExitUsage, err: err}
}

// openLog returns a client of the log service for the table subcommands.
func openLog(address string) (qm.Log, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, usage("--log %q: want HOST:PORT", address)
	}
	return logsvc.New(address, pool.Options{}), nil
}

// output is the flag that every command with a result has.
func output() cli.Flag {
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

// show prints v as JSON, or calls text for the text format.
func show(c *cli.Command, w io.Writer, v any, text func(w io.Writer)) error {
	if c.String("output") != "json" {
		text(w)
		return nil
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.WithMessage(e.Encode(v), "write result")
}

func versionCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version", Flags: []cli.Flag{output()},
		Action: func(_ context.Context, c *cli.Command) error {
			v := struct{ Version string }{Version}
			return show(c, stdout, v, func(w io.Writer) { fmt.Fprintln(w, "quetzalmount", Version) })
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
