package table

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
)

// AttemptWindow is how many offsets an attempt is remembered, and how far behind its own offset an edit's Seen may be. The two
// are equal so that a void outlives every edit that it has to stop: an edit of a voided attempt has Seen below the
// void's offset, so beyond void + Window it is refused as too late. 3,100 edits a day (target size) fit.
const AttemptWindow qm.Offset = 4096

// Status is what became of an attempt.
type Status string

// Statuses of attempts.
const (
	Accepted Status = "Accepted"
	Refused  Status = "Refused"
	// Voided attempts did not take effect and never will.
	Voided Status = "Voided"
)

// Attempt is the outcome of an attempt, decided by its first record.
type Attempt struct {
	ID     qm.AttemptID
	Offset qm.Offset
	Status Status
}

func (a Attempt) digest() uint64 {
	d := xxhash.New()
	for _, s := range []string{"attempt", string(a.ID), strconv.FormatInt(int64(a.Offset), 10), string(a.Status)} {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	return d.Sum64()
}

// attempts are the outcomes of the last Window offsets.
type recentAttempts struct {
	byID     map[qm.AttemptID]Attempt
	byOffset []Attempt // by offset
}

// Attempt returns the outcome of an attempt that was decided within the last Window offsets.
func (t *Table) Attempt(id qm.AttemptID) (Attempt, bool) {
	a, ok := t.recent.byID[id]
	return a, ok
}

func (t *Table) recordAttempt(a Attempt) {
	t.recent.byID[a.ID] = a
	t.recent.byOffset = append(t.recent.byOffset, a)
	t.digest += a.digest()
}

// forget drops the attempts that are past the window.
func (t *Table) pruneAttempts() {
	n := 0
	for n < len(t.recent.byOffset) && t.recent.byOffset[n].Offset <= t.offset-AttemptWindow {
		a := t.recent.byOffset[n]
		delete(t.recent.byID, a.ID)
		t.digest -= a.digest()
		n++
	}
	t.recent.byOffset = t.recent.byOffset[n:]
}
