package table

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// keyBytes is the number of random bytes in a new key. Keys of this length cannot be guessed, so a plain SHA-256
// protects them.
const keyBytes = 32

// HashKey returns the SHA-256 of a caller's key in hex, as the sheet has it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// NewKey returns a random key for a team.
func NewKey() string {
	b := make([]byte, keyBytes)
	rand.Read(b) // never fails, see its documentation
	return "qm_" + base64.RawURLEncoding.EncodeToString(b)
}
