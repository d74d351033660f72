package claim

import (
	"encoding/json"
	"time"
)

const (
	// KeyTime is how long keys are remembered after their last record, from the design.
	KeyTime = 24 * time.Hour
	// ClaimWindow is how long after the start of its attempt a claim may land and win. Longer than any append may linger in
	// ordinary operation, and short enough to bound the set of voids.
	ClaimWindow = 10 * time.Minute
)

// rules are the bounds of the fold. All routers must use the same, or they would disagree on the holder of a key.
type rules struct {
	keyTime, window time.Duration
	// maxKeys bounds the keys of a shard; a claim for a new key above it never wins.
	maxKeys int
	// maxAnswers bounds the bytes of recorded answers of a shard; the oldest bodies are dropped first.
	maxAnswers int
}

// entry is the state of a key.
type entry struct {
	attempt  attemptID
	print    bodyPrint
	done     bool
	noAnswer bool
	status   int32
	at       int64 // milliseconds since 1970
	answer   json.RawMessage
}

// verdict is what the fold decided about a claim when it took its record.
type verdict int

const (
	noVerdict verdict = iota
	won
	lost
	full
)

type aged struct {
	key keyID
	at  int64
}

// fold is the state of one shard. It is a function of the records alone [Fold].
type fold struct {
	rules
	now     int64 // highest record time, in milliseconds since 1970
	keys    map[keyID]*entry
	voids   map[attemptID]struct{}
	queue   []aged      // keys by the time of their last change
	voided  []attemptID // voids in the order of the log
	bodies  []aged      // keys with an answer, oldest first
	answers int         // bytes of answers
}

func newFold(r rules) *fold {
	return &fold{rules: r, keys: make(map[keyID]*entry), voids: make(map[attemptID]struct{})}
}

// apply takes one record and returns the key it changed, if any, and the verdict on a claim.
func (f *fold) apply(r *record, at time.Time) (keyID, verdict) {
	f.now = max(f.now, at.UnixMilli())
	f.expire()
	switch r.Kind {
	case kindClaim:
		return keyID(r.Key), f.claim(r)
	case kindVoid:
		return f.void(keyID(r.Key), r.Attempt), noVerdict
	case kindDone:
		return f.done(r), noVerdict
	}
	return keyID{}, noVerdict
}

// closed reports whether the window of an attempt has passed by the log's clock.
func (f *fold) closed(a attemptID) bool {
	return f.now > begunAt(a).Add(f.window).UnixMilli()
}

func (f *fold) claim(r *record) verdict {
	_, voided := f.voids[r.Attempt]
	early := begunAt(r.Attempt).UnixMilli() > f.now+f.window.Milliseconds()
	if voided || early || f.closed(r.Attempt) || f.keys[keyID(r.Key)] != nil {
		return lost
	}
	if len(f.keys) >= f.maxKeys {
		return full
	}
	f.put(keyID(r.Key), &entry{attempt: r.Attempt, print: bodyPrint(r.Print), at: f.now})
	return won
}

func (f *fold) put(k keyID, e *entry) {
	f.keys[k] = e
	f.queue = append(f.queue, aged{k, e.at})
}

// void frees the key if the attempt holds it and keeps the attempt from winning later.
func (f *fold) void(k keyID, a attemptID) keyID {
	if _, ok := f.voids[a]; !ok && !f.closed(a) {
		f.voids[a] = struct{}{}
		f.voided = append(f.voided, a)
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
	n := &entry{attempt: e.attempt, print: e.print, done: true, noAnswer: r.NoAnswer, status: int32(r.Status), at: f.now}
	f.keys[k] = n
	f.queue = append(f.queue, aged{k, n.at})
	f.keepAnswer(k, n, r.Answer)
	return k
}

// keepAnswer stores the body and drops the oldest ones above the bound.
func (f *fold) keepAnswer(k keyID, e *entry, body json.RawMessage) {
	if len(body) == 0 {
		return
	}
	e.answer = body
	f.answers += len(body)
	f.bodies = append(f.bodies, aged{k, e.at})
	for f.answers > f.maxAnswers && len(f.bodies) > 0 {
		b := f.bodies[0]
		if old := f.keys[b.key]; old != nil && old.at == b.at && len(old.answer) > 0 {
			f.answers -= len(old.answer)
			bare := *old
			bare.answer, bare.noAnswer = nil, true
			f.keys[b.key] = &bare
		}
		f.bodies = f.bodies[1:]
	}
}

// expire forgets keys past their time and voids of closed attempts.
func (f *fold) expire() {
	limit := f.now - f.keyTime.Milliseconds()
	for len(f.queue) > 0 && f.queue[0].at < limit {
		q := f.queue[0]
		if e := f.keys[q.key]; e != nil && e.at == q.at {
			f.answers -= len(e.answer)
			delete(f.keys, q.key)
		}
		f.queue = f.queue[1:]
	}
	for len(f.bodies) > 0 && f.bodies[0].at < limit {
		f.bodies = f.bodies[1:]
	}
	for len(f.voided) > 0 && f.closed(f.voided[0]) {
		delete(f.voids, f.voided[0])
		f.voided = f.voided[1:]
	}
}
