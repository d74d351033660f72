package table

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Problem is one reason why a sheet or a table is not valid.
type Problem struct {
	// Line is the line of the sheet, 0 if there is no sheet.
	Line int `json:",omitempty"`
	Row  Key
	// Column is empty if the row as a whole is meant.
	Column string `json:",omitempty"`
	Reason string
}

// String returns line, row, column and reason.
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

// ValidationError is the error for a sheet or a table with problems. It has all of them.
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

// printable quotes a name from the input if it holds anything that a terminal would act on.
func quoteUnprintable(name string) string {
	for _, r := range name {
		if !strconv.IsPrint(r) || r == utf8.RuneError {
			return strconv.Quote(name)
		}
	}
	return name
}
