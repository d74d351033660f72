package table

import (
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// DefaultPartRows is the default number of rows in one record of a snapshot. Log services commonly accept records of up
// to 1 MB; the row of a team with four cells takes 190 bytes (BenchmarkDeltaAndSnapshot), so a part has about 38 kB.
const DefaultPartRows = 200

// attemptsPerRow is the number of attempts that take about as much space as one row.
const attemptsPerRow = 3

// Snapshot returns the encoded records of a snapshot of the table: the parts, with at most partRows rows each, and the
// mark.
func (t *Table) Snapshot(id qm.AttemptID, partRows int) ([][]byte, error) {
	rows, attempts := t.Rows(), t.recent.byOffset
	mark := &Mark{Snapshot: id, CoversTo: t.offset, Rows: len(rows), Digest: t.digest}
	var out [][]byte
	add := func(e *Entry) error {
		data, err := e.Encode()
		out = append(out, data)
		return err
	}
	for len(rows) > 0 || len(attempts) > 0 {
		p := &Part{Snapshot: id, CoversTo: t.offset, Index: mark.Parts}
		if n := min(len(rows), partRows); n > 0 {
			p.Rows, rows = rows[:n], rows[n:]
		} else {
			n = min(len(attempts), partRows*attemptsPerRow)
			p.Attempts, attempts = attempts[:n], attempts[n:]
		}
		mark.Parts++
		if err := add(&Entry{Part: p}); err != nil {
			return nil, err
		}
	}
	return out, add(&Entry{Mark: mark})
}

// loadSnapshot replaces the content of the table with that of a snapshot. It returns an error, and leaves the table
// unchanged, if the snapshot is incomplete or not newer than the table.
func (t *Table) loadSnapshot(m *Mark, parts []*Part) error {
	if m.CoversTo <= t.offset {
		return errors.Errorf("snapshot at offset %d is not newer than the table at offset %d", m.CoversTo, t.offset)
	}
	n := New()
	n.offset = m.CoversTo
	for _, p := range parts {
		for _, r := range p.Rows {
			n.put(r)
		}
		for _, a := range p.Attempts {
			n.recordAttempt(a)
		}
	}
	if len(parts) != m.Parts || n.rowCount() != m.Rows || n.digest != m.Digest {
		return errors.Errorf("snapshot at offset %d is incomplete: %d of %d parts, %d of %d rows",
			m.CoversTo, len(parts), m.Parts, n.rowCount(), m.Rows)
	}
	n.deleted.since = m.CoversTo
	t.replaceWith(n)
	return nil
}

// replaceWith replaces the content of t with that of n. Unchanged rows keep their values in the last configuration.
func (t *Table) replaceWith(n *Table) {
	for k := range t.dirty {
		n.dirty[k] = true
	}
	for kind, m := range t.rows {
		for name, r := range m {
			k := Key{Kind: kind, Name: name}
			other := n.Row(k)
			switch {
			case other == nil:
				n.dirty[k] = true
			case other.EqualContent(r) && !t.dirty[k]:
				delete(n.dirty, k)
			}
		}
	}
	n.lastConfig = t.lastConfig
	*t = *n
}

// partCollector collects the parts of snapshots until one is complete.
type partCollector struct {
	parts map[qm.AttemptID]map[int]*Part
	order []qm.AttemptID
}

// maxOpenSnapshots bounds the snapshots that are collected at the same time. The log has more incomplete ones only if
// as many writers failed halfway.
const maxOpenSnapshots = 4

func (g *partCollector) add(p *Part) {
	if g.parts == nil {
		g.parts = make(map[qm.AttemptID]map[int]*Part)
	}
	m, ok := g.parts[p.Snapshot]
	if !ok {
		if len(g.order) == maxOpenSnapshots {
			delete(g.parts, g.order[0])
			g.order = g.order[1:]
		}
		m = make(map[int]*Part)
		g.parts[p.Snapshot] = m
		g.order = append(g.order, p.Snapshot)
	}
	m[p.Index] = p
}

// partsFor returns the collected parts of the mark's snapshot up to the first missing one.
func (g *partCollector) partsFor(m *Mark) []*Part {
	var out []*Part
	for i := range m.Parts {
		p, ok := g.parts[m.Snapshot][i]
		if !ok || p.CoversTo != m.CoversTo {
			break
		}
		out = append(out, p)
	}
	return out
}
