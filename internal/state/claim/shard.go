package claim

import (
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// phase is how far an attempt of this router is.
type phase int

const (
	phaseQueued     phase = iota // no append was sent that may have an effect
	phaseSent                    // the claim may be in the log, now or later
	phaseDispatched              // the call was sent to the service, or is about to be
	phaseAbandoned               // will never be dispatched
)

// fate is what the driver of an attempt learns.
type claimStatus int

const (
	claimWon       claimStatus = iota
	claimLost                  // another attempt holds the key, or the claim came after its window
	claimShardFull             // the shard holds as many keys as it may
	claimNotSent               // the log certainly does not have the claim
)

// try is an attempt of this router that is not over yet.
type attempt struct {
	op          operation
	deadline    time.Time
	phase       phase            // guarded by shard.mu
	refusals    int              // appends that had no effect
	status      chan claimStatus // capacity 1
	unconfirmed chan struct{}
	voided      chan struct{}      // closed when the log has the void for certain
	result      chan attemptResult // capacity 1
	once        sync.Once
}

// learn tells the driver the attempt's fate. Only the first one counts.
func (t *attempt) setStatus(f claimStatus) {
	select {
	case t.status <- f:
	default:
	}
}

func (t *attempt) confirmVoid() { t.once.Do(func() { close(t.voided) }) }

// shard is the state of one claims stream.
type shard struct {
	number int
	stream qm.StreamID
	rules  rules

	mu              sync.Mutex
	fold            *fold
	nextOffset      qm.Offset // next offset to read
	historyComplete bool      // no record that matters was missed
	hasRead         bool      // at least one read succeeded
	readSince       time.Time // all records after this time were read
	snapshots       snapshotCollector
	lastSnapshot    time.Time // when the newest complete snapshot was cut
	writingSnapshot bool      // a snapshot of this router is being written
	attempts        map[attemptID]*attempt
	activeByKey     map[keyID]*attempt
	watchers        map[keyID]chan struct{}
	pending         []*pendingRecord
	inFlight        int
	wake            chan struct{} // capacity 1
}

func newShard(number int, r rules) *shard {
	return &shard{number: number, stream: StreamOf(number), rules: r, fold: newFold(r), nextOffset: 1,
		attempts: make(map[attemptID]*attempt), activeByKey: make(map[keyID]*attempt), watchers: make(map[keyID]chan struct{}),
		wake: make(chan struct{}, 1)}
}

// view is what the shard knows of a key. changed is closed at the next change of a key that is held or
// claimed, and nil for others.
type view struct {
	historyComplete bool
	entry           *entry
	own             *attempt
	changed         <-chan struct{}
}

func (s *shard) view(k keyID) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := view{historyComplete: s.historyComplete, entry: s.fold.keys[k], own: s.activeByKey[k]}
	if v.own == nil && (v.entry == nil || v.entry.done) {
		return v
	}
	ch := s.watchers[k]
	if ch == nil {
		if len(s.watchers) >= s.rules.maxKeys {
			s.notifyAll() // keys that expired while they were watched
		}
		ch = make(chan struct{})
		s.watchers[k] = ch
	}
	v.changed = ch
	return v
}

// notifyAll wakes all watchers. The caller holds s.mu.
func (s *shard) notifyAll() {
	for k := range s.watchers {
		s.notify(k)
	}
}

// notify wakes everybody who watches the key. The caller holds s.mu.
func (s *shard) notify(k keyID) {
	if ch := s.watchers[k]; ch != nil {
		close(ch)
		delete(s.watchers, k)
	}
}

// begin registers an attempt and queues its claim. It reports false if the key is no longer free or has an attempt here.
func (s *shard) register(t *attempt, it *pendingRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// [CheckHistory] An unseen claim may hold a key that looks free.
	if !s.historyComplete || s.fold.keys[t.op.key] != nil || s.activeByKey[t.op.key] != nil {
		return false
	}
	s.attempts[t.op.attempt] = t
	s.activeByKey[t.op.key] = t
	s.enqueue(it)
	return true
}

// end forgets an attempt that is over.
func (s *shard) unregister(t *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, t.op.attempt)
	if s.activeByKey[t.op.key] == t {
		delete(s.activeByKey, t.op.key)
	}
	s.notify(t.op.key)
}

// startDispatch decides that the attempt is dispatched [CheckWinner] [CheckDeadline]. After true no other step of this
// router may void it, and after false it is never dispatched.
func (s *shard) startDispatch(t *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.fold.keys[t.op.key]
	winner := s.historyComplete && e != nil && e.attempt == t.op.attempt && !e.done
	if !winner || t.phase != phaseSent || hasPassed(t.deadline) {
		return false
	}
	t.phase = phaseDispatched
	return true
}

// giveUp decides that the attempt is never dispatched [GiveUp]. It reports false if that was decided before or the
// attempt was dispatched, and whether a void is needed because the claim may be in the log.
func (s *shard) markAbandoned(t *attempt) (ok, needVoid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch t.phase {
	case phaseDispatched, phaseAbandoned:
		return false, false
	case phaseQueued:
		t.phase = phaseAbandoned
		return true, false
	}
	t.phase = phaseAbandoned
	return true, true
}

// past reports whether a time has passed by the monotonic clock or by the wall clock. The monotonic clock stops while a
// machine is suspended.
func hasPassed(deadline time.Time) bool {
	now := time.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}
