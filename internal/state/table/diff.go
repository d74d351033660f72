package table

import (
	"slices"
	"strings"

	qm "quetzalmount.dev/quetzalmount"
)

// Diff returns the changes that turn the table into rows, ordered by kind and name. Rows that are only in the table are
// deleted if prune is set, and kept otherwise.
func (t *Table) Diff(rows []*Row, prune bool) []Change {
	rows = slices.Clone(rows)
	sortRows(rows)
	target := make(map[Key]bool, len(rows))
	var out []Change
	for _, r := range rows {
		target[r.Key] = true
		if old := t.Row(r.Key); old == nil || !old.EqualContent(r) {
			out = append(out, Change{Key: r.Key, Base: t.version(r.Key), Cells: r.Cells()})
		}
	}
	if !prune {
		return out
	}
	for _, r := range t.Rows() {
		if !target[r.Key] {
			out = append(out, Change{Key: r.Key, Base: r.Version, Delete: true})
		}
	}
	return out
}

// MergeCells returns the change that sets the given cells of a row and keeps its other cells. An empty value resets a
// cell to its default. The change creates the row if it does not exist.
func (t *Table) MergeCells(k Key, cells map[string]string) Change {
	c := Change{Key: k, Cells: make(map[string]string)}
	if r := t.Row(k); r != nil {
		c.Base, c.Cells = r.Version, r.Cells()
	}
	for name, v := range cells {
		if v == "" {
			delete(c.Cells, name)
			continue
		}
		c.Cells[name] = v
	}
	return c
}

// ConflictsSince returns a conflict for each change whose row changed after the given offset.
func (t *Table) ConflictsSince(changes []Change, after qm.Offset) []Conflict {
	var out []Conflict
	for _, c := range changes {
		if r := t.Row(c.Key); r != nil && r.Version > after {
			out = append(out, Conflict{Key: c.Key, Row: r})
		}
	}
	return out
}

// Describe returns a change as one line: +, ~ or - for a new, changed or deleted row, the key, and the cells that
// change.
func (t *Table) Describe(c Change) string {
	if c.Delete {
		return "- " + c.Key.String()
	}
	sign, old := "~ ", map[string]string{}
	r := t.Row(c.Key)
	if r == nil {
		sign = "+ "
	} else {
		old = r.Cells()
	}
	var b strings.Builder
	b.WriteString(sign + c.Key.String())
	for _, column := range ColumnNames() {
		before, after := old[column], c.Cells[column]
		if before == after {
			continue
		}
		b.WriteString(" " + column + "=")
		if r != nil {
			b.WriteString(orDefault(before) + "->")
		}
		b.WriteString(orDefault(after))
	}
	return b.String()
}

func orDefault(v string) string {
	if v == "" {
		return "default"
	}
	return v
}
