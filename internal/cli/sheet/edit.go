package sheet

import (
	"context"
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/urfave/cli/v3"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/config"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

func (a *app) get() *cli.Command {
	return newSubcommand("get", "[KIND [NAME]]", "print the table, one kind of rows, or one row",
		"Reads the log to its end. The text is a sheet; the offset goes to the standard error output.\n"+
			example("quetzalmount table get", "quetzalmount table get team chess-club --output json"),
		0, 2, func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			_, t, err := a.loadEditor(ctx, c)
			if err != nil {
				return err
			}
			rows := []*table.Row{}
			for _, r := range t.Rows() {
				kind, name := c.Args().Get(0), c.Args().Get(1)
				if (kind == "" || kind == string(r.Kind)) && (name == "" || name == r.Name) {
					rows = append(rows, r)
				}
			}
			if len(rows) == 0 && c.NArg() > 0 {
				return exitErrorf(ExitUsage, "there is no row %s", strings.Join(c.Args().Slice(), " "))
			}
			v := struct {
				Offset qm.Offset
				Rows   []*table.Row
			}{t.Offset(), rows}
			return render(c, v, func(w io.Writer) error {
				fmt.Fprintf(c.Root().ErrWriter, "table at offset %d\n", t.Offset())
				return table.WriteSheet(w, rows)
			})
		})
}

// unsetBase is the default of --base and --at: the edit is based on the current version of the row or table.
const unsetBase = -1

// editFlags returns the flags of the editing subcommands; name is the flag for the version that the edit is based on.
func editFlags(name, usage string) []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{Name: name, Value: unsetBase, DefaultText: "as it is now", Usage: usage},
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force at all instances"},
	}
}

func (a *app) set() *cli.Command {
	s := newSubcommand("set", "KIND NAME COLUMN=VALUE...", "change or create one row",
		"Columns that are not named keep their values; an empty value means the default.\n"+
			example("quetzalmount table set team chess-club Weight=2 Concurrency=", "quetzalmount table set --base 17 team chess-club Weight=3"),
		3, math.MaxInt, func(ctx context.Context, c *cli.Command) error {
			key, err := parseKey(c.Args().Get(0), c.Args().Get(1))
			if err != nil {
				return err
			}
			cells := make(map[string]string)
			for _, arg := range c.Args().Slice()[2:] {
				name, v, ok := strings.Cut(arg, "=")
				if !ok {
					return exitErrorf(ExitUsage, "%q is not of the form COLUMN=VALUE", arg)
				}
				cells[name] = v
			}
			return a.edit(ctx, c, func(t *table.Table) ([]table.Change, []table.Conflict, error) {
				change := t.MergeCells(key, cells)
				if r := t.Row(key); r != nil {
					if n, _ := table.NewRow(key, change.Cells); n != nil && n.EqualContent(r) {
						return nil, nil, nil
					}
				}
				return withBase(c, change), nil, nil
			})
		})
	s.Flags = editFlags("base", "`VERSION` of the row that the change is based on, 0 for a new row")
	return s
}

// withBase returns change, based on the row version given by --base if the flag is set.
func withBase(c *cli.Command, change table.Change) []table.Change {
	if b := c.Int64("base"); b != unsetBase {
		change.Base = qm.Offset(b)
	}
	return []table.Change{change}
}

func (a *app) delete() *cli.Command {
	s := newSubcommand("delete", "KIND NAME", "delete one row", "A row that others refer to cannot be deleted.\n"+
		example("quetzalmount table delete team chess-club"),
		2, 2, func(ctx context.Context, c *cli.Command) error {
			key, err := parseKey(c.Args().Get(0), c.Args().Get(1))
			if err != nil {
				return err
			}
			return a.edit(ctx, c, func(t *table.Table) ([]table.Change, []table.Conflict, error) {
				r := t.Row(key)
				if r == nil {
					return nil, nil, exitErrorf(ExitUsage, "there is no %s", key)
				}
				return withBase(c, table.Change{Key: key, Base: r.Version, Delete: true}), nil, nil
			})
		})
	s.Flags = editFlags("base", "`VERSION` of the row that the deletion is based on")
	return s
}

func pruneFlag() cli.Flag {
	return &cli.BoolFlag{Name: "prune", Usage: "delete rows that are not in the sheet"}
}

func (a *app) apply() *cli.Command {
	s := newSubcommand("apply", "FILE", "make the table equal to a sheet",
		"The changes are one edit, accepted or refused as a whole. Rows that are not in the sheet are kept unless --prune is\n"+
			"given. With --at, rows that changed after that offset are not overwritten.\n"+
			example("quetzalmount table apply examples/ledgerwell.csv", "quetzalmount table apply --at 17 --prune --wait sheet.csv"),
		1, 1, func(ctx context.Context, c *cli.Command) error {
			sheet, err := readSheet(c, c.Args().First())
			if err != nil {
				return err
			}
			return a.edit(ctx, c, func(t *table.Table) ([]table.Change, []table.Conflict, error) {
				changes := t.Diff(sheet.Rows, c.Bool("prune"))
				if at := c.Int64("at"); at != unsetBase {
					return changes, t.ConflictsSince(changes, qm.Offset(at)), nil
				}
				return changes, nil, nil
			})
		})
	s.Flags = append(editFlags("at", "`OFFSET` of the table that the sheet was made from"), pruneFlag())
	return s
}

// edit applies the changes that planChanges returns for the current table and prints the result. It applies nothing if planChanges
// reports conflicts.
func (a *app) edit(ctx context.Context, c *cli.Command,
	planChanges func(*table.Table) ([]table.Change, []table.Conflict, error)) error {
	editCtx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	e, t, err := a.loadEditor(editCtx, c)
	if err != nil {
		return err
	}
	changes, conflicts, err := planChanges(t)
	if err != nil {
		return err
	}
	descriptions := make([]string, len(changes))
	for i, change := range changes {
		descriptions[i] = t.Describe(change)
	}
	out := config.Outcome{Result: config.Refused, Conflicts: conflicts}
	switch {
	case len(changes) == 0:
		out = config.Outcome{Result: config.Accepted, Offset: t.Offset()} // the table already has the wanted content
	case len(conflicts) == 0:
		if out, err = e.Apply(editCtx, changes); err != nil {
			return wrapExitError(ExitUsage, err, "edit")
		}
	}
	r := newReport(out, changes, descriptions)
	if err := render(c, r, r.text); err != nil {
		return err
	}
	if err := r.err(); err != nil || !c.Bool("wait") {
		return err
	}
	return a.waitInForce(ctx, c, out.Offset)
}

func (a *app) diff() *cli.Command {
	s := newSubcommand("diff", "FILE", "show what apply would change", "Lines start with + for a new row, ~ for a change, - for a deletion.\n"+
		example("quetzalmount table diff --prune sheet.csv"),
		1, 1, func(ctx context.Context, c *cli.Command) error {
			sheet, err := readSheet(c, c.Args().First())
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			_, t, err := a.loadEditor(ctx, c)
			if err != nil {
				return err
			}
			changes := t.Diff(sheet.Rows, c.Bool("prune"))
			return render(c, changes, func(w io.Writer) error {
				for _, change := range changes {
					fmt.Fprintln(w, t.Describe(change))
				}
				_, err := fmt.Fprintf(w, "%d changes to the table at offset %d\n", len(changes), t.Offset())
				return err
			})
		})
	s.Flags = []cli.Flag{pruneFlag()}
	return s
}
