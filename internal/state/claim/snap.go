package claim

import (
	"bytes"
	"slices"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// maxPartKeys and maxPartBytes limit the keys and the bytes of answers in a Kept record, so that a snapshot does not
	// block the stream with a large append.
	maxPartKeys  = 200
	maxPartBytes = 64 << 10
	// maxPartialSnapshots is the maximum number of incomplete snapshots that a reader keeps. Above it the oldest is dropped.
	maxPartialSnapshots = 3
)

// snapshotRecords returns the records of a snapshot of f, which includes all records up to offset coversTo [Keep].
func snapshotRecords(f *fold, id attemptID, coversTo qm.Offset) []*record {
	var parts []*record
	part := &record{Kind: kindKept, Snapshot: id}
	size := 0
	for k, e := range f.keys {
		part.Keys = append(part.Keys, snapshotKey{Key: bytes.Clone(k[:]), Print: bytes.Clone(e.fingerprint[:]), Attempt: e.attempt, At: e.at,
			Done: e.done, Status: int(e.status), Answer: e.answer, NoAnswer: e.noAnswer})
		size += len(e.answer)
		if len(part.Keys) >= maxPartKeys || size >= maxPartBytes {
			parts = append(parts, part)
			part, size = &record{Kind: kindKept, Snapshot: id, Part: len(parts)}, 0
		}
	}
	part.Voids = slices.Clone(f.voidQueue)
	parts = append(parts, part)
	return append(parts, &record{Kind: kindMark, Snapshot: id, Parts: len(parts), CoversTo: coversTo, Now: f.now})
}

// partialSnapshot is a snapshot whose records may not all have been read.
type partialSnapshot struct {
	parts map[int]*record
	end   *record // the Mark record
}

// snapshotCollector collects the records of snapshots for a reader without the complete history.
type snapshotCollector struct {
	order   []attemptID
	partial map[attemptID]*partialSnapshot
}

// add adds a Kept or Mark record and returns the snapshot that it completes, or nil.
func (g *snapshotCollector) add(r *record) *partialSnapshot {
	if g.partial == nil {
		g.partial = make(map[attemptID]*partialSnapshot)
	}
	c := g.partial[r.Snapshot]
	if c == nil {
		c = &partialSnapshot{parts: make(map[int]*record)}
		g.partial[r.Snapshot] = c
		g.order = append(g.order, r.Snapshot)
		if len(g.order) > maxPartialSnapshots {
			delete(g.partial, g.order[0])
			g.order = g.order[1:]
		}
	}
	if r.Kind == kindMark {
		c.end = r
	} else {
		c.parts[r.Part] = r
	}
	if c.end == nil {
		return nil
	}
	for i := range c.end.Parts {
		if c.parts[i] == nil {
			return nil
		}
	}
	return c
}

// restore returns the fold of a complete snapshot.
func (c *partialSnapshot) restore(rules rules) *fold {
	f := newFold(rules)
	f.now = c.end.Now
	var answered []snapshotKey
	for i := range c.end.Parts {
		for _, k := range c.parts[i].Keys {
			f.put(keyID(k.Key), &entry{attempt: k.Attempt, fingerprint: fingerprint(k.Print), done: k.Done, noAnswer: k.NoAnswer,
				status: int32(k.Status), at: k.At})
			if len(k.Answer) > 0 {
				answered = append(answered, k)
			}
		}
		for _, a := range c.parts[i].Voids {
			f.voids[a] = struct{}{}
			f.voidQueue = append(f.voidQueue, a)
		}
	}
	slices.SortStableFunc(f.keyQueue, func(a, b timedKey) int { return int(a.at - b.at) })
	slices.SortStableFunc(answered, func(a, b snapshotKey) int { return int(a.At - b.At) })
	for _, k := range answered {
		f.storeAnswer(keyID(k.Key), f.keys[keyID(k.Key)], k.Answer)
	}
	return f
}
