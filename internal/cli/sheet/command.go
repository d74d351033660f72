package sheet

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/config"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

// Options are the dependencies of the subcommands.
type Options struct {
	// OpenLog returns a client of the log service at address.
	OpenLog func(address string) (qm.Log, error)
	// NewAttempt returns a new attempt ID. If nil, IDs are random.
	NewAttempt func() qm.AttemptID
}

// defaultTimeout limits the time in which a subcommand tries to reach the log service.
const defaultTimeout = 30 * time.Second

// defaultWithin limits the time in which wait polls the instances. It is more than twice the target of 4 s for a change to be in force.
const defaultWithin = 10 * time.Second

type app struct{ Options }

// New returns the command table with its subcommands.
func New(o Options) *cli.Command {
	a := &app{o}
	return &cli.Command{
		Name:  "table",
		Usage: "read, check and edit the configuration table",
		Description: "The table is one CSV sheet. Edits go to the log service and are accepted or refused as a whole.\n" +
			"Exit codes: 1 not done, 2 wrong usage or invalid sheet, 3 lost race, 4 outcome unknown, 5 not in force in time.\n" +
			example("quetzalmount table get > sheet.csv", "quetzalmount table apply sheet.csv --wait"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "text or json",
				Validator: func(s string) error {
					if s != "text" && s != "json" {
						return exitErrorf(ExitUsage, "--output is %q, want text or json", s)
					}
					return nil
				}},
			&cli.StringFlag{Name: "log", Sources: cli.EnvVars("QUETZALMOUNT_LOG"), Usage: "`URL` of the log service"},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "how long to try to reach the log service"},
			&cli.StringSliceFlag{Name: "instances", Sources: cli.EnvVars("QUETZALMOUNT_INSTANCES"),
				Usage: "`ADDRESS` of the operators' interface of each instance, separated by commas"},
			&cli.StringFlag{Name: "operator-key", Sources: cli.EnvVars("QUETZALMOUNT_OPERATOR_KEY"),
				Usage: "key for the operators' interface"},
			&cli.DurationFlag{Name: "within", Value: defaultWithin, Usage: "how long to wait until a change is in force"},
		},
		OnUsageError: usageError,
		Commands: []*cli.Command{
			a.get(), a.set(), a.delete(), a.apply(), a.diff(), a.wait(), columns(), hashKey(), newKey(), check(),
		},
	}
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return wrapExitError(ExitUsage, err, "usage")
}

func example(lines ...string) string {
	s := "\nExamples:"
	for _, l := range lines {
		s += "\n   " + l
	}
	return s
}

// newSubcommand returns a subcommand that takes between minArgs and maxArgs arguments.
func newSubcommand(name, args, usage, description string, minArgs, maxArgs int, run cli.ActionFunc) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: args, Description: description, OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			if n := c.NArg(); n < minArgs || n > maxArgs {
				return exitErrorf(ExitUsage, "table %s takes the arguments %s; %d were given", name, args, n)
			}
			return run(ctx, c)
		},
	}
}

// loadEditor returns an editor and the table that results from all records in the log.
func (a *app) loadEditor(ctx context.Context, c *cli.Command) (*config.Editor, *table.Table, error) {
	address := c.String("log")
	if address == "" {
		return nil, nil, exitErrorf(ExitUsage, "the address of the log service is missing: set --log or QUETZALMOUNT_LOG")
	}
	log, err := a.OpenLog(address)
	if err != nil {
		return nil, nil, wrapExitError(ExitUsage, err, "open the log service at "+address)
	}
	e := config.NewEditor(log, a.NewAttempt)
	t, err := e.Load(ctx)
	if err != nil {
		return nil, nil, wrapExitError(ExitFailure, err, "log service at "+address)
	}
	return e, t, nil
}

// readSheet reads and validates a sheet from the file name, or from standard input if name is "-".
func readSheet(c *cli.Command, name string) (*table.Sheet, error) {
	var in io.Reader = c.Root().Reader
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, wrapExitError(ExitUsage, err, "read the sheet")
		}
		defer f.Close()
		in = f
	}
	s, err := table.ReadSheet(in)
	if err != nil {
		return nil, wrapExitError(ExitUsage, err, name+" is not valid")
	}
	return s, nil
}

func parseKey(kind, name string) (table.Key, error) {
	for _, k := range table.Kinds() {
		if string(k) == kind {
			return table.Key{Kind: k, Name: name}, nil
		}
	}
	return table.Key{}, exitErrorf(ExitUsage, "%q is not a kind of row; kinds are %v", kind, table.Kinds())
}
