package retry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// TimeoutHeader carries the remaining time of a request in milliseconds. Unlike a point in time, it needs no synchronised clocks.
const TimeoutHeader = "X-Timeout-Ms"

// WithDeadline returns a context with the timeout from the header of a request, or defaultTimeout if it has none, but with at most
// maxTimeout. If the header is invalid the error is an *quetzalmount.Error with outcome OutcomeNotRun.
func WithDeadline(ctx context.Context, h http.Header, defaultTimeout, maxTimeout time.Duration) (context.Context, context.CancelFunc, error) {
	d := defaultTimeout
	if v := h.Get(TimeoutHeader); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return nil, nil, qm.Refuse(qm.CodeBadRequest, "deadline", "%s must be a positive number of milliseconds", TimeoutHeader)
		}
		d = time.Duration(min(ms, maxTimeout.Milliseconds())) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, min(d, maxTimeout))
	return ctx, cancel, nil
}

// SetTimeoutHeader writes the remaining time of ctx to the header of a request to an endpoint. If less than a millisecond remains, the
// answer would be too late, and the error is an *quetzalmount.Error with outcome OutcomeNotRun.
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
