package order

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// Slots is the maximum number of concurrent weight loads in a deployment. With more than two, loads slow down.
const Slots = 2

// claimExpiry is the age, by the log's clock, at which a claim expires. It is much longer than a lease plus
// MaxCommandDelay and much shorter than the log's retention time.
const claimExpiry = time.Minute

const format = 1

// claim is a record that claims a slot for an endpoint or renews the claim.
type claim struct {
	Attempt  qm.AttemptID
	Holder   string
	Slot     int
	Endpoint qm.EndpointID
	// Base is the offset of the slot's last claim that the writer has read, 0 for none.
	Base qm.Offset
}

// release is a record that releases a slot.
type release struct {
	Attempt qm.AttemptID
	Slot    int
	// Fence is the offset of the claim that is released.
	Fence qm.Offset
}

// entry is a record of the stream, stored as JSON. It has either a claim or a release.
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
		return e, errors.Errorf("decode order: invalid slot %d", s)
	}
	return e, nil
}

func (e entry) slot() int {
	if e.Claim != nil {
		return e.Claim.Slot
	}
	return e.Release.Slot
}

// slot is the state of a slot: its last accepted claim and whether that was released. A fence of 0 means no claim.
type slot struct {
	fence     qm.Offset
	holder    string
	endpoint  qm.EndpointID
	claimedAt time.Time // by the log's clock
	released  bool
}

// isClaimed reports whether the slot is claimed at a time by the log's clock.
func (s slot) isClaimed(now time.Time) bool {
	return s.fence > 0 && !s.released && now.Sub(s.claimedAt) < claimExpiry
}

// slots is the folded state of the stream.
type slots [Slots]slot

// apply folds a record and reports whether it was accepted. A release is accepted if it names the last claim of its slot. A
// claim is accepted if the slot's last claim has expired, or if it names that claim as its base and the slot is released or
// has the same endpoint. In either case the other slot must not be claimed for the endpoint.
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
