package table

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
)

// Key identifies a row.
type Key struct {
	Kind Kind
	Name string
}

// String returns the kind and the name.
func (k Key) String() string { return string(k.Kind) + " " + k.Name }

// Row is one row of the table. Rows in a Table are immutable.
type Row struct {
	Key
	// Version is the offset of the record that last changed the row, 0 for a row that is not in the table.
	Version qm.Offset
	// cells has one value for each column of the kind, empty for the default. A slice by position takes a third of the
	// memory of a map by column name.
	cells []string
}

// NewRow returns a row with canonical cells and the problems of its key and cells. Cells with a problem are empty. The
// row is nil if the kind is unknown.
func NewRow(key Key, cells map[string]string) (*Row, []Problem) {
	var problems []Problem
	fail := func(column, reason string) {
		problems = append(problems, Problem{Row: key, Column: column, Reason: reason})
	}
	l, ok := layouts[key.Kind]
	if !ok {
		fail("Kind", strconv.Quote(string(key.Kind))+" is not a kind of row")
		return nil, problems
	}
	if err := checkName(key.Name); err != nil {
		fail("Name", err.Error())
	}
	r := &Row{Key: key, cells: make([]string, len(l.columns))}
	for i := range l.columns {
		c := &l.columns[i]
		v, err := c.canonical(cells[c.Name])
		if err != nil {
			fail(c.Name, err.Error())
			continue
		}
		r.cells[i] = v
	}
	for _, name := range sortedKeys(cells) {
		if _, ok := l.index[name]; !ok && cells[name] != "" {
			fail(name, "a "+string(key.Kind)+" row has no such column")
		}
	}
	return r, problems
}

// Cell returns the cell as it is in the sheet, empty for the default.
func (r *Row) Cell(column string) string {
	i, ok := layouts[r.Kind].index[column]
	if !ok {
		return ""
	}
	return r.cells[i]
}

// Value returns the cell, or the default of the column if the cell is empty.
func (r *Row) Value(column string) string {
	l := layouts[r.Kind]
	i, ok := l.index[column]
	if !ok {
		return ""
	}
	if r.cells[i] != "" {
		return r.cells[i]
	}
	return l.columns[i].Default
}

// Cells returns the cells that are not empty, by column name.
func (r *Row) Cells() map[string]string {
	out := make(map[string]string, len(r.cells))
	for i, c := range layouts[r.Kind].columns {
		if r.cells[i] != "" {
			out[c.Name] = r.cells[i]
		}
	}
	return out
}

// EqualContent reports whether both rows have the same key and cells. It ignores their versions.
func (r *Row) EqualContent(o *Row) bool {
	return r.Key == o.Key && slices.Equal(r.cells, o.cells)
}

func (r *Row) number(column string) float64 {
	v, err := strconv.ParseFloat(r.Value(column), 64)
	if err != nil {
		return 0 // unreachable, NewRow validated the cell
	}
	return v
}

func (r *Row) isYes(column string) bool        { return r.Value(column) == "yes" }
func (r *Row) nameList(column string) []string { return strings.Fields(r.Value(column)) }

// digest returns the contribution of the row to the digest of a table.
func (r *Row) digest() uint64 {
	d := xxhash.New()
	write := func(s string) {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	write(string(r.Kind))
	write(r.Name)
	write(strconv.FormatInt(int64(r.Version), 10))
	for _, c := range r.cells {
		write(c)
	}
	return d.Sum64()
}

// rowWire is the JSON form of a Row.
type rowWire struct {
	Kind    Kind
	Name    string
	Version qm.Offset         `json:",omitempty"`
	Cells   map[string]string `json:",omitempty"`
}

// MarshalJSON writes the cells by column name.
func (r *Row) MarshalJSON() ([]byte, error) {
	return json.Marshal(rowWire{Kind: r.Kind, Name: r.Name, Version: r.Version, Cells: r.Cells()})
}

// UnmarshalJSON returns a *ValidationError for a row that has problems; see NewRow.
func (r *Row) UnmarshalJSON(data []byte) error {
	var w rowWire
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	n, problems := NewRow(Key{Kind: w.Kind, Name: w.Name}, w.Cells)
	if len(problems) > 0 {
		return &ValidationError{Problems: problems}
	}
	n.Version = w.Version
	*r = *n
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// sortRows sorts rows by kind and name, the order of a written sheet.
func sortRows(rows []*Row) {
	rank := make(map[Kind]int)
	for i, k := range Kinds() {
		rank[k] = i
	}
	slices.SortFunc(rows, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(rank[a.Kind], rank[b.Kind]), strings.Compare(a.Name, b.Name))
	})
}
