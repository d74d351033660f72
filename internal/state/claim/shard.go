package claim

import (
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// phase is the progress of an attempt of this router.
type phase int

const (
	phaseQueued     phase = iota // the claim is certainly not in the log
	phaseSent                    // the claim may be in the log or appear in it later
	phaseDispatched              // the call was sent to the service or is about to be sent
	phaseAbandoned               // the call will never be dispatched
)

// claimStatus is the result of a claim of this router.
type claimStatus int

const (
	claimWon       claimStatus = iota
	claimLost                  // see decisionLost
	claimShardFull             // see decisionFull
	claimNotSent               // the log has no claim and will not get one
)

// attempt is an unfinished attempt of this router to run a call.
type attempt struct {
	op          operation
	deadline    time.Time
	phase       phase              // guarded by shard.mu
	refusals    int                // appends that the log rejected
	status      chan claimStatus   // capacity 1
	unconfirmed chan struct{}      // closed if it is not known whether the log has the claim
	voided      chan struct{}      // closed when the log has the void record
	result      chan attemptResult // capacity 1
	once        sync.Once
}

// setStatus passes the status of the claim to drive. Only the first call has an effect.
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
	historyComplete bool      // all records of unexpired keys were read
	hasRead         bool      // at least one read succeeded
	readSince       time.Time // all records since this time were read
	snapshots       snapshotCollector
	lastSnapshot    time.Time // creation time of the latest snapshot in the stream
	writingSnapshot bool      // this router is appending a snapshot
	attempts        map[attemptID]*attempt
	activeByKey     map[keyID]*attempt
	watchers        map[keyID]chan struct{} // closed and removed when the key's state changes
	pending         []*pendingRecord
	inFlight        int           // records of the append in progress
	wake            chan struct{} // wakes appendRecords; capacity 1
}

func newShard(number int, r rules) *shard {
	return &shard{number: number, stream: StreamOf(number), rules: r, fold: newFold(r), nextOffset: 1,
		attempts: make(map[attemptID]*attempt), activeByKey: make(map[keyID]*attempt), watchers: make(map[keyID]chan struct{}),
		wake: make(chan struct{}, 1)}
}

// view is the state of a key. If the key is held or is being claimed by this router, changed is closed at the next change
// of the state; otherwise changed is nil.
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
			s.notifyAll() // removes the watchers of expired keys
		}
		ch = make(chan struct{})
		s.watchers[k] = ch
	}
	v.changed = ch
	return v
}

// notifyAll wakes the watchers of all keys. The caller must hold s.mu.
func (s *shard) notifyAll() {
	for k := range s.watchers {
		s.notify(k)
	}
}

// notify wakes the watchers of a key. The caller must hold s.mu.
func (s *shard) notify(k keyID) {
	if ch := s.watchers[k]; ch != nil {
		close(ch)
		delete(s.watchers, k)
	}
}

// register adds an attempt and queues its claim. It returns false if the key is held, another attempt of this router
// claims it, or the history is incomplete.
func (s *shard) register(t *attempt, it *pendingRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// [CheckHistory] Without the complete history, the key may be held although the fold does not contain it.
	if !s.historyComplete || s.fold.keys[t.op.key] != nil || s.activeByKey[t.op.key] != nil {
		return false
	}
	s.attempts[t.op.attempt] = t
	s.activeByKey[t.op.key] = t
	s.enqueue(it)
	return true
}

// unregister removes a finished attempt.
func (s *shard) unregister(t *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, t.op.attempt)
	if s.activeByKey[t.op.key] == t {
		delete(s.activeByKey, t.op.key)
	}
	s.notify(t.op.key)
}

// startDispatch checks whether the attempt may be dispatched and marks it as dispatched [CheckWinner] [CheckDeadline].
// After it returns true, markAbandoned has no effect. After it returns false, the attempt must not be dispatched.
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

// markAbandoned ensures that the attempt is not dispatched [GiveUp]. ok is false if the attempt was abandoned or
// dispatched before. needVoid reports whether the attempt must be voided because its claim may be in the log.
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

// hasPassed reports whether a deadline has passed by the monotonic clock or by the wall clock. The monotonic clock stops
// while the machine is suspended.
func hasPassed(deadline time.Time) bool {
	now := time.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}
