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
	retryPause = 100 * time.Millisecond
	// maxRefusals is how often the log may refuse an append before the claims in it are refused.
	maxRefusals = 3
	// batchBytes bounds one append.
	batchBytes = 256 << 10
)

// item is a record that waits for an append.
type item struct {
	data []byte
	// claim is set for claims. They are sent once; all other records may be sent again.
	claim *try
	// needed reports whether the record must still be sent. Nil means yes.
	needed func() bool
	// confirmed is called when the log has the record for certain. May be nil.
	confirmed func()
}

// push queues an item. The caller holds s.mu.
func (s *shard) push(items ...*item) {
	s.pending = append(s.pending, items...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take returns the next batch. Claims in it count as sent from now on [SendClaim].
func (s *shard) take(limit int) []*item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []*item
	size, n := 0, 0
	for _, it := range s.pending {
		if len(batch) >= limit || (size > 0 && size+len(it.data) > batchBytes) {
			break
		}
		n++
		if it.needed != nil && !it.needed() {
			continue
		}
		if it.claim != nil {
			if it.claim.phase != queued {
				it.claim.learn(fateUnsent)
				continue
			}
			it.claim.phase = sent
		}
		batch = append(batch, it)
		size += len(it.data)
	}
	s.pending = s.pending[n:]
	s.inFlight = len(batch)
	return batch
}

// returned handles the log's answer to an append.
func (s *shard) returned(batch []*item, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = 0
	var again []*item
	for _, it := range batch {
		switch {
		case err == nil && it.confirmed != nil:
			it.confirmed()
		case err == nil:
		case it.claim == nil:
			again = append(again, it)
		case !errors.Is(err, qm.ErrNotAppended):
			// [LoseAnswer] or [LateAppend]: the claim is not sent again, because a second record of an attempt that was read
			// as lost could win after the holder's void.
			close(it.claim.unclear)
		case s.refuse(it.claim):
			it.claim.learn(fateUnsent)
		default:
			again = append(again, it)
		}
	}
	s.pending = append(again, s.pending...)
	if len(s.pending) > 0 {
		s.push()
	}
}

// refuse reports whether a claim that the log certainly does not have is refused rather than sent again [RefuseUnsent].
func (s *shard) refuse(t *try) bool {
	t.refusals++
	if t.phase == gaveUp || t.refusals >= maxRefusals {
		t.phase = gaveUp
		return true
	}
	t.phase = queued
	return false
}

// commit appends the shard's records, one append at a time, until the context ends.
func (c *Claims) commit(ctx context.Context, s *shard) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if c.pace.Wait(ctx) != nil {
			return
		}
		batch := s.take(c.opts.MaxBatch)
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
		s.returned(batch, err)
		if err != nil {
			c.alerts.V(1).Info("append failed", "stream", s.stream, "records", len(batch), "error", err.Error())
			pause(ctx, retryPause)
		}
	}
}

// pause sleeps between half and one and a half times d, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
