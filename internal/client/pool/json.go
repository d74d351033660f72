package pool

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// MaxAnswer bounds the size in bytes of an answer that is read as a whole.
const MaxAnswer = 16 << 20

// errorText bounds the part of an error answer that is kept for the message, in bytes.
const errorText = 256

// ReadAll reads a whole answer of at most MaxAnswer bytes and closes it.
func ReadAll(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	return ReadBody(resp.Body)
}

// ReadBody reads the body of an answer of at most MaxAnswer bytes.
func ReadBody(body io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, MaxAnswer+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(b) > MaxAnswer {
		return nil, errors.Errorf("answer exceeds %d bytes", MaxAnswer)
	}
	return b, nil
}

// Decode reads a whole JSON answer with status 200 and closes it.
func Decode[T any](resp *http.Response) (T, error) {
	var v T
	b, err := ReadAll(resp)
	if err != nil {
		return v, err
	}
	if resp.StatusCode != http.StatusOK {
		return v, errors.Errorf("status %d: %s", resp.StatusCode, b[:min(len(b), errorText)])
	}
	return v, errors.Wrap(json.Unmarshal(b, &v), "decode answer")
}

// RetryAfter returns the time that an answer asks to wait, 0 if it names none.
func RetryAfter(resp *http.Response) time.Duration {
	s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || !(s > 0 && s < 3600) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
