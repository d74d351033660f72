package pool

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// MaxResponseBytes limits a response body that is read into memory.
const MaxResponseBytes = 16 << 20

// maxErrorTextBytes limits the part of an error response that is quoted in the error message.
const maxErrorTextBytes = 256

// ReadAll reads a response body of at most MaxResponseBytes and closes it.
func ReadAll(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	return ReadBody(resp.Body)
}

// ReadBody reads a response body of at most MaxResponseBytes. It does not close it.
func ReadBody(body io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, MaxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(b) > MaxResponseBytes {
		return nil, errors.Errorf("answer exceeds %d bytes", MaxResponseBytes)
	}
	return b, nil
}

// Decode unmarshals a JSON response and closes it. It fails if the status is not 200.
func Decode[T any](resp *http.Response) (T, error) {
	var v T
	b, err := ReadAll(resp)
	if err != nil {
		return v, err
	}
	if resp.StatusCode != http.StatusOK {
		return v, errors.Errorf("status %d: %s", resp.StatusCode, b[:min(len(b), maxErrorTextBytes)])
	}
	return v, errors.Wrap(json.Unmarshal(b, &v), "decode answer")
}

// RetryAfter returns the delay in the Retry-After header of a response, or 0 if the header is missing, not a number of
// seconds, or an hour or more.
func RetryAfter(resp *http.Response) time.Duration {
	s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || !(s > 0 && s < 3600) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
