package claim

import (
	"bytes"
	"slices"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// keptKeys and keptBytes bound one Kept record, so that a snapshot never blocks the stream with one large append.
	keptKeys  = 200
	keptBytes = 64 << 10
	// gatherLimit bounds the snapshots that a reader collects at the same time; the oldest is dropped.
	gatherLimit = 3
)

// cut returns the records of a snapshot of f, which covers all records up to the offset [Keep].
func cut(f *fold, id attemptID, coversTo qm.Offset) []*record {
	var parts []*record
	part := &record{Kind: kindKept, Snapshot: id}
	size := 0
	for k, e := range f.keys {
		part.Keys = append(part.Keys, kept{Key: bytes.Clone(k[:]), Print: bytes.Clone(e.print[:]), Attempt: e.attempt, At: e.at,
			Done: e.done, Status: int(e.status), Answer: e.answer, NoAnswer: e.noAnswer})
		size += len(e.answer)
		if len(part.Keys) >= keptKeys || size >= keptBytes {
			parts = append(parts, part)
			part, size = &record{Kind: kindKept, Snapshot: id, Part: len(parts)}, 0
		}
	}
	part.Voids = slices.Clone(f.voided)
	parts = append(parts, part)
	return append(parts, &record{Kind: kindMark, Snapshot: id, Parts: len(parts), CoversTo: coversTo, Now: f.now})
}

// collected is a snapshot of which not all records were read yet.
type collected struct {
	parts map[int]*record
	mark  *record
}

// gather collects the snapshots in a stream for a reader without a complete history.
type gather struct {
	order []attemptID
	snaps map[attemptID]*collected
}

// add takes a Kept or Mark record and returns the snapshot that it completes, or nil.
func (g *gather) add(r *record) *collected {
	if g.snaps == nil {
		g.snaps = make(map[attemptID]*collected)
	}
	c := g.snaps[r.Snapshot]
	if c == nil {
		c = &collected{parts: make(map[int]*record)}
		g.snaps[r.Snapshot] = c
		g.order = append(g.order, r.Snapshot)
		if len(g.order) > gatherLimit {
			delete(g.snaps, g.order[0])
			g.order = g.order[1:]
		}
	}
	if r.Kind == kindMark {
		c.mark = r
	} else {
		c.parts[r.Part] = r
	}
	if c.mark == nil {
		return nil
	}
	for i := range c.mark.Parts {
		if c.parts[i] == nil {
			return nil
		}
	}
	return c
}

// restore returns the fold that the snapshot holds.
func (c *collected) restore(rules rules) *fold {
	f := newFold(rules)
	f.now = c.mark.Now
	var done []kept
	for i := range c.mark.Parts {
		for _, k := range c.parts[i].Keys {
			f.put(keyID(k.Key), &entry{attempt: k.Attempt, print: bodyPrint(k.Print), done: k.Done, noAnswer: k.NoAnswer,
				status: int32(k.Status), at: k.At})
			if len(k.Answer) > 0 {
				done = append(done, k)
			}
		}
		for _, a := range c.parts[i].Voids {
			f.voids[a] = struct{}{}
			f.voided = append(f.voided, a)
		}
	}
	slices.SortStableFunc(f.queue, func(a, b aged) int { return int(a.at - b.at) })
	slices.SortStableFunc(done, func(a, b kept) int { return int(a.At - b.At) })
	for _, k := range done {
		f.keepAnswer(keyID(k.Key), f.keys[keyID(k.Key)], k.Answer)
	}
	return f
}
