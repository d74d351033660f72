package pool

import (
	"math/rand/v2"
	"strconv"
)

// NewID returns a random ID for a request that is identified by nothing else. It is shorter than a UUID, because polls are most of the
// control traffic and carry it twice, and no ID of a caller's request equals it by chance.
func NewID() string { return strconv.FormatUint(rand.Uint64(), 36) }
