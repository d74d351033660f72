package table

import (
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// DefaultPartRows is the usual number of rows in one record of a snapshot. Log services commonly take records of up to 1 MB; a
// row of a team with four cells takes 190 bytes (BenchmarkDeltaAndSnapshot), so a part has about 38 KB.
const DefaultPartRows = 200

// attemptsPerRow is how many attempts take about the space of one row.
const attemptsPerRow = 3

// Snapshot returns the records of a snapshot of the table with at most partRows rows in each, the last one being the
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

// load replaces the content of the table by that of a snapshot, if it is complete and of a higher offset.
func (t *Table) loadSnapshot(m *Mark, parts []*Part) error {
	if m.CoversTo <= t.offset {
		return errors.Errorf("snapshot of offset %d is not newer than %d", m.CoversTo, t.offset)
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
		return errors.Errorf("snapshot of offset %d is not complete: %d of %d parts, %d of %d rows",
			m.CoversTo, len(parts), m.Parts, n.rowCount(), m.Rows)
	}
	n.deleted.since = m.CoversTo
	t.replaceWith(n)
	return nil
}

// become takes over the content of n. Unchanged rows keep their built values.
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

// gather collects the parts of snapshots until one is complete.
type partCollector struct {
	parts map[qm.AttemptID]map[int]*Part
	order []qm.AttemptID
}

// openSnapshots bounds the snapshots that are collected at the same time; more are in the log only if as many writers
// failed in the middle.
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

// of returns the parts that were collected for a mark.
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
