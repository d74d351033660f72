package table

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// format is the version of the encoding of records. Readers skip records of any other version.
const format = 1

// Change creates, replaces or deletes one row.
type Change struct {
	Key
	// Base is the version of the row that the change is based on, 0 if the row is not in the table.
	Base qm.Offset
	// Delete removes the row; Cells is empty then.
	Delete bool `json:",omitempty"`
	// Cells are all cells of the row after the change.
	Cells map[string]string `json:",omitempty"`
}

// Edit is the record of a set of changes, which is accepted or refused as a whole.
type Edit struct {
	Attempt qm.AttemptID
	// Seen is the offset of the table that the edit was based on. It limits how late the edit may take effect; see
	// AttemptWindow.
	Seen    qm.Offset
	Changes []Change
}

// Void is the record that prevents the edit of an attempt from taking effect at any later offset.
type Void struct {
	Attempt qm.AttemptID
}

// Part is a record of a snapshot with a part of its rows or attempts.
type Part struct {
	Snapshot qm.AttemptID
	// CoversTo is the offset of the table that was written.
	CoversTo qm.Offset
	Index    int
	Rows     []*Row    `json:",omitempty"`
	Attempts []Attempt `json:",omitempty"`
}

// Mark is the last record of a snapshot. The snapshot is complete if the number of its parts, the number of their rows
// and their digest are those of the mark.
type Mark struct {
	Snapshot qm.AttemptID
	CoversTo qm.Offset
	Parts    int
	Rows     int
	Digest   uint64
}

// Entry is the content of a record. Exactly one of its pointers is set.
type Entry struct {
	Format int
	Edit   *Edit `json:",omitempty"`
	Void   *Void `json:",omitempty"`
	Part   *Part `json:",omitempty"`
	Mark   *Mark `json:",omitempty"`
}

// Encode sets Format and returns the JSON form of the entry.
func (e *Entry) Encode() ([]byte, error) {
	e.Format = format
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "encode record")
}

// DecodeEntry decodes a record. Whether it returns an error depends on the data alone, so that all readers skip the
// same records.
func DecodeEntry(data []byte) (*Entry, error) {
	var e Entry
	if err := decodeStrict(data, &e); err != nil {
		return nil, errors.Wrap(err, "decode record")
	}
	if e.Format != format {
		return nil, errors.Errorf("decode record: format %d, want %d", e.Format, format)
	}
	contents := 0
	for _, isSet := range []bool{e.Edit != nil, e.Void != nil, e.Part != nil, e.Mark != nil} {
		if isSet {
			contents++
		}
	}
	if contents != 1 {
		return nil, errors.Errorf("decode record: %d of Edit, Void, Part and Mark are set, want 1", contents)
	}
	if e.attemptID() == "" {
		return nil, errors.New("decode record: attempt ID is missing")
	}
	if e.Part != nil && hasEmptyRow(e.Part.Rows) {
		return nil, errors.New("decode record: empty row")
	}
	return &e, nil
}

// decodeStrict decodes one JSON value. It returns an error for unknown fields and trailing data.
func decodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("data after the JSON value")
	}
	return nil
}

func hasEmptyRow(rows []*Row) bool {
	for _, r := range rows {
		if r == nil || r.Kind == "" {
			return true
		}
	}
	return false
}

func (e *Entry) attemptID() qm.AttemptID {
	switch {
	case e.Edit != nil:
		return e.Edit.Attempt
	case e.Void != nil:
		return e.Void.Attempt
	case e.Part != nil:
		return e.Part.Snapshot
	default:
		return e.Mark.Snapshot
	}
}
