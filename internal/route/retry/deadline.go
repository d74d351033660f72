package retry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Header carries the time that is left for a request, in milliseconds. A duration needs no synchronised clocks.
const TimeoutHeader = "X-Timeout-Ms"

// WithDeadline returns a context with the deadline that the header asks for, or with the default if it has none. A longer
// time than longest is shortened to it. The error is a refusal.
func WithDeadline(ctx context.Context, h http.Header, def, longest time.Duration) (context.Context, context.CancelFunc, error) {
	d := def
	if v := h.Get(TimeoutHeader); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return nil, nil, qm.Refuse(qm.CodeBadRequest, "deadline", "%s must be a positive number of milliseconds", TimeoutHeader)
		}
		d = time.Duration(min(ms, longest.Milliseconds())) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, min(d, longest))
	return ctx, cancel, nil
}

// SetHeader writes the time that is left to the header of a request to an endpoint. It refuses if there is less than a
// millisecond, since the endpoint's answer would come too late.
func SetTimeoutHeader(ctx context.Context, h http.Header) error {
	end, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	ms := time.Until(end).Milliseconds()
	if ms < 1 || ctx.Err() != nil {
		return qm.Refuse(qm.CodeTimeout, "deadline", "the deadline passed before the request was sent")
	}
	h.Set(TimeoutHeader, strconv.FormatInt(ms, 10))
	return nil
}
