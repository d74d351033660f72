package claim

import (
	"encoding/json"
	"time"
)

const (
	// KeyRetention is how long keys are remembered after their last record, from the design.
	KeyRetention = 24 * time.Hour
	// ClaimWindow is how long after the start of its attempt a claim may land and win. Longer than any append may linger in
	// ordinary operation, and short enough to bound the set of voids.
	ClaimWindow = 10 * time.Minute
)

// rules are the bounds of the fold. All routers must use the same, or they would disagree on the holder of a key.
type rules struct {
	keyRetention, window time.Duration
	// maxKeys bounds the keys of a shard; a claim for a new key above it never wins.
	maxKeys int
	// maxAnswers bounds the bytes of recorded answers of a shard; the oldest bodies are dropped first.
	maxAnswers int
}

// entry is the state of a key.
type entry struct {
	attempt     attemptID
	fingerprint fingerprint
	done        bool
	noAnswer    bool
	status      int32
	at          int64 // milliseconds since 1970
	answer      json.RawMessage
}

// verdict is what the fold decided about a claim when it took its record.
type decision int

const (
	decisionNone decision = iota
	decisionWon
	decisionLost
	decisionFull
)

type timedKey struct {
	key keyID
	at  int64
}

// fold is the state of one shard. It is a function of the records alone [Fold].
type fold struct {
	rules
	now         int64 // highest record time, in milliseconds since 1970
	keys        map[keyID]*entry
	voids       map[attemptID]struct{}
	keyQueue    []timedKey  // keys by the time of their last change
	voidQueue   []attemptID // voids in the order of the log
	answerQueue []timedKey  // keys with an answer, oldest first
	answerBytes int         // bytes of answers
}

func newFold(r rules) *fold {
	return &fold{rules: r, keys: make(map[keyID]*entry), voids: make(map[attemptID]struct{})}
}

// apply takes one record and returns the key it changed, if any, and the verdict on a claim.
func (f *fold) apply(r *record, at time.Time) (keyID, decision) {
	f.now = max(f.now, at.UnixMilli())
	f.expire()
	switch r.Kind {
	case kindClaim:
		return keyID(r.Key), f.claim(r)
	case kindVoid:
		return f.void(keyID(r.Key), r.Attempt), decisionNone
	case kindDone:
		return f.done(r), decisionNone
	}
	return keyID{}, decisionNone
}

// closed reports whether the window of an attempt has passed by the log's clock.
func (f *fold) windowClosed(a attemptID) bool {
	return f.now > startTimeOf(a).Add(f.window).UnixMilli()
}

func (f *fold) claim(r *record) decision {
	_, isVoid := f.voids[r.Attempt]
	inFuture := startTimeOf(r.Attempt).UnixMilli() > f.now+f.window.Milliseconds()
	if isVoid || inFuture || f.windowClosed(r.Attempt) || f.keys[keyID(r.Key)] != nil {
		return decisionLost
	}
	if len(f.keys) >= f.maxKeys {
		return decisionFull
	}
	f.put(keyID(r.Key), &entry{attempt: r.Attempt, fingerprint: fingerprint(r.Print), at: f.now})
	return decisionWon
}

func (f *fold) put(k keyID, e *entry) {
	f.keys[k] = e
	f.keyQueue = append(f.keyQueue, timedKey{k, e.at})
}

// void frees the key if the attempt holds it and keeps the attempt from winning later.
func (f *fold) void(k keyID, a attemptID) keyID {
	if _, ok := f.voids[a]; !ok && !f.windowClosed(a) {
		f.voids[a] = struct{}{}
		f.voidQueue = append(f.voidQueue, a)
	}
	if e := f.keys[k]; e != nil && e.attempt == a && !e.done {
		delete(f.keys, k)
		return k
	}
	return keyID{}
}

func (f *fold) done(r *record) keyID {
	k := keyID(r.Key)
	e := f.keys[k]
	if e == nil || e.done || e.attempt != r.Attempt {
		return keyID{}
	}
	n := &entry{attempt: e.attempt, fingerprint: e.fingerprint, done: true, noAnswer: r.NoAnswer, status: int32(r.Status), at: f.now}
	f.keys[k] = n
	f.keyQueue = append(f.keyQueue, timedKey{k, n.at})
	f.storeAnswer(k, n, r.Answer)
	return k
}

// keepAnswer stores the body and drops the oldest ones above the bound.
func (f *fold) storeAnswer(k keyID, e *entry, body json.RawMessage) {
	if len(body) == 0 {
		return
	}
	e.answer = body
	f.answerBytes += len(body)
	f.answerQueue = append(f.answerQueue, timedKey{k, e.at})
	for f.answerBytes > f.maxAnswers && len(f.answerQueue) > 0 {
		b := f.answerQueue[0]
		if old := f.keys[b.key]; old != nil && old.at == b.at && len(old.answer) > 0 {
			f.answerBytes -= len(old.answer)
			bare := *old
			bare.answer, bare.noAnswer = nil, true
			f.keys[b.key] = &bare
		}
		f.answerQueue = f.answerQueue[1:]
	}
}

// expire forgets keys past their time and voids of closed attempts.
func (f *fold) expire() {
	limit := f.now - f.keyRetention.Milliseconds()
	for len(f.keyQueue) > 0 && f.keyQueue[0].at < limit {
		q := f.keyQueue[0]
		if e := f.keys[q.key]; e != nil && e.at == q.at {
			f.answerBytes -= len(e.answer)
			delete(f.keys, q.key)
		}
		f.keyQueue = f.keyQueue[1:]
	}
	for len(f.answerQueue) > 0 && f.answerQueue[0].at < limit {
		f.answerQueue = f.answerQueue[1:]
	}
	for len(f.voidQueue) > 0 && f.windowClosed(f.voidQueue[0]) {
		delete(f.voids, f.voidQueue[0])
		f.voidQueue = f.voidQueue[1:]
	}
}
