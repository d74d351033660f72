package opaque

import (
	"io"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/memory"
	"quetzalmount.dev/quetzalmount/internal/route/exchg"
)

// firstReadBytes is the size of the buffer for a body of known length before any of it has arrived. Most bodies are smaller, and a larger one gets the
// whole buffer once this much of it is there, so that a caller can't take memory for a body that it only announces.
const firstReadBytes = 64 << 10

// readFull reads a body of n bytes, whose memory it takes from held as the body arrives.
func readFull(r io.Reader, n int64, held *memory.Body) ([]byte, error) {
	first := min(n, firstReadBytes)
	if !held.Grow(first) {
		return nil, memory.ErrFull
	}
	data := make([]byte, first)
	if _, err := io.ReadFull(r, data); err != nil || first == n {
		return data, err
	}
	if !held.Grow(n) {
		return nil, memory.ErrFull
	}
	data = append(make([]byte, 0, n), data...)[:n]
	_, err := io.ReadFull(r, data[first:])
	return data, err
}

// memoryError returns the refusal of an exchange that doesn't fit into the memory. Memory becomes free when other exchanges have ended.
func memoryError(x *qm.Exchange, message string) error {
	return qm.Refuse(qm.CodeOverload, "read body", "%s", message).WithRetryAfter(min(exchg.EstimateDuration(x), maxMemoryRetryAfter))
}
