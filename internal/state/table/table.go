package table

import (
	"slices"

	qm "quetzalmount.dev/quetzalmount"
)

// Table is the configuration after the record at one offset. It is not safe for concurrent use.
type Table struct {
	offset qm.Offset
	rows   map[Kind]map[string]*Row
	// teamsPerKey counts the teams of each key hash, so that a duplicate is found without a scan of all teams.
	teamsPerKey map[string]int

	recent  recentAttempts
	deleted tombstoneLog
	// digest is the sum of the digests of rows and attempts. Tables at the same offset have the same digest.
	digest uint64

	// lastConfig is the last result of Config, and dirty holds the keys of the rows that changed since.
	lastConfig *qm.Config
	dirty      map[Key]bool
}

// New returns an empty table at offset 0.
func New() *Table {
	t := &Table{
		rows:        make(map[Kind]map[string]*Row),
		teamsPerKey: make(map[string]int),
		recent:      recentAttempts{byID: make(map[qm.AttemptID]Attempt)},
		dirty:       make(map[Key]bool),
	}
	for _, k := range Kinds() {
		t.rows[k] = make(map[string]*Row)
	}
	return t
}

// Offset returns the offset of the last applied record.
func (t *Table) Offset() qm.Offset { return t.offset }

// Digest returns a number that is equal for equal tables.
func (t *Table) Digest() uint64 { return t.digest }

// Row returns a row, or nil if there is none.
func (t *Table) Row(k Key) *Row { return t.rows[k.Kind][k.Name] }

// Rows returns all rows ordered by kind and name.
func (t *Table) Rows() []*Row {
	out := t.unsortedRows()
	sortRows(out)
	return out
}

func (t *Table) unsortedRows() []*Row {
	var out []*Row
	for _, m := range t.rows {
		out = slices.Grow(out, len(m))
		for _, r := range m {
			out = append(out, r)
		}
	}
	return out
}

func (t *Table) rowCount() int {
	n := 0
	for _, m := range t.rows {
		n += len(m)
	}
	return n
}

// version returns the version of a row, 0 if there is none.
func (t *Table) version(k Key) qm.Offset {
	if r := t.Row(k); r != nil {
		return r.Version
	}
	return 0
}

// put adds or replaces a row.
func (t *Table) put(r *Row) {
	t.remove(r.Key)
	t.rows[r.Kind][r.Name] = r
	if r.Kind == Team {
		t.teamsPerKey[r.Cell("Key")]++
	}
	t.digest += r.digest()
	t.dirty[r.Key] = true
}

// remove deletes a row if it exists.
func (t *Table) remove(k Key) {
	r := t.Row(k)
	if r == nil {
		return
	}
	delete(t.rows[k.Kind], k.Name)
	if k.Kind == Team {
		h := r.Cell("Key")
		if t.teamsPerKey[h]--; t.teamsPerKey[h] == 0 {
			delete(t.teamsPerKey, h)
		}
	}
	t.digest -= r.digest()
	t.dirty[k] = true
}
