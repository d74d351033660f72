package table

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// maxTombstones bounds the deleted rows that a table keeps for deltas. A peer that misses more deletions gets a whole
// table.
const maxTombstones = 1024

// tombstoneLog holds the rows that were deleted after the offset since.
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

// Delta holds the rows that changed between two offsets, or a whole table. A router sends it to a peer that is behind.
type Delta struct {
	Format int
	// Base is the lowest offset of a table that the delta can be applied to, 0 for a whole table.
	Base     qm.Offset
	CoversTo qm.Offset
	Rows     []*Row    `json:",omitempty"`
	Gone     []Key     `json:",omitempty"`
	Attempts []Attempt `json:",omitempty"`
	// Count and Digest are the number of rows and the digest of the table at CoversTo.
	Count  int
	Digest uint64
}

// Delta returns the changes since offset after, or nil if there are none. It returns the whole table if deletions after
// that offset are no longer known. The rows are shared with the table and immutable.
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

// Encode sorts the rows and returns the JSON form of the delta.
func (d *Delta) Encode() ([]byte, error) {
	sortRows(d.Rows)
	slices.SortFunc(d.Gone, func(a, b Key) int { return strings.Compare(a.String(), b.String()) })
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "encode delta")
}

// DecodeDelta decodes the output of Encode. It returns an error for another format, unknown fields or an empty row.
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

// ApplyDelta applies a delta of a peer. It returns an error, and leaves the table unchanged, if the delta cannot be
// applied at the table's offset or if the result differs from the delta's Count or Digest.
func (t *Table) ApplyDelta(d *Delta) error {
	if d.CoversTo <= t.offset {
		return errors.Errorf("delta to offset %d is not newer than the table at offset %d", d.CoversTo, t.offset)
	}
	if d.Base > t.offset {
		return errors.Errorf("delta from offset %d cannot be applied to the table at offset %d", d.Base, t.offset)
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
		return errors.Errorf("delta to offset %d does not match its count and digest: %d of %d rows",
			d.CoversTo, n.rowCount(), d.Count)
	}
	t.replaceWith(n)
	return nil
}

// copyFrom copies the rows, attempts and tombstones of o.
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
