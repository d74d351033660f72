package pool

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// maxErrorTextBytes limits the part of an error response that is quoted in the error message.
const maxErrorTextBytes = 256

// ReadAll reads a response body within the limits of LimitBody and closes it.
func ReadAll(resp *http.Response) ([]byte, error) {
	ctx := context.Background()
	if resp.Request != nil {
		ctx = resp.Request.Context()
	}
	return ReadBody(ctx, resp.Body)
}

// ReadBody is like ReadAll for a body alone. It waits for other large bodies until ctx ends.
func ReadBody(ctx context.Context, body io.ReadCloser) ([]byte, error) {
	limited := LimitBody(ctx, body)
	defer limited.Close()
	b, err := io.ReadAll(limited)
	return b, errors.Wrap(err, "read answer")
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
