package logsvc

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

type (
	wireRecord struct {
		Offset qm.Offset
		Data   []byte
		Time   int64 // Unix time in milliseconds
	}
	wireBatch struct {
		First, Next qm.Offset
		Records     []wireRecord
	}
)

// decodeBatch decodes the response to a read. It fails unless the offsets are consecutive, starting at the larger of from
// and First, because every fold relies on seeing each record exactly once.
func decodeBatch(data []byte, from qm.Offset) (qm.Batch, error) {
	var w wireBatch
	if err := json.Unmarshal(data, &w); err != nil {
		return qm.Batch{}, errors.Wrap(err, "decode batch")
	}
	if w.First < 1 || w.Next < w.First {
		return qm.Batch{}, errors.Errorf("batch has invalid bounds: first offset %d, next offset %d", w.First, w.Next)
	}
	b := qm.Batch{FirstOffset: w.First, NextOffset: w.Next}
	want := max(from, w.First)
	for _, r := range w.Records {
		if r.Offset != want || r.Offset >= w.Next {
			return qm.Batch{}, errors.Errorf("record has offset %d, want %d (next offset %d)", r.Offset, want, w.Next)
		}
		want++
		b.Records = append(b.Records, qm.Record{Offset: r.Offset, Time: time.UnixMilli(r.Time), Data: r.Data})
	}
	return b, nil
}
