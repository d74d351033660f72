package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// appendTimeout bounds one append, since a connection may stall for ever.
	appendTimeout = 5 * time.Second
	// retryPause is the mean pause after a failed append.
	retryDelay = 100 * time.Millisecond
	// maxRefusals is how often the log may refuse an append before the claims in it are refused.
	maxRefusals = 3
	// batchBytes bounds one append.
	maxBatchBytes = 256 << 10
)

// item is a record that waits for an append.
type pendingRecord struct {
	data []byte
	// claim is set for claims. They are sent once; all other records may be sent again.
	attempt *attempt
	// needed reports whether the record must still be sent. Nil means yes.
	isNeeded func() bool
	// confirmed is called when the log has the record for certain. May be nil.
	onAppended func()
}

// push queues an item. The caller holds s.mu.
func (s *shard) enqueue(items ...*pendingRecord) {
	s.pending = append(s.pending, items...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take returns the next batch. Claims in it count as sent from now on [SendClaim].
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

// returned handles the log's answer to an append.
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
			// [LoseAnswer] or [LateAppend]: the claim is not sent again, because a second record of an attempt that was read
			// as lost could win after the holder's void.
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

// refuse reports whether a claim that the log certainly does not have is refused rather than sent again [RefuseUnsent].
func (s *shard) mustRefuse(t *attempt) bool {
	t.refusals++
	if t.phase == phaseAbandoned || t.refusals >= maxRefusals {
		t.phase = phaseAbandoned
		return true
	}
	t.phase = phaseQueued
	return false
}

// commit appends the shard's records, one append at a time, until the context ends.
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

// pause sleeps between half and one and a half times d, or until the context ends.
func sleepJittered(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
