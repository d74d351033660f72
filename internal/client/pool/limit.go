package pool

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

// LimitedBody is a response body of at most MaxResponseBytes within a Budget.
type LimitedBody struct {
	ctx         context.Context
	body        io.ReadCloser
	read        int64
	reservation *Reservation
}

// LimitBody returns body with a limit of MaxResponseBytes, above which Read fails. Read waits for other large bodies until ctx ends, and
// fails with ErrMemory if bodies take too much memory. What was read counts as used until the caller closes the returned body.
func LimitBody(ctx context.Context, body io.ReadCloser, b *Budget) *LimitedBody {
	return &LimitedBody{ctx: ctx, body: body, reservation: b.Reserve()}
}

// Read implements io.Reader.
func (b *LimitedBody) Read(p []byte) (int, error) {
	if b.read > MaxResponseBytes {
		return 0, errors.Errorf("answer exceeds %d bytes", MaxResponseBytes)
	}
	if b.read >= b.reservation.size {
		if err := b.reservation.Grow(b.ctx, b.read+1); err != nil {
			return 0, err
		}
	}
	limit := b.reservation.size
	if b.reservation.IsLarge() {
		limit = MaxResponseBytes + 1
	}
	n, err := b.body.Read(p[:min(int64(len(p)), limit-b.read)])
	b.read += int64(n)
	return n, err
}

// IsLarge reports whether the body is one of the few large ones.
func (b *LimitedBody) IsLarge() bool { return b.reservation.IsLarge() }

// Close implements io.Closer. Further calls have no effect on the Budget.
func (b *LimitedBody) Close() error {
	b.reservation.Release()
	return b.body.Close()
}
