package claim

import (
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// phase is how far an attempt of this router is.
type phase int

const (
	queued     phase = iota // no append was sent that may have an effect
	sent                    // the claim may be in the log, now or later
	dispatched              // the call was sent to the service, or is about to be
	gaveUp                  // will never be dispatched
)

// fate is what the driver of an attempt learns.
type fate int

const (
	fateWon    fate = iota
	fateLost        // another attempt holds the key, or the claim came after its window
	fateFull        // the shard holds as many keys as it may
	fateUnsent      // the log certainly does not have the claim
)

// try is an attempt of this router that is not over yet.
type try struct {
	op       operation
	deadline time.Time
	phase    phase     // guarded by shard.mu
	refusals int       // appends that had no effect
	fate     chan fate // capacity 1
	unclear  chan struct{}
	voided   chan struct{} // closed when the log has the void for certain
	result   chan outcome  // capacity 1
	once     sync.Once
}

// learn tells the driver the attempt's fate. Only the first one counts.
func (t *try) learn(f fate) {
	select {
	case t.fate <- f:
	default:
	}
}

func (t *try) confirmVoid() { t.once.Do(func() { close(t.voided) }) }

// shard is the state of one claims stream.
type shard struct {
	number int
	stream qm.StreamID
	rules  rules

	mu       sync.Mutex
	fold     *fold
	pos      qm.Offset // next offset to read
	complete bool      // no record that matters was missed
	started  bool      // at least one read succeeded
	since    time.Time // all records after this time were read
	gather   gather
	marked   time.Time // when the newest complete snapshot was cut
	keeping  bool      // a snapshot of this router is being written
	tries    map[attemptID]*try
	active   map[keyID]*try
	watch    map[keyID]chan struct{}
	pending  []*item
	inFlight int
	wake     chan struct{} // capacity 1
}

func newShard(number int, r rules) *shard {
	return &shard{number: number, stream: StreamOf(number), rules: r, fold: newFold(r), pos: 1,
		tries: make(map[attemptID]*try), active: make(map[keyID]*try), watch: make(map[keyID]chan struct{}),
		wake: make(chan struct{}, 1)}
}

// view is what the shard knows of a key. changed is closed at the next change of a key that is held or
// claimed, and nil for others.
type view struct {
	complete bool
	entry    *entry
	own      *try
	changed  <-chan struct{}
}

func (s *shard) view(k keyID) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := view{complete: s.complete, entry: s.fold.keys[k], own: s.active[k]}
	if v.own == nil && (v.entry == nil || v.entry.done) {
		return v
	}
	ch := s.watch[k]
	if ch == nil {
		if len(s.watch) >= s.rules.maxKeys {
			s.notifyAll() // keys that expired while they were watched
		}
		ch = make(chan struct{})
		s.watch[k] = ch
	}
	v.changed = ch
	return v
}

// notifyAll wakes all watchers. The caller holds s.mu.
func (s *shard) notifyAll() {
	for k := range s.watch {
		s.notify(k)
	}
}

// notify wakes everybody who watches the key. The caller holds s.mu.
func (s *shard) notify(k keyID) {
	if ch := s.watch[k]; ch != nil {
		close(ch)
		delete(s.watch, k)
	}
}

// begin registers an attempt and queues its claim. It reports false if the key is no longer free or has an attempt here.
func (s *shard) begin(t *try, it *item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// [CheckHistory] An unseen claim may hold a key that looks free.
	if !s.complete || s.fold.keys[t.op.key] != nil || s.active[t.op.key] != nil {
		return false
	}
	s.tries[t.op.attempt] = t
	s.active[t.op.key] = t
	s.push(it)
	return true
}

// end forgets an attempt that is over.
func (s *shard) end(t *try) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tries, t.op.attempt)
	if s.active[t.op.key] == t {
		delete(s.active, t.op.key)
	}
	s.notify(t.op.key)
}

// startDispatch decides that the attempt is dispatched [CheckWinner] [CheckDeadline]. After true no other step of this
// router may void it, and after false it is never dispatched.
func (s *shard) startDispatch(t *try) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.fold.keys[t.op.key]
	winner := s.complete && e != nil && e.attempt == t.op.attempt && !e.done
	if !winner || t.phase != sent || past(t.deadline) {
		return false
	}
	t.phase = dispatched
	return true
}

// giveUp decides that the attempt is never dispatched [GiveUp]. It reports false if that was decided before or the
// attempt was dispatched, and whether a void is needed because the claim may be in the log.
func (s *shard) giveUp(t *try) (ok, needVoid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch t.phase {
	case dispatched, gaveUp:
		return false, false
	case queued:
		t.phase = gaveUp
		return true, false
	}
	t.phase = gaveUp
	return true, true
}

// past reports whether a time has passed by the monotonic clock or by the wall clock. The monotonic clock stops while a
// machine is suspended.
func past(deadline time.Time) bool {
	now := time.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}
