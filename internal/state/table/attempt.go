package table

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
)

// AttemptWindow is the number of offsets for which the outcome of an attempt is kept, and the largest distance between
// the record of an edit and the edit's Seen. The two are equal so that no edit outlives the void of its attempt: the
// Seen of such an edit is below the void's offset, so beyond void + AttemptWindow the edit is refused as too late. The
// window holds the 3,100 edits of a day at the target size.
const AttemptWindow qm.Offset = 4096

// Status is the outcome of an attempt.
type Status string

// Statuses of attempts.
const (
	Accepted Status = "Accepted"
	Refused  Status = "Refused"
	// Voided means that the void came before the edit, which never takes effect.
	Voided Status = "Voided"
)

// Attempt is the outcome of one attempt to edit the table. The first record with its ID decides it.
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

// recentAttempts holds the outcomes of the last AttemptWindow offsets.
type recentAttempts struct {
	byID     map[qm.AttemptID]Attempt
	byOffset []Attempt // in ascending order of Offset
}

// Attempt returns the outcome of an attempt that was decided within the last AttemptWindow offsets.
func (t *Table) Attempt(id qm.AttemptID) (Attempt, bool) {
	a, ok := t.recent.byID[id]
	return a, ok
}

func (t *Table) recordAttempt(a Attempt) {
	t.recent.byID[a.ID] = a
	t.recent.byOffset = append(t.recent.byOffset, a)
	t.digest += a.digest()
}

// pruneAttempts drops the attempts that are older than AttemptWindow.
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
