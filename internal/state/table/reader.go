package table

import (
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// ErrNoSnapshot is the alert of a reader that missed records and has not found a complete snapshot yet.
var ErrNoSnapshot = errors.New("records were dropped by retention and no complete snapshot was found yet")

// ErrLogBehind is the alert of a reader that is ahead of the log, which happens only if the log lost records.
var ErrLogBehind = errors.New("the log ends before the offset that was applied")

// Reader folds batches of the log into a table. It never goes back: every step leaves the table at the same offset or a
// higher one. It is not safe for concurrent use.
type Reader struct {
	table *Table
	next  qm.Offset
	// lost tells that records after the table's offset were dropped by retention, so that the table can only be replaced
	// by a complete snapshot.
	hasGap bool
	partCollector
}

// NewReader returns a reader before the first record.
func NewReader() *Reader { return &Reader{table: New(), next: 1} }

// Table returns the reader's table, which later calls change.
func (r *Reader) Table() *Table { return r.table }

// Next returns the offset to read from.
func (r *Reader) Next() qm.Offset { return r.next }

// HasGap reports whether records are missing, so that the table is older than what the log still has.
func (r *Reader) HasGap() bool { return r.hasGap }

// ApplyBatch folds a batch that was read from an earlier or the current value of Next. It returns what became of each record
// that was folded; the error is an alert.
func (r *Reader) ApplyBatch(b qm.Batch) ([]ApplyResult, error) {
	if b.NextOffset < r.next {
		return nil, errors.WithMessagef(ErrLogBehind, "log ends at %d, next is %d", b.NextOffset, r.next)
	}
	var alert error
	if b.FirstOffset > r.next {
		if !r.hasGap {
			alert = errors.WithMessagef(ErrNoSnapshot, "first retained offset is %d, next is %d", b.FirstOffset, r.next)
		}
		r.hasGap, r.next = true, b.FirstOffset
	}
	var out []ApplyResult
	for _, rec := range b.Records {
		if rec.Offset < r.next {
			continue
		}
		if rec.Offset > r.next {
			return out, errors.WithMessagef(ErrOutOfOrder, "offset %d, next is %d", rec.Offset, r.next)
		}
		if r.hasGap {
			r.next++
			if r.tryLoadSnapshot(rec, b.FirstOffset) {
				return out, nil // what follows the snapshot's offset is read again
			}
			continue
		}
		v, err := r.table.Apply(rec)
		if err != nil {
			return out, err
		}
		r.next++
		out = append(out, v)
	}
	return out, alert
}

// search looks for the end of a complete snapshot from which on the log has all records, and loads it.
func (r *Reader) tryLoadSnapshot(rec qm.Record, first qm.Offset) bool {
	e, err := DecodeEntry(rec.Data)
	if err != nil {
		return false
	}
	if e.Part != nil {
		r.partCollector.add(e.Part)
	}
	if e.Mark == nil || e.Mark.CoversTo+1 < first || e.Mark.CoversTo >= rec.Offset {
		return false
	}
	if r.table.loadSnapshot(e.Mark, r.partCollector.partsFor(e.Mark)) != nil {
		return false
	}
	r.resumeAfterTable()
	return true
}

// ApplyDelta applies a delta of a peer.
func (r *Reader) ApplyDelta(d *Delta) error {
	if err := r.table.ApplyDelta(d); err != nil {
		return err
	}
	r.resumeAfterTable()
	return nil
}

func (r *Reader) resumeAfterTable() {
	r.next = r.table.offset + 1
	r.hasGap = false
	r.partCollector = partCollector{}
}
