package memory

import (
	"io"

	"github.com/pkg/errors"
)

// ErrFull is returned if a body doesn't fit into the memory beside others.
var ErrFull = errors.New("the bodies of requests take too much memory")

// Body holds the bytes of one body that are taken from a Limit. It is not safe for concurrent use.
type Body struct {
	limit *Limit
	n     int64
}

// Body returns a Body without bytes. A nil Limit has no bound.
func (l *Limit) Body() *Body { return &Body{limit: l} }

// Grow takes bytes until n are held, and reports whether they were free.
func (b *Body) Grow(n int64) bool {
	if b.limit == nil || n <= b.n {
		return true
	}
	if !b.limit.Take(n-b.n, n) {
		return false
	}
	b.n = n
	return true
}

// Release returns the held bytes.
func (b *Body) Release() {
	if b.limit != nil {
		b.limit.Return(b.n)
	}
	b.n = 0
}

// Reader returns a reader of a body that takes factor bytes for each byte that it reads. It fails with ErrFull if they are not free.
func (b *Body) Reader(r io.Reader, factor int64) io.Reader { return &reader{r, b, factor} }

type reader struct {
	io.Reader
	body   *Body
	factor int64
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if !r.body.Grow(r.body.n + r.factor*int64(n)) {
		return 0, ErrFull
	}
	return n, err
}
