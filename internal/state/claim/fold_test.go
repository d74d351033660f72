package claim

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	qm "quetzalmount.dev/quetzalmount"
)

var testRules = rules{keyRetention: time.Hour, window: time.Minute, maxKeys: 6, maxAnswers: 40}

// FuzzDecode guards against records that crash decode or change when they are encoded again. The seeds are in
// testdata/fuzz.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decode(data)
		if err != nil {
			return
		}
		out, err := encode(r)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decode(out)
		if err != nil {
			t.Fatalf("decode of the encoded record: %v", err)
		}
		out2, _ := encode(decoded)
		if diff := cmp.Diff(string(out), string(out2)); diff != "" {
			t.Error(diff)
		}
	})
}

// FuzzFold guards against streams that crash the fold, exceed its limits, or have a state that a snapshot does not
// preserve. The input has one record per line.
func FuzzFold(f *testing.F) {
	f.Fuzz(func(t *testing.T, stream []byte) {
		fo := newFold(testRules)
		at := time.UnixMilli(1 << 40)
		for sc := bufio.NewScanner(bytes.NewReader(stream)); sc.Scan(); at = at.Add(time.Second) {
			if r, err := decode(sc.Bytes()); err == nil {
				fo.apply(r, at)
			}
		}
		checkFold(t.Fatalf, fo)
	})
}

// checkFold checks the limits of the fold, and that its state is preserved by encoding and decoding a snapshot.
func checkFold(fatalf func(string, ...any), f *fold) {
	if len(f.keys) > f.maxKeys || f.answerBytes > f.maxAnswers {
		fatalf("%d keys and %d bytes of answers, want at most %d and %d", len(f.keys), f.answerBytes, f.maxKeys, f.maxAnswers)
	}
	var g snapshotCollector
	var c *partialSnapshot
	for _, p := range snapshotRecords(f, uuid.New(), 7) {
		data, err := encode(p)
		if err != nil {
			fatalf("encode: %v", err)
		}
		r, err := decode(data)
		if err != nil {
			fatalf("decode: %v", err)
		}
		c = g.add(r)
	}
	if c == nil {
		fatalf("the snapshot is not complete")
	}
	if diff := cmp.Diff(observableState(f), observableState(c.restore(f.rules))); diff != "" {
		fatalf("snapshot differs: %s", diff)
	}
}

// observableState returns the state that later claims and answers depend on.
func observableState(f *fold) map[string]string {
	m := map[string]string{"now": fmt.Sprint(f.now), "answers": fmt.Sprint(f.answerBytes)}
	for k, e := range f.keys {
		var body bytes.Buffer
		if len(e.answer) > 0 {
			_ = json.Compact(&body, e.answer)
		}
		m[fmt.Sprintf("key %x", k)] = fmt.Sprint(e.attempt, e.fingerprint, e.done, e.noAnswer, e.status, e.at, body.String())
	}
	for a := range f.voids {
		m["void "+a.String()] = ""
	}
	return m
}

// attemptAt returns the ID of an attempt that started at a time, in milliseconds since the Unix epoch.
func attemptAt(ms int64, n byte) attemptID {
	a := attemptID{byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms), 0x70}
	a[15] = n
	return a
}

// TestFoldRules checks with random streams that a claim never wins if it is voided, late or not the first, that a key that
// is done keeps its holder, and that snapshots preserve the state.
func TestFoldRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFold(testRules)
		now := int64(1 << 40)
		voided := map[attemptID]bool{}
		started := map[byte]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			now += rapid.Int64Range(0, 20_000).Draw(t, "ms")
			n := rapid.ByteRange(1, 20).Draw(t, "attempt")
			if started[n] == 0 {
				started[n] = now
			}
			a := attemptAt(started[n], n)
			key := make([]byte, keyBytes)
			key[0] = n % 8
			r := &record{Attempt: a, Key: key, Print: make([]byte, fingerprintBytes), Status: 200, Answer: json.RawMessage(`"0123456789"`)}
			r.Kind = rapid.SampledFrom([]string{kindClaim, kindClaim, kindVoid, kindDone}).Draw(t, "kind")
			before := f.keys[keyID(key)]
			_, v := f.apply(r, time.UnixMilli(now))
			voided[a] = voided[a] || r.Kind == kindVoid
			if v == decisionWon && (voided[a] || now-started[n] > 60_000 || before != nil) {
				t.Fatalf("attempt %d won at %d, voided %v, begun %d, before %v", n, now, voided[a], started[n], before)
			}
			if before != nil && before.done && (f.keys[keyID(key)] == nil || f.keys[keyID(key)].attempt != before.attempt) {
				t.Fatalf("a done key changed its holder")
			}
			checkFold(t.Fatalf, f)
		}
	})
}

// TestStartDispatch checks each condition of startDispatch separately. In TestSchedules, some conditions are covered by
// others.
func TestStartDispatch(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*shard, *attempt)
		want   bool
	}{
		"holder":       {func(*shard, *attempt) {}, true},
		"gave up":      {func(s *shard, t *attempt) { s.markAbandoned(t) }, false},
		"other holder": {func(s *shard, t *attempt) { s.fold.keys[t.op.key].attempt[0]++ }, false},
		"voided":       {func(s *shard, t *attempt) { s.fold.void(t.op.key, t.op.attempt) }, false},
		"no history":   {func(s *shard, _ *attempt) { s.historyComplete = false }, false},
		"deadline":     {func(_ *shard, t *attempt) { time.Sleep(time.Until(t.deadline)) }, false},
		"twice":        {func(s *shard, t *attempt) { s.startDispatch(t) }, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newShard(0, testRules)
			s.historyComplete = true
			tr := &attempt{op: operation{attempt: uuid.New()}, phase: phaseSent, deadline: time.Now().Add(time.Second)}
			s.fold.keys[tr.op.key] = &entry{attempt: tr.op.attempt}
			test.change(s, tr)
			if got := s.startDispatch(tr); got != test.want {
				t.Errorf("%s: startDispatch = %v, want %v", name, got, test.want)
			}
		})
	}
}

// TestOperation guards against operation IDs that are decoded to another operation, and against invalid IDs.
func TestOperation(t *testing.T) {
	op := operation{key: keyOf("club", "tally", "k"), fingerprint: fingerprintOf("post", []byte("1")), attempt: uuid.New(), owner: ownerOf("club", "tally")}
	got, ok := parseOperation(op.id())
	if diff := cmp.Diff(fmt.Sprint(op), fmt.Sprint(got)); !ok || diff != "" {
		t.Error(ok, diff)
	}
	for _, bad := range []qm.OperationID{"", "x", op.id()[1:], "n." + op.id()} {
		if _, ok := parseOperation(bad); ok {
			t.Errorf("%q was accepted", bad)
		}
	}
}
