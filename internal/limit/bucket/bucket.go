// Package bucket holds the smallest parts of limits: a token bucket whose allowance can change, and a counter of running
// requests whose capacity can change. Neither locks; the owner does.
//
// golang.org/x/time/rate was weighed: its burst is a whole number, so that a floor of half a request has none, it cannot
// take back tokens that were not used, it starts full, and each limiter carries a lock that the owner holds anyway.
package bucket

import (
	"math"
	"time"
)

// Bucket is a token bucket. The zero Bucket is empty and gets nothing until Set. Time is given as the time since any
// fixed moment, so that a Bucket is small; it never runs backwards.
type Bucket struct {
	level, rate, burst float64
	at                 time.Duration
}

// New returns a bucket at time now with rate tokens a second, at most burst of them, that holds level.
func New(now time.Duration, rate, burst, level float64) Bucket {
	return Bucket{level: math.Min(level, burst), rate: rate, burst: burst, at: now}
}

// settle brings the level up to now.
func (b *Bucket) settle(now time.Duration) {
	if now > b.at {
		b.level += b.rate * (now - b.at).Seconds()
		b.at = now
	}
	b.level = math.Min(b.level, b.burst)
}

// Set changes the allowance from now on. Tokens above the new burst are lost, and a higher burst is not filled at once.
func (b *Bucket) Set(now time.Duration, rate, burst float64) {
	b.settle(now)
	b.rate, b.burst = rate, burst
	b.level = math.Min(b.level, burst)
}

// Level returns the tokens there are.
func (b *Bucket) Level(now time.Duration) float64 {
	b.settle(now)
	return b.level
}

// Take removes n tokens, or none and reports false if there are fewer.
func (b *Bucket) Take(now time.Duration, n float64) bool {
	if b.settle(now); b.level < n {
		return false
	}
	b.level -= n
	return true
}

// Give returns n tokens; those above the burst are lost.
func (b *Bucket) Give(now time.Duration, n float64) {
	b.settle(now)
	b.level = math.Min(b.level+n, b.burst)
}

// Empty removes all tokens.
func (b *Bucket) Empty(now time.Duration) {
	b.settle(now)
	b.level = 0
}

// Full reports whether waiting adds nothing.
func (b *Bucket) Full(now time.Duration) bool { return b.Level(now) >= b.burst }

// maxWait bounds the waits that mean anything to a caller. Longer ones would overflow a Duration for tiny rates.
const maxWait = 24 * time.Hour

// Wait returns the time until there are n tokens if none is taken. It reports false if that is more than a day.
func (b *Bucket) Wait(now time.Duration, n float64) (time.Duration, bool) {
	b.settle(now)
	if b.level >= n {
		return 0, true
	}
	seconds := (n - b.level) / b.rate
	if n > b.burst || !(seconds < maxWait.Seconds()) {
		return 0, false
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}
