package peer

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/limit/memory"
)

const (
	// byteCost is the memory that a byte of a message takes: it is buffered and copied into strings. fieldCost is that of a field, which may be a message
	// of two bytes.
	byteCost  = 3
	fieldCost = 128
	// memoryRetryAfter is the Retry-After in seconds of a message that doesn't fit into the memory.
	memoryRetryAfter = "1"
)

// readBody reads the message of a call and takes the memory that decoding it needs. It returns a reader of the message. The error wraps memory.ErrFull if
// the memory isn't free.
func readBody(r *http.Request, held *memory.Body) (io.ReadCloser, error) {
	limited := pool.LimitBody(r.Context(), bodyReader{held.Reader(r.Body, byteCost), r.Body}, pool.ControlBudget)
	data, err := io.ReadAll(limited)
	if err != nil {
		_ = limited.Close()
		return nil, errors.WithMessage(err, "read message")
	}
	if !held.Grow(byteCost*int64(len(data)) + fieldCost*int64(countFields(data))) {
		_ = limited.Close()
		return nil, errors.WithMessage(memory.ErrFull, "decode message")
	}
	return bodyReader{bytes.NewReader(data), limited}, nil
}

// bodyReader reads from one part and closes another.
type bodyReader struct {
	io.Reader
	io.Closer
}

// countFields returns an upper bound of the number of fields and elements of a message in protobuf's binary form or in JSON.
func countFields(data []byte) int {
	n := 0
	for rest := data; len(rest) > 0; n++ {
		size := 0
		if _, _, size = protowire.ConsumeField(rest); size < 0 {
			// Not in binary form. Each field and element of JSON is separated from the one before by one of these.
			return bytes.Count(data, []byte(",")) + bytes.Count(data, []byte("{")) + bytes.Count(data, []byte("["))
		}
		rest = rest[size:]
	}
	return n
}
