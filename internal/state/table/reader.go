package table

import (
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// ErrNoSnapshot is the alert for records that retention dropped before they were read, while no complete snapshot has
// been found.
var ErrNoSnapshot = errors.New("records were dropped by retention and no complete snapshot was found yet")

// ErrLogBehind is the alert for a log that ends before the reader's offset, which happens only if the log lost records.
var ErrLogBehind = errors.New("the log ends before the last applied offset")

// Reader builds a table from batches of the log. The offset of its table never decreases. It is not safe for concurrent
// use.
type Reader struct {
	table *Table
	next  qm.Offset
	// hasGap is set if retention dropped records after the table's offset, so that only a complete snapshot or a delta
	// of a peer can bring the table forward.
	hasGap bool
	partCollector
}

// NewReader returns a reader with an empty table, which starts at the first record.
func NewReader() *Reader { return &Reader{table: New(), next: 1} }

// Table returns the reader's table. Later calls change it.
func (r *Reader) Table() *Table { return r.table }

// Next returns the offset to read from.
func (r *Reader) Next() qm.Offset { return r.next }

// HasGap reports whether retention dropped records after the table's offset.
func (r *Reader) HasGap() bool { return r.hasGap }

// ApplyBatch applies a batch that was read from the current or an earlier value of Next, and returns the result of each
// applied record. An error is an alert: ErrLogBehind, ErrNoSnapshot or ErrOutOfOrder.
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
				return out, nil // records after the snapshot's offset are read again
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

// tryLoadSnapshot collects the parts of snapshots. At the mark of a complete snapshot after which the log has all
// records, it loads the snapshot and reports true.
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

// ApplyDelta applies a delta of a peer and continues after its offset; see Table.ApplyDelta.
func (r *Reader) ApplyDelta(d *Delta) error {
	if err := r.table.ApplyDelta(d); err != nil {
		return err
	}
	r.resumeAfterTable()
	return nil
}

// resumeAfterTable makes the record after the table's offset the next one to read.
func (r *Reader) resumeAfterTable() {
	r.next = r.table.offset + 1
	r.hasGap = false
	r.partCollector = partCollector{}
}
