package claim

import (
	"encoding/json"
	"time"
)

const (
	// KeyRetention is how long a key is kept after its last record.
	KeyRetention = 24 * time.Hour
	// ClaimWindow is the time after the start of an attempt within which its claim must be appended to win. It is longer
	// than an append takes in normal operation and short enough to bound the set of voided attempts.
	ClaimWindow = 10 * time.Minute
)

// rules are the parameters of the fold. They must be equal on all routers, or the routers disagree on the holder of a key.
type rules struct {
	keyRetention, window time.Duration
	// maxKeys is the maximum number of keys. Further claims for new keys are rejected.
	maxKeys int
	// maxAnswers is the maximum total size of the recorded answers, in bytes. Above it the oldest answers are dropped.
	maxAnswers int
}

// entry is the state of a key.
type entry struct {
	attempt     attemptID
	fingerprint fingerprint
	done        bool
	noAnswer    bool
	status      int32
	at          int64 // time of the last change, in milliseconds since the Unix epoch
	answer      json.RawMessage
}

// decision is the result of folding a claim record.
type decision int

const (
	decisionNone decision = iota
	decisionWon
	decisionLost // the key is held, or the attempt was voided or is outside of its window
	decisionFull // the shard has maxKeys keys
)

// timedKey is a key with the time of the change that queued it, in milliseconds since the Unix epoch.
type timedKey struct {
	key keyID
	at  int64
}

// fold is the state of a shard. It depends only on the records of the stream [Fold].
type fold struct {
	rules
	now         int64 // latest record time, in milliseconds since the Unix epoch
	keys        map[keyID]*entry
	voids       map[attemptID]struct{}
	keyQueue    []timedKey  // keys in the order of their last change
	voidQueue   []attemptID // voided attempts in the order of their records
	answerQueue []timedKey  // keys with an answer, oldest first
	answerBytes int         // total size of the answers
}

func newFold(r rules) *fold {
	return &fold{rules: r, keys: make(map[keyID]*entry), voids: make(map[attemptID]struct{})}
}

// apply folds a record with its time in the log. It returns the key that the record changed, or the zero key, and the
// decision on a claim.
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

// windowClosed reports whether the claim window of an attempt has ended by the log's clock.
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

// void prevents the attempt from winning later. If the attempt holds the key and is not done, void releases the key and
// returns it.
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

// done marks the key as done if the record's attempt holds it.
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

// storeAnswer stores an answer. It drops the oldest answers while their total size exceeds maxAnswers.
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
			withoutAnswer := *old
			withoutAnswer.answer, withoutAnswer.noAnswer = nil, true
			f.keys[b.key] = &withoutAnswer
		}
		f.answerQueue = f.answerQueue[1:]
	}
}

// expire removes keys whose retention has ended and voided attempts whose window has closed.
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
