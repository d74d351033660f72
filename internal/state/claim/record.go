package claim

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// Kinds of records in a claims stream.
const (
	kindClaim = "Claim" // requests a key for an attempt
	kindVoid  = "Void"  // cancels an attempt and releases its key
	kindDone  = "Done"  // marks a key as executed, with the answer
	kindKept  = "Kept"  // part of a snapshot
	kindMark  = "Mark"  // end of a snapshot
)

// record is a record of a claims stream, stored as JSON. Fields that a kind does not use are omitted.
type record struct {
	Kind     string
	Attempt  attemptID       `json:",omitzero"`
	Key      []byte          `json:",omitempty"`
	Print    []byte          `json:",omitempty"`
	Instance qm.InstanceID   `json:",omitempty"`
	Service  qm.ServiceID    `json:",omitempty"`
	Status   int             `json:",omitempty"`
	Answer   json.RawMessage `json:",omitempty"`
	// NoAnswer is set if the service's answer was too large or not valid JSON and was not recorded.
	NoAnswer bool `json:",omitempty"`

	// Kept records have Snapshot, Part, Keys and Voids; Mark records have Snapshot, Parts, CoversTo and Now. CoversTo is
	// the offset of the last record that the snapshot includes.
	Snapshot attemptID     `json:",omitzero"`
	Part     int           `json:",omitempty"`
	Parts    int           `json:",omitempty"`
	CoversTo qm.Offset     `json:",omitempty"`
	Keys     []snapshotKey `json:",omitempty"`
	Voids    []attemptID   `json:",omitempty"`
	// Now is the fold's time at CoversTo, in milliseconds since the Unix epoch.
	Now int64 `json:",omitempty"`
}

// snapshotKey is the state of a key in a snapshot.
type snapshotKey struct {
	Key      []byte
	Print    []byte
	Attempt  attemptID
	At       int64           // time of the last change, in milliseconds since the Unix epoch
	Done     bool            `json:",omitempty"`
	Status   int             `json:",omitempty"`
	Answer   json.RawMessage `json:",omitempty"`
	NoAnswer bool            `json:",omitempty"`
}

var errInvalidRecord = errors.New("invalid claim record")

func encode(r *record) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false) // keep the answers unchanged
	if err := e.Encode(r); err != nil {
		return nil, errors.WithMessage(err, "encode claim record")
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// decode parses a record and checks that the fields its kind requires are valid. Its errors wrap errInvalidRecord.
func decode(data []byte) (*record, error) {
	r := new(record)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.WithMessage(errInvalidRecord, err.Error())
	}
	ok := false
	switch r.Kind {
	case kindClaim:
		ok = len(r.Key) == keyBytes && len(r.Print) == fingerprintBytes && r.Attempt != attemptID{}
	case kindVoid, kindDone:
		ok = len(r.Key) == keyBytes && r.Attempt != attemptID{}
	case kindKept:
		ok = r.Snapshot != attemptID{} && r.Part >= 0 && validSnapshotKeys(r.Keys)
	case kindMark:
		ok = r.Snapshot != attemptID{} && r.Parts >= 0 && r.CoversTo >= 0
	}
	if !ok {
		return nil, errors.WithMessage(errInvalidRecord, "kind "+r.Kind)
	}
	r.Answer = compact(r.Answer)
	for i := range r.Keys {
		r.Keys[i].Answer = compact(r.Keys[i].Answer)
	}
	return r, nil
}

// compact removes insignificant white space, as encode does, so that answers in the fold and in snapshots have the same
// size.
func compact(m json.RawMessage) json.RawMessage {
	var b bytes.Buffer
	if len(m) == 0 || json.Compact(&b, m) != nil {
		return nil
	}
	return b.Bytes()
}

func validSnapshotKeys(keys []snapshotKey) bool {
	for _, k := range keys {
		if len(k.Key) != keyBytes || len(k.Print) != fingerprintBytes {
			return false
		}
	}
	return true
}
