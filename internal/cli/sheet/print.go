package sheet

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/config"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

// render writes v as indented JSON, or calls text if the output format is text.
func render(c *cli.Command, v any, text func(w io.Writer) error) error {
	w := c.Root().Writer
	if c.String("output") != "json" {
		return text(w)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

// report is the output of an edit.
type report struct {
	Result  config.Result
	Attempt qm.AttemptID `json:",omitempty"`
	Offset  qm.Offset    `json:",omitempty"`
	Rows    []rowOutcome
	// Problems are the reasons why the edit would make the table invalid.
	Problems []table.Problem `json:",omitempty"`
	Cause    string          `json:",omitempty"`
}

// rowOutcome is the outcome of an edit for one row.
type rowOutcome struct {
	Kind   table.Kind
	Name   string
	Change string
	// Lost reports whether the row was changed concurrently. Winner is then the current row, nil if it was deleted.
	Lost   bool       `json:",omitempty"`
	Winner *table.Row `json:",omitempty"`
}

// newReport reports the outcome of changes. The descriptions must be made before the edit, since they depend on the table.
func newReport(out config.Outcome, changes []table.Change, descriptions []string) *report {
	r := &report{Rows: []rowOutcome{}, Result: out.Result, Attempt: out.Attempt, Offset: out.Offset, Problems: out.Problems}
	if out.Cause != nil {
		r.Cause = out.Cause.Error()
	}
	lost := make(map[table.Key]table.Conflict)
	for _, c := range out.Conflicts {
		lost[c.Key] = c
	}
	for i, c := range changes {
		o := rowOutcome{Kind: c.Kind, Name: c.Name, Change: descriptions[i]}
		if l, ok := lost[c.Key]; ok {
			o.Lost, o.Winner = true, l.Row
		}
		r.Rows = append(r.Rows, o)
	}
	return r
}

func (r *report) text(w io.Writer) error {
	var b strings.Builder
	switch r.Result {
	case config.Accepted:
		if len(r.Rows) == 0 {
			fmt.Fprintf(&b, "nothing to change at offset %d\n", r.Offset)
			break
		}
		fmt.Fprintf(&b, "accepted at offset %d\n", r.Offset)
	case config.Refused:
		b.WriteString("refused, nothing was changed\n")
	case config.NotApplied:
		fmt.Fprintf(&b, "not applied, nothing was changed: %s\n", r.Cause)
	case config.Unknown:
		fmt.Fprintf(&b, "unknown: attempt %s may be accepted later: %s\n", r.Attempt, r.Cause)
	}
	for _, o := range r.Rows {
		fmt.Fprintf(&b, "  %s\n", o.Change)
		switch {
		case o.Lost && o.Winner == nil:
			b.WriteString("    lost: the row is not in the table\n")
		case o.Lost:
			fmt.Fprintf(&b, "    lost: the row is at version %d: %s\n", o.Winner.Version, rowText(o.Winner))
		}
	}
	for _, p := range r.Problems {
		fmt.Fprintf(&b, "  problem: %s\n", p)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func rowText(r *table.Row) string {
	var cells []string
	for _, column := range table.ColumnNames() {
		if v := r.Cell(column); v != "" {
			cells = append(cells, column+"="+v)
		}
	}
	return strings.Join(cells, " ")
}

// err returns the error for an edit that was not accepted, or nil.
func (r *report) err() error {
	lost := 0
	for _, o := range r.Rows {
		if o.Lost {
			lost++
		}
	}
	switch {
	case r.Result == config.Accepted:
		return nil
	case r.Result == config.Unknown:
		return exitErrorf(ExitUnknown, "the outcome of the edit is unknown")
	case r.Result == config.NotApplied:
		return exitErrorf(ExitFailure, "the edit was not applied")
	case lost > 0:
		return exitErrorf(ExitRaceLost, "the edit lost: %d rows were changed by others", lost)
	case len(r.Problems) > 0:
		return exitErrorf(ExitUsage, "the edit would break the table")
	default:
		return exitErrorf(ExitRaceLost, "the edit was refused")
	}
}
