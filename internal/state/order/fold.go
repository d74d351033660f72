package order

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// Slots is the number of weight loads at once in a deployment. From the users' brief: loads slow down above two.
const Slots = 2

// forgetAfter is the age by the log's clock at which a claim counts as gone. It is far above a lease and the longest
// delay of a command, and far below any retention time.
const claimExpiry = time.Minute

const format = 1

// claim is the record that takes a slot for an endpoint or renews it.
type claim struct {
	Attempt  qm.AttemptID
	Holder   string
	Slot     int
	Endpoint qm.EndpointID
	// Base is the offset of the slot's last claim as the writer knew it, 0 for none.
	Base qm.Offset
}

// release is the record that frees a slot.
type release struct {
	Attempt qm.AttemptID
	Slot    int
	// Fence is the offset of the claim that ends.
	Fence qm.Offset
}

type entry struct {
	Format  int
	Claim   *claim   `json:",omitempty"`
	Release *release `json:",omitempty"`
}

func encode(e entry) ([]byte, error) {
	e.Format = format
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "encode order")
}

func decode(data []byte) (entry, error) {
	var e entry
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&e); err != nil {
		return e, errors.Wrap(err, "decode order")
	}
	if e.Format != format || (e.Claim == nil) == (e.Release == nil) {
		return e, errors.New("decode order: want format 1 with a claim or a release")
	}
	if s := e.slot(); s < 0 || s >= Slots {
		return e, errors.Errorf("decode order: there is no slot %d", s)
	}
	return e, nil
}

func (e entry) slot() int {
	if e.Claim != nil {
		return e.Claim.Slot
	}
	return e.Release.Slot
}

// slot is the last accepted claim of a slot.
type slot struct {
	fence     qm.Offset
	holder    string
	endpoint  qm.EndpointID
	claimedAt time.Time // by the log's clock
	released  bool
}

// holds reports whether the slot is claimed at a time of the log's clock.
func (s slot) isClaimed(now time.Time) bool {
	return s.fence > 0 && !s.released && now.Sub(s.claimedAt) < claimExpiry
}

// slots is the state of the fold.
type slots [Slots]slot

// apply folds one record and reports whether it was accepted.
func (s *slots) apply(rec qm.Record, e entry) bool {
	current := &s[e.slot()]
	if r := e.Release; r != nil {
		if current.fence != r.Fence {
			return false
		}
		current.released = true
		return true
	}
	c := e.Claim
	recent := current.fence > 0 && rec.Time.Sub(current.claimedAt) < claimExpiry
	if recent && (c.Base != current.fence || !current.released && c.Endpoint != current.endpoint) {
		return false
	}
	for i, other := range s {
		if i != c.Slot && other.isClaimed(rec.Time) && other.endpoint == c.Endpoint {
			return false
		}
	}
	*current = slot{fence: rec.Offset, holder: c.Holder, endpoint: c.Endpoint, claimedAt: rec.Time}
	return true
}
