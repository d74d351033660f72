package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// appendTimeout is the timeout of an append. Without it a stalled connection would block the shard.
	appendTimeout = 5 * time.Second
	// retryDelay is the mean delay after a failed append or read.
	retryDelay = 100 * time.Millisecond
	// maxRefusals is how often the log may reject the append of a claim before the call is refused.
	maxRefusals = 3
	// maxBatchBytes is the maximum size of an append with more than one record.
	maxBatchBytes = 256 << 10
)

// pendingRecord is a record that waits to be appended.
type pendingRecord struct {
	data []byte
	// attempt is set for claim records. A claim is not sent again unless the log has certainly not appended it; other
	// records are sent until an append succeeds.
	attempt *attempt
	// isNeeded reports whether the record must still be sent. Nil means that it always must.
	isNeeded func() bool
	// onAppended, if not nil, is called with shard.mu held after the log has confirmed the append.
	onAppended func()
}

// enqueue queues records for appending and wakes appendRecords. The caller must hold s.mu.
func (s *shard) enqueue(items ...*pendingRecord) {
	s.pending = append(s.pending, items...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// nextBatch removes and returns at most limit records to append. It sets the phase of the attempts whose claims are in
// the batch to phaseSent [SendClaim].
func (s *shard) nextBatch(limit int) []*pendingRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []*pendingRecord
	size, n := 0, 0
	for _, it := range s.pending {
		if len(batch) >= limit || (size > 0 && size+len(it.data) > maxBatchBytes) {
			break
		}
		n++
		if it.isNeeded != nil && !it.isNeeded() {
			continue
		}
		if it.attempt != nil {
			if it.attempt.phase != phaseQueued {
				it.attempt.setStatus(claimNotSent)
				continue
			}
			it.attempt.phase = phaseSent
		}
		batch = append(batch, it)
		size += len(it.data)
	}
	s.pending = s.pending[n:]
	s.inFlight = len(batch)
	return batch
}

// finishAppend handles the result of an append. It queues again the records that must be sent again.
func (s *shard) finishAppend(batch []*pendingRecord, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = 0
	var retry []*pendingRecord
	for _, it := range batch {
		switch {
		case err == nil && it.onAppended != nil:
			it.onAppended()
		case err == nil:
		case it.attempt == nil:
			retry = append(retry, it)
		case !errors.Is(err, qm.ErrNotAppended):
			// [LoseAnswer] or [LateAppend]: the claim may be in the log or appear later. It is not sent again: if its first
			// record has lost, a second one could still win after a void has released the key.
			close(it.attempt.unconfirmed)
		case s.mustRefuse(it.attempt):
			it.attempt.setStatus(claimNotSent)
		default:
			retry = append(retry, it)
		}
	}
	s.pending = append(retry, s.pending...)
	if len(s.pending) > 0 {
		s.enqueue()
	}
}

// mustRefuse reports whether a call is refused because the log has certainly not appended its claim [RefuseUnsent]. If
// not, the claim is to be sent again. The caller must hold s.mu.
func (s *shard) mustRefuse(t *attempt) bool {
	t.refusals++
	if t.phase == phaseAbandoned || t.refusals >= maxRefusals {
		t.phase = phaseAbandoned
		return true
	}
	t.phase = phaseQueued
	return false
}

// appendRecords appends the shard's pending records, one batch at a time, until the context is done.
func (c *Claims) appendRecords(ctx context.Context, s *shard) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if c.appendLimiter.Wait(ctx) != nil {
			return
		}
		batch := s.nextBatch(c.opts.MaxBatch)
		if len(batch) == 0 {
			continue
		}
		data := make([][]byte, len(batch))
		for i, it := range batch {
			data[i] = it.data
		}
		actx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := c.opts.Log.Append(actx, s.stream, data)
		cancel()
		if ctx.Err() != nil {
			return
		}
		s.finishAppend(batch, err)
		if err != nil {
			c.logger.V(1).Info("append failed", "stream", s.stream, "records", len(batch), "error", err.Error())
			sleepJittered(ctx, retryDelay)
		}
	}
}

// sleepJittered sleeps for a random time between 0.5*d and 1.5*d, or until the context is done.
func sleepJittered(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
