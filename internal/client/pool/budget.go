package pool

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

const (
	// MaxResponseBytes limits a response body that is read into memory. The largest legitimate one is a snapshot of another router, about
	// 4 MB at the target size.
	MaxResponseBytes = 8 << 20
	// freeBytes is the size up to which any number of responses may be in memory. Most responses and nearly all events are smaller. At the
	// 1,900 connections to endpoints that an instance can have, they take 15 MB.
	freeBytes = 8 << 10
	// MediumBytes is the size above which a response counts as large.
	MediumBytes = 256 << 10
	// mediumShare is the share of the memory of an instance that all responses of one Budget may take beyond freeBytes, without the parts of large
	// ones beyond MediumBytes.
	mediumShare = 1.0 / 8
	// memoryPerLarge is the memory of an instance for each large response of one Budget at the same time; there is one at least.
	memoryPerLarge = 7 * MaxResponseBytes
	// defaultMemory is the memory of the smallest instances in bytes.
	defaultMemory = 112 << 20
)

// ErrMemory is wrapped by errors of responses that are given up because too many bytes of responses are in memory.
var ErrMemory = errors.New("responses take too much memory")

// EndpointBudget is for the responses of endpoints, ControlBudget for those of the store, the log and other routers. They are apart so that faulty
// endpoints do not keep a router from learning of a change.
var (
	EndpointBudget = NewBudget(defaultMemory)
	ControlBudget  = NewBudget(defaultMemory)
)

// Budget limits the memory that responses take together, also if their senders go on without end. When it is used up, the responses that take the
// most give way, so that small ones can still be read. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// maxMedium and maxLarge are the limits of the bytes beyond freeBytes and of the number of large responses.
	maxMedium, maxLarge int64
	// used is the number of bytes that are reserved beyond freeBytes, by holders reservations, large the number of large ones.
	used, holders, large int64
	// waiting are the reservations that wait to become large, oldest first.
	waiting []*waiter
}

// waiter is a reservation that waits to become large. It is removed from Budget.waiting when one of its channels is closed.
type waiter struct{ granted, evicted chan struct{} }

// NewBudget returns a Budget for an instance with a memory in bytes.
func NewBudget(memory int64) *Budget {
	b := &Budget{}
	b.SetMemory(memory)
	return b
}

// SetMemory sets the memory of the instance in bytes.
func (b *Budget) SetMemory(memory int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxMedium, b.maxLarge = int64(float64(memory)*mediumShare), max(memory/memoryPerLarge, 1)
	b.grant()
}

// Reserve returns a reservation of freeBytes.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b, size: freeBytes} }

// Reservation is the part of a Budget that one response uses. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	// size is the number of bytes that the response may take.
	size int64
}

// IsLarge reports whether the reservation is one of the few of more than MediumBytes.
func (r *Reservation) IsLarge() bool { return r.size > MediumBytes }

// Grow makes the reservation cover n bytes, or MaxResponseBytes if that is less. Beyond MediumBytes it waits until few other responses are large or ctx
// ends. The error wraps ErrMemory if the budget is used up.
func (r *Reservation) Grow(ctx context.Context, n int64) error {
	for r.size < min(n, MaxResponseBytes) {
		if r.size < MediumBytes {
			if err := r.double(); err != nil {
				return err
			}
			continue
		}
		return r.becomeLarge(ctx)
	}
	return nil
}

// double doubles the reservation.
func (r *Reservation) double() error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	own := r.size - freeBytes
	if b.used+r.size > b.maxMedium && !b.evict() {
		// The responses that take most give way. The others may exceed the limit, or they would fail because of large ones.
		if own*b.holders >= b.used || b.used+r.size > 2*b.maxMedium {
			return errors.Wrapf(ErrMemory, "a response of more than %d bytes", r.size)
		}
	}
	if own == 0 {
		b.holders++
	}
	b.used += r.size
	r.size *= 2
	return nil
}

// evict makes the last of the reservations that wait to become large give way, and reports whether there was one. The caller holds b.mu.
func (b *Budget) evict() bool {
	if len(b.waiting) == 0 {
		return false
	}
	last := len(b.waiting) - 1
	close(b.waiting[last].evicted)
	b.waiting = b.waiting[:last]
	return true
}

// grant makes waiting reservations large, as many as may be. The caller holds b.mu.
func (b *Budget) grant() {
	for b.large < b.maxLarge && len(b.waiting) > 0 {
		b.large++
		close(b.waiting[0].granted)
		b.waiting = b.waiting[1:]
	}
}

// becomeLarge makes the reservation one of the large ones.
func (r *Reservation) becomeLarge(ctx context.Context) error {
	b := r.budget
	w := &waiter{granted: make(chan struct{}), evicted: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, w)
	b.grant()
	b.mu.Unlock()
	var err error
	select {
	case <-w.granted:
		r.size = MaxResponseBytes
		return nil
	case <-w.evicted:
		return errors.Wrapf(ErrMemory, "a response of more than %d bytes", r.size)
	case <-ctx.Done():
		err = errors.WithMessage(context.Cause(ctx), "wait to read a large answer")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted:
		b.large--
		b.grant()
	default:
		b.waiting = slices.DeleteFunc(b.waiting, func(other *waiter) bool { return other == w })
	}
	return err
}

// Release reduces the reservation to freeBytes.
func (r *Reservation) Release() {
	if r.size == freeBytes {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.IsLarge() {
		b.large--
		b.grant()
	}
	b.used -= min(r.size, MediumBytes) - freeBytes
	b.holders--
	r.size = freeBytes
}
