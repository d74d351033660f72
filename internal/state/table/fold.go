package table

import (
	"fmt"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// ErrOutOfOrder is returned for a record that does not directly follow the last one.
var ErrOutOfOrder = errors.New("records are not consecutive")

// ApplyResult is the outcome of applying one record.
type ApplyResult struct {
	Offset qm.Offset
	// Attempt is empty for a record that could not be decoded.
	Attempt qm.AttemptID
	// Status is set for edits and voids.
	Status Status
	// Conflicts are the rows whose version was not the base of their change, as they were when the edit was refused.
	Conflicts []Conflict
	// Problems are the reasons other than conflicts for which the edit was refused.
	Problems []Problem
	// Mark is set for the last record of a snapshot.
	Mark *Mark
	// Alert is set for a record that cannot be decoded. Every reader skips it.
	Alert error
}

// Conflict is a row that changed after the version that an edit was based on.
type Conflict struct {
	Key
	// Row is the current row, nil if the row is not in the table.
	Row *Row
}

// Apply applies one record. It returns ErrOutOfOrder, and leaves the table unchanged, if the record does not directly
// follow the last one.
func (t *Table) Apply(rec qm.Record) (ApplyResult, error) {
	if rec.Offset != t.offset+1 {
		return ApplyResult{}, errors.WithMessagef(ErrOutOfOrder, "offset %d after %d", rec.Offset, t.offset)
	}
	t.offset = rec.Offset
	t.pruneAttempts()
	v := ApplyResult{Offset: rec.Offset}
	e, err := DecodeEntry(rec.Data)
	if err != nil {
		v.Alert = errors.WithMessagef(err, "record at offset %d is skipped", rec.Offset)
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

// applyEdit accepts an edit if the bases of its changes are the current versions and the resulting table is valid. It
// sets the status, the conflicts and the problems of v.
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

// Conflicts returns a conflict for each change whose base is not the current version of its row.
func (t *Table) Conflicts(changes []Change) []Conflict {
	var out []Conflict
	for _, c := range changes {
		if t.version(c.Key) != c.Base {
			out = append(out, Conflict{Key: c.Key, Row: t.Row(c.Key)})
		}
	}
	return out
}

// Check returns the problems that the changes would cause. It leaves the rows of the table unchanged.
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

// newRows returns the row of each change, nil for a deletion, and the problems of the changes.
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

// applyIfValid makes the changes. If the table is not valid afterwards, it reverts them and returns the problems.
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

// setRows replaces the row of each change. It removes the row if its replacement is nil.
func (t *Table) setRows(changes []Change, rows []*Row) {
	for i, c := range changes {
		if rows[i] == nil {
			t.remove(c.Key)
			continue
		}
		t.put(rows[i])
	}
}
