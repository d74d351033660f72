package sheet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"quetzalmount.dev/quetzalmount/internal/state/table"
)

func columns() *cli.Command {
	return newSubcommand("columns", "[KIND]", "explain the columns of the sheet", example("quetzalmount table columns team"),
		0, 1, func(_ context.Context, c *cli.Command) error {
			all := []table.Column{}
			for _, col := range table.Columns() {
				if c.NArg() == 0 || string(col.Kind) == c.Args().First() {
					all = append(all, col)
				}
			}
			if len(all) == 0 {
				return exitErrorf(ExitUsage, "%q is not a kind of row; kinds are %v", c.Args().First(), table.Kinds())
			}
			return render(c, all, func(w io.Writer) error {
				t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
				fmt.Fprintln(t, "KIND\tCOLUMN\tUNIT\tDEFAULT\tRANGE\tMEANING")
				for _, col := range all {
					def := col.Default
					if col.Required {
						def = "required"
					}
					fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", col.Kind, col.Name, orDash(col.Unit), orDash(def), col.Range(), col.Text)
				}
				return t.Flush()
			})
		})
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func hashKey() *cli.Command {
	return newSubcommand("hash-key", "[KEY]", "print the hash of a caller's key for the sheet",
		"Without an argument the key is the first line of the standard input, so that it stays out of the shell's history.\n"+
			example("quetzalmount table hash-key < key.txt"),
		0, 1, func(_ context.Context, c *cli.Command) error {
			key := c.Args().First()
			if key == "" {
				line, err := bufio.NewReader(c.Root().Reader).ReadString('\n')
				if err != nil && err != io.EOF {
					return wrapExitError(ExitUsage, err, "read the key")
				}
				key = strings.TrimRight(line, "\r\n")
			}
			if key == "" {
				return exitErrorf(ExitUsage, "the key is empty")
			}
			hash := table.HashKey(key)
			return render(c, struct{ Hash string }{hash}, func(w io.Writer) error {
				_, err := fmt.Fprintln(w, hash)
				return err
			})
		})
}

func newKey() *cli.Command {
	return newSubcommand("new-key", " ", "make a random key for a team and print it with its hash",
		"Give the key to the team and put the hash into the sheet. The key is not stored.\n"+example("quetzalmount table new-key"),
		0, 0, func(_ context.Context, c *cli.Command) error {
			key := table.NewKey()
			v := struct{ Key, Hash string }{key, table.HashKey(key)}
			return render(c, v, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "key   %s\nhash  %s\n", v.Key, v.Hash)
				return err
			})
		})
}

func check() *cli.Command {
	return newSubcommand("check", "FILE", "validate a sheet without the log service",
		"All problems are printed at once, with line, row, column and reason.\n"+example("quetzalmount table check examples/ledgerwell.csv"),
		1, 1, func(_ context.Context, c *cli.Command) error {
			sheet, err := readSheet(c, c.Args().First())
			if err != nil {
				return err
			}
			counts := make(map[table.Kind]int)
			for _, r := range sheet.Rows {
				counts[r.Kind]++
			}
			return render(c, counts, func(w io.Writer) error {
				var parts []string
				for _, k := range table.Kinds() {
					parts = append(parts, fmt.Sprintf("%d %s", counts[k], k))
				}
				_, err := fmt.Fprintf(w, "valid: %s\n", strings.Join(parts, ", "))
				return err
			})
		})
}
