package table

import (
	"fmt"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// ErrOutOfOrder is returned for a record that is not the next one.
var ErrOutOfOrder = errors.New("record is not the next one")

// ApplyResult says what the fold made of one record.
type ApplyResult struct {
	Offset qm.Offset
	// Attempt is empty for a record that could not be decoded.
	Attempt qm.AttemptID
	// Status is empty for records that decide nothing.
	Status Status
	// Conflicts are the rows whose version was not the base of the edit, as they were when the edit lost. A deleted row
	// has no cells.
	Conflicts []Conflict
	// Problems are the reasons why the edit would not have led to a valid table.
	Problems []Problem
	// Mark is set for the end of a snapshot.
	Mark *Mark
	// Alert is set for a record that every reader skips.
	Alert error
}

// Conflict is a row that changed under an edit.
type Conflict struct {
	Key
	// Row is the winning row, nil if the row is not in the table.
	Row *Row
}

// Apply folds one record. Records must come in order without gaps, else the table is left as it is.
func (t *Table) Apply(rec qm.Record) (ApplyResult, error) {
	if rec.Offset != t.offset+1 {
		return ApplyResult{}, errors.WithMessagef(ErrOutOfOrder, "offset %d after %d", rec.Offset, t.offset)
	}
	t.offset = rec.Offset
	t.pruneAttempts()
	v := ApplyResult{Offset: rec.Offset}
	e, err := DecodeEntry(rec.Data)
	if err != nil {
		v.Alert = errors.WithMessagef(err, "offset %d is skipped", rec.Offset)
		return v, nil
	}
	v.Attempt = e.attemptID()
	if a, ok := t.Attempt(v.Attempt); ok && (e.Edit != nil || e.Void != nil) {
		v.Status = a.Status
		return v, nil
	}
	switch {
	case e.Edit != nil:
		t.applyEdit(&v, e.Edit)
		t.recordAttempt(Attempt{ID: v.Attempt, Offset: v.Offset, Status: v.Status})
	case e.Void != nil:
		v.Status = Voided
		t.recordAttempt(Attempt{ID: v.Attempt, Offset: v.Offset, Status: v.Status})
	case e.Mark != nil:
		v.Mark = e.Mark
	}
	return v, nil
}

// edit accepts an edit whose bases are the current versions and that leads to a valid table.
func (t *Table) applyEdit(v *ApplyResult, e *Edit) {
	v.Status = Refused
	if e.Seen < 0 || e.Seen >= v.Offset || v.Offset-e.Seen > AttemptWindow {
		v.Problems = []Problem{{Reason: fmt.Sprintf("the edit was based on offset %d and came too late at %d", e.Seen, v.Offset)}}
		return
	}
	v.Conflicts = t.Conflicts(e.Changes)
	if len(v.Conflicts) > 0 {
		return
	}
	rows, problems := newRows(e.Changes, v.Offset)
	if len(problems) == 0 {
		problems = t.applyIfValid(e.Changes, rows)
	}
	if len(problems) > 0 {
		v.Problems = problems
		return
	}
	for _, c := range e.Changes {
		if c.Delete {
			t.deleted.add(c.Key, v.Offset)
		}
	}
	v.Status = Accepted
}

// Conflicts returns the rows whose version is not the base of their change.
func (t *Table) Conflicts(changes []Change) []Conflict {
	var out []Conflict
	for _, c := range changes {
		if t.version(c.Key) != c.Base {
			out = append(out, Conflict{Key: c.Key, Row: t.Row(c.Key)})
		}
	}
	return out
}

// Check returns the problems that the changes would lead to, and leaves the table as it is.
func (t *Table) Check(changes []Change) []Problem {
	rows, problems := newRows(changes, t.offset+1)
	if len(problems) > 0 {
		return problems
	}
	old := t.currentRows(changes)
	if problems := t.applyIfValid(changes, rows); len(problems) > 0 {
		return problems
	}
	t.setRows(changes, old)
	return nil
}

// newRows returns the rows of changes, nil for a deleted one.
func newRows(changes []Change, version qm.Offset) ([]*Row, []Problem) {
	if len(changes) == 0 {
		return nil, []Problem{{Reason: "the edit has no changes"}}
	}
	var problems []Problem
	rows := make([]*Row, len(changes))
	seen := make(map[Key]bool, len(changes))
	for i, c := range changes {
		if seen[c.Key] {
			problems = append(problems, Problem{Row: c.Key, Reason: "the edit changes the row twice"})
			continue
		}
		seen[c.Key] = true
		if c.Delete {
			if c.Base == 0 {
				problems = append(problems, Problem{Row: c.Key, Reason: "there is no such row"})
			}
			continue
		}
		row, p := NewRow(c.Key, c.Cells)
		problems = append(problems, p...)
		if row != nil {
			row.Version = version
			rows[i] = row
		}
	}
	return rows, problems
}

// replace makes the changes if the table is valid afterwards, and returns its problems otherwise.
func (t *Table) applyIfValid(changes []Change, rows []*Row) []Problem {
	old := t.currentRows(changes)
	t.setRows(changes, rows)
	keys := make([]Key, len(changes))
	for i, c := range changes {
		keys[i] = c.Key
	}
	problems := t.validate(keys)
	if len(problems) > 0 {
		t.setRows(changes, old)
	}
	return problems
}

func (t *Table) currentRows(changes []Change) []*Row {
	out := make([]*Row, len(changes))
	for i, c := range changes {
		out[i] = t.Row(c.Key)
	}
	return out
}

func (t *Table) setRows(changes []Change, rows []*Row) {
	for i, c := range changes {
		if rows[i] == nil {
			t.remove(c.Key)
			continue
		}
		t.put(rows[i])
	}
}
