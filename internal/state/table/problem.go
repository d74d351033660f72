package table

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Problem is one reason why a sheet or a table is invalid.
type Problem struct {
	// Line is the line of the sheet, 0 if the problem does not come from a sheet.
	Line int `json:",omitempty"`
	Row  Key
	// Column is empty if the problem concerns the whole row.
	Column string `json:",omitempty"`
	Reason string
}

// String returns the line, row and column, as far as they are set, and the reason.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Row != (Key{}) {
		fmt.Fprintf(&b, "%s: ", quoteUnprintable(p.Row.String()))
	}
	if p.Column != "" {
		fmt.Fprintf(&b, "%s: ", quoteUnprintable(p.Column))
	}
	b.WriteString(p.Reason)
	return b.String()
}

// ValidationError holds all problems of a sheet or a row.
type ValidationError struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return fmt.Sprintf("%d problems\n%s", len(e.Problems), strings.Join(lines, "\n"))
}

// quoteUnprintable quotes a name that holds characters which a terminal would interpret.
func quoteUnprintable(name string) string {
	for _, r := range name {
		if !strconv.IsPrint(r) || r == utf8.RuneError {
			return strconv.Quote(name)
		}
	}
	return name
}
