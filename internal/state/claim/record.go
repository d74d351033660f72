package claim

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// Kinds of records in a claims stream.
const (
	kindClaim = "Claim"
	kindVoid  = "Void"
	kindDone  = "Done"
	kindKept  = "Kept"
	kindMark  = "Mark"
)

// record is one record of a claims stream, written as JSON. Fields that a kind does not use are absent.
type record struct {
	Kind     string
	Attempt  attemptID       `json:",omitzero"`
	Key      []byte          `json:",omitempty"`
	Print    []byte          `json:",omitempty"`
	Instance qm.InstanceID   `json:",omitempty"`
	Service  qm.ServiceID    `json:",omitempty"`
	Status   int             `json:",omitempty"`
	Answer   json.RawMessage `json:",omitempty"`
	// NoAnswer tells that the service's answer was too large to be recorded.
	NoAnswer bool `json:",omitempty"`

	// Snapshot, Part and the lists belong to Kept; Snapshot, Parts and CoversTo to Mark.
	Snapshot attemptID     `json:",omitzero"`
	Part     int           `json:",omitempty"`
	Parts    int           `json:",omitempty"`
	CoversTo qm.Offset     `json:",omitempty"`
	Keys     []snapshotKey `json:",omitempty"`
	Voids    []attemptID   `json:",omitempty"`
	// Now is the fold's clock at CoversTo, in milliseconds since 1970.
	Now int64 `json:",omitempty"`
}

// kept is the state of one key in a snapshot.
type snapshotKey struct {
	Key      []byte
	Print    []byte
	Attempt  attemptID
	At       int64           // time of the last change, in milliseconds since 1970
	Done     bool            `json:",omitempty"`
	Status   int             `json:",omitempty"`
	Answer   json.RawMessage `json:",omitempty"`
	NoAnswer bool            `json:",omitempty"`
}

var errInvalidRecord = errors.New("not a record of a claims stream")

func encode(r *record) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false) // answers stay as they are
	if err := e.Encode(r); err != nil {
		return nil, errors.WithMessage(err, "encode claim record")
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// decode returns a record whose fields have the lengths and values that its kind needs.
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

// compact removes white space, as encode does, so that a snapshot holds the same bytes as the fold.
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
