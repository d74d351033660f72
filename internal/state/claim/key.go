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

// Shards is the number of claims streams. It is part of the format of operation ids.
const Shards = 8

const (
	keyBytes         = 16
	fingerprintBytes = 8
	opBytes          = keyBytes + fingerprintBytes + 16 + ownerBytes
	ownerBytes       = 8
	// keylessPrefix marks operations that the log knows nothing of. '.' is not in the base64url alphabet.
	keylessPrefix = "n."
)

type (
	// keyID is the hash of team, service and key.
	keyID [keyBytes]byte
	// bodyPrint is the hash of the call's name and body, which tells a retry from a reused key.
	fingerprint [fingerprintBytes]byte
	// attemptID is a UUID of version 7, which carries the time at which the attempt began.
	attemptID = uuid.UUID
)

// StreamOf returns the stream of a shard.
func StreamOf(shard int) qm.StreamID { return qm.StreamID(fmt.Sprintf("claims-%02d", shard)) }

func keyOf(team qm.TeamID, svc qm.ServiceID, key string) keyID {
	h := hash([]byte(team), []byte(svc), []byte(key))
	return keyID(h[:keyBytes])
}

func fingerprintOf(name string, body []byte) fingerprint {
	h := hash([]byte(name), body)
	return fingerprint(h[:fingerprintBytes])
}

// hash hashes the parts with their lengths, so that different parts never join to the same text.
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

// newAttempt returns a UUID of version 7 for the current time. uuid.NewV7 is not used, because it never goes back in time:
// after the clock was set back, all claims would come from the future and lose.
func newAttempt() (attemptID, error) {
	a, err := uuid.NewRandom()
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(time.Now().UnixMilli()))
	copy(a[:6], ms[2:])
	a[6] = 0x70 | a[6]&0x0f
	return a, errors.WithMessage(err, "no random numbers")
}

// begunAt returns the time in an attempt id, to the millisecond.
func startTimeOf(a attemptID) time.Time {
	var ms [8]byte
	copy(ms[2:], a[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:])))
}

// operation is what an operation id of a keyed call carries: any router finds the shard and the key from it.
type operation struct {
	key         keyID
	fingerprint fingerprint
	attempt     attemptID
	owner       [ownerBytes]byte // hash of team and service, so that no other team can look the operation up
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
