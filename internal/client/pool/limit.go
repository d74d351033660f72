package pool

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

const (
	// MaxResponseBytes limits a response body that is read into memory. The largest legitimate one is a snapshot of another router, about
	// 4 MB at the target size.
	MaxResponseBytes = 8 << 20
	// smallBodyBytes is the size up to which any number of bodies may be read at the same time.
	smallBodyBytes = 256 << 10
	// maxLargeBodies is the number of larger bodies that are read at the same time. It keeps endless bodies from several endpoints from
	// exhausting the memory of an instance, 112 MB on the smallest ones.
	maxLargeBodies = 2
	// maxHeadBytes limits the head of a response. Heads are read by net/http, outside of LimitBody, and any number at the same time.
	maxHeadBytes = 64 << 10
)

// largeBodies holds a token for each large body that is being read.
var largeBodies = make(chan struct{}, maxLargeBodies)

// limitedBody is a response body of at most MaxResponseBytes. After smallBodyBytes it waits for a token of largeBodies.
type limitedBody struct {
	ctx context.Context
	io.ReadCloser
	read     int64
	hasToken bool
}

// LimitBody returns body with a limit of MaxResponseBytes, above which Read fails. Few large bodies are read at the same time; the others
// wait until ctx ends. The caller must close the returned body.
func LimitBody(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	return &limitedBody{ctx: ctx, ReadCloser: body}
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.read > MaxResponseBytes {
		return 0, errors.Errorf("answer exceeds %d bytes", MaxResponseBytes)
	}
	if b.read >= smallBodyBytes && !b.hasToken {
		select {
		case largeBodies <- struct{}{}:
			b.hasToken = true
		case <-b.ctx.Done():
			return 0, errors.WithMessage(context.Cause(b.ctx), "wait to read a large answer")
		}
	}
	limit := int64(smallBodyBytes)
	if b.hasToken {
		limit = MaxResponseBytes + 1
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), limit-b.read)])
	b.read += int64(n)
	return n, err
}

// Close implements io.Closer.
func (b *limitedBody) Close() error {
	if b.hasToken {
		b.hasToken = false
		<-largeBodies
	}
	return b.ReadCloser.Close()
}
