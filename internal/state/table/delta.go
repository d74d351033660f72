package table

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// tombstones bounds the deleted rows that a table remembers for deltas. A peer that misses more gets a whole table.
const maxTombstones = 1024

// gone are the rows deleted after an offset.
type tombstoneLog struct {
	since qm.Offset
	rows  []tombstone
}

type tombstone struct {
	Key
	Offset qm.Offset
}

func (g *tombstoneLog) add(k Key, off qm.Offset) {
	g.rows = append(g.rows, tombstone{Key: k, Offset: off})
	if len(g.rows) > maxTombstones {
		g.since = g.rows[0].Offset
		g.rows = g.rows[1:]
	}
}

// Delta is what a router gives to a router that is behind: the rows that changed between two offsets, or all rows.
type Delta struct {
	Format int
	// Base is the lowest offset of a table that the delta can be applied to; 0 is a whole table.
	Base     qm.Offset
	CoversTo qm.Offset
	Rows     []*Row    `json:",omitempty"`
	Gone     []Key     `json:",omitempty"`
	Attempts []Attempt `json:",omitempty"`
	// Count and Digest are those of the table at CoversTo.
	Count  int
	Digest uint64
}

// Delta returns what a table at offset after lacks, or nil if it lacks nothing. The rows are shared and immutable.
func (t *Table) Delta(after qm.Offset) *Delta {
	if after >= t.offset {
		return nil
	}
	if after < t.deleted.since {
		after = 0
	}
	d := &Delta{Format: format, Base: after, CoversTo: t.offset, Count: t.rowCount(), Digest: t.digest}
	for _, m := range t.rows {
		for _, r := range m {
			if r.Version > after {
				d.Rows = append(d.Rows, r)
			}
		}
	}
	for _, a := range t.recent.byOffset {
		if a.Offset > after {
			d.Attempts = append(d.Attempts, a)
		}
	}
	if after == 0 {
		return d
	}
	for _, g := range t.deleted.rows {
		if g.Offset > after && t.Row(g.Key) == nil && !slices.Contains(d.Gone, g.Key) {
			d.Gone = append(d.Gone, g.Key)
		}
	}
	return d
}

// Encode returns the JSON form.
func (d *Delta) Encode() ([]byte, error) {
	sortRows(d.Rows)
	slices.SortFunc(d.Gone, func(a, b Key) int { return strings.Compare(a.String(), b.String()) })
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "encode delta")
}

// DecodeDelta returns the delta that Encode wrote.
func DecodeDelta(data []byte) (*Delta, error) {
	var d Delta
	if err := decodeStrict(data, &d); err != nil {
		return nil, errors.Wrap(err, "decode delta")
	}
	if d.Format != format {
		return nil, errors.Errorf("decode delta: format %d, want %d", d.Format, format)
	}
	if hasEmptyRow(d.Rows) {
		return nil, errors.New("decode delta: empty row")
	}
	return &d, nil
}

// ApplyDelta applies a delta of a peer. It refuses one that does not fit or that does not lead to the table that the peer
// had, and leaves the table as it is then.
func (t *Table) ApplyDelta(d *Delta) error {
	if d.CoversTo <= t.offset {
		return errors.Errorf("delta to offset %d is not newer than %d", d.CoversTo, t.offset)
	}
	if d.Base > t.offset {
		return errors.Errorf("delta from offset %d does not fit %d", d.Base, t.offset)
	}
	n := New()
	n.offset = d.CoversTo
	if d.Base > 0 {
		n.copyFrom(t)
	}
	for _, k := range d.Gone {
		n.remove(k)
		n.deleted.add(k, d.CoversTo)
	}
	for _, r := range d.Rows {
		n.put(r)
	}
	for _, a := range d.Attempts {
		if _, ok := n.Attempt(a.ID); !ok {
			n.recordAttempt(a)
		}
	}
	n.pruneAttempts()
	if d.Base == 0 {
		n.deleted.since = d.CoversTo
	}
	if n.rowCount() != d.Count || n.digest != d.Digest {
		return errors.Errorf("delta to offset %d is not complete: %d of %d rows", d.CoversTo, n.rowCount(), d.Count)
	}
	t.replaceWith(n)
	return nil
}

// copyFrom takes over the rows, attempts and tombstones of t.
func (t *Table) copyFrom(o *Table) {
	for _, m := range o.rows {
		for _, r := range m {
			t.put(r)
		}
	}
	clear(t.dirty)
	for _, a := range o.recent.byOffset {
		t.recordAttempt(a)
	}
	t.deleted = tombstoneLog{since: o.deleted.since, rows: slices.Clone(o.deleted.rows)}
}
