// Package bucket provides a token bucket whose rate and burst can change, and a counter of running requests whose capacity
// can change. Neither is safe for concurrent use; the owner locks.
//
// golang.org/x/time/rate does not fit: its burst is an integer, so that a floor of half a request has none, it cannot take back
// unused tokens, it starts full, and each limiter has a lock although the owner already holds one.
package bucket

import (
	"math"
	"time"
)

// Bucket is a token bucket. The zero Bucket is empty and is not refilled until Set is called. Times are durations since any
// fixed point in time, which keeps a Bucket small. A time before that of the last call counts as the time of the last call.
type Bucket struct {
	level, rate, burst float64
	updatedAt          time.Duration
}

// New returns a bucket at time now that refills at rate tokens a second up to burst and holds level tokens, at most burst.
func New(now time.Duration, rate, burst, level float64) Bucket {
	return Bucket{level: math.Min(level, burst), rate: rate, burst: burst, updatedAt: now}
}

// advance refills the bucket up to now.
func (b *Bucket) advance(now time.Duration) {
	if now > b.updatedAt {
		b.level += b.rate * (now - b.updatedAt).Seconds()
		b.updatedAt = now
	}
	b.level = math.Min(b.level, b.burst)
}

// Set changes rate and burst from now on. Tokens above the new burst are lost, and a higher burst is not filled at once.
func (b *Bucket) Set(now time.Duration, rate, burst float64) {
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.level = math.Min(b.level, burst)
}

// Level returns the number of tokens in the bucket.
func (b *Bucket) Level(now time.Duration) float64 {
	b.advance(now)
	return b.level
}

// Take removes n tokens. If there are fewer, it removes none and reports false.
func (b *Bucket) Take(now time.Duration, n float64) bool {
	if b.advance(now); b.level < n {
		return false
	}
	b.level -= n
	return true
}

// Charge removes n tokens although there may be fewer. The bucket then holds a negative number until it is refilled.
func (b *Bucket) Charge(now time.Duration, n float64) {
	b.advance(now)
	b.level -= n
}

// Refund returns n tokens to the bucket; those above the burst are lost.
func (b *Bucket) Refund(now time.Duration, n float64) {
	b.advance(now)
	b.level = math.Min(b.level+n, b.burst)
}

// Clear removes all tokens.
func (b *Bucket) Clear(now time.Duration) {
	b.advance(now)
	b.level = 0
}

// Full reports whether the level has reached the burst.
func (b *Bucket) Full(now time.Duration) bool { return b.Level(now) >= b.burst }

// maxWait bounds the result of Wait. For very small rates, longer waits would overflow a Duration.
const maxWait = 24 * time.Hour

// Wait returns the time until the bucket holds n tokens if none are taken. It reports false if n exceeds the burst or the time
// is not below maxWait.
func (b *Bucket) Wait(now time.Duration, n float64) (time.Duration, bool) {
	b.advance(now)
	if b.level >= n {
		return 0, true
	}
	seconds := (n - b.level) / b.rate
	if n > b.burst || !(seconds < maxWait.Seconds()) {
		return 0, false
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}
