package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// Shards is the number of claims streams. Operation IDs depend on it, so it must not change.
const Shards = 8

const (
	keyBytes         = 16
	fingerprintBytes = 8
	opBytes          = keyBytes + fingerprintBytes + 16 + ownerBytes
	ownerBytes       = 8
	// keylessPrefix marks the IDs of operations without a key, which have no records in the log. The '.' is not in the
	// base64url alphabet, so these IDs differ from all others.
	keylessPrefix = "n."
)

type (
	// keyID is a hash of team, service and idempotency key.
	keyID [keyBytes]byte
	// fingerprint is a hash of a call's name and body. It distinguishes a retry from the reuse of a key for another call.
	fingerprint [fingerprintBytes]byte
	// attemptID is a version 7 UUID. Its timestamp is the start time of the attempt.
	attemptID = uuid.UUID
)

// StreamOf returns the log stream of a shard.
func StreamOf(shard int) qm.StreamID { return qm.StreamID(fmt.Sprintf("claims-%02d", shard)) }

func keyOf(team qm.TeamID, svc qm.ServiceID, key string) keyID {
	h := hash([]byte(team), []byte(svc), []byte(key))
	return keyID(h[:keyBytes])
}

func fingerprintOf(name string, body []byte) fingerprint {
	h := hash([]byte(name), body)
	return fingerprint(h[:fingerprintBytes])
}

// hash returns the SHA-256 hash of the parts. Each part is preceded by its length, so that different divisions of the
// same bytes have different hashes.
func hash(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func (k keyID) shard() int { return int(k[0]) % Shards }

// newAttempt returns a version 7 UUID with the current time. It does not use uuid.NewV7, whose timestamps are monotonic:
// after the system clock is set back, they would lie in the future and all claims would be rejected.
func newAttempt() (attemptID, error) {
	a, err := uuid.NewRandom()
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(time.Now().UnixMilli()))
	copy(a[:6], ms[2:])
	a[6] = 0x70 | a[6]&0x0f
	return a, errors.WithMessage(err, "generate attempt ID")
}

// startTimeOf returns the start time of an attempt, with millisecond precision.
func startTimeOf(a attemptID) time.Time {
	var ms [8]byte
	copy(ms[2:], a[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:])))
}

// operation is the content of the operation ID of a call with a key. Any router can derive the shard and the key from it.
type operation struct {
	key         keyID
	fingerprint fingerprint
	attempt     attemptID
	owner       [ownerBytes]byte // hash of team and service, which prevents look-ups by other teams
}

func ownerOf(team qm.TeamID, svc qm.ServiceID) [ownerBytes]byte {
	h := hash([]byte(team), []byte(svc))
	return [ownerBytes]byte(h[:ownerBytes])
}

func (o operation) id() qm.OperationID {
	b := make([]byte, 0, opBytes)
	b = append(b, o.key[:]...)
	b = append(b, o.fingerprint[:]...)
	b = append(b, o.attempt[:]...)
	b = append(b, o.owner[:]...)
	return qm.OperationID(base64.RawURLEncoding.EncodeToString(b))
}

func parseOperation(id qm.OperationID) (operation, bool) {
	b, err := base64.RawURLEncoding.DecodeString(string(id))
	if err != nil || len(b) != opBytes {
		return operation{}, false
	}
	return operation{
		key:         keyID(b[:keyBytes]),
		fingerprint: fingerprint(b[keyBytes : keyBytes+fingerprintBytes]),
		attempt:     attemptID(b[keyBytes+fingerprintBytes : opBytes-ownerBytes]),
		owner:       [ownerBytes]byte(b[opBytes-ownerBytes:]),
	}, true
}
