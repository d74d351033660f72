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
func ReadAll(resp *http.Response, budget *Budget) ([]byte, error) {
	ctx := context.Background()
	if resp.Request != nil {
		ctx = resp.Request.Context()
	}
	limited := LimitBody(ctx, resp.Body, budget)
	defer limited.Close()
	b, err := io.ReadAll(limited)
	return b, errors.Wrap(err, "read answer")
}

// Drain reads a response body whose content doesn't matter, so that its connection can be reused, and closes it. It returns an error if the
// body has more than a few KB, or if it can't be read to its end.
func Drain(resp *http.Response) error {
	defer resp.Body.Close()
	n, err := io.CopyN(io.Discard, resp.Body, freeBytes)
	switch {
	case err == io.EOF:
		return nil
	case err != nil:
		return errors.Wrap(err, "read answer")
	}
	return errors.Errorf("answer exceeds %d bytes", n)
}

// Decode unmarshals a JSON response and closes it. It fails if the status is not 200.
func Decode[T any](resp *http.Response, budget *Budget) (T, error) {
	var v T
	b, err := ReadAll(resp, budget)
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
