package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/fatal"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
)

// TestReportOnWire guards against a report that reaches other routers without the parts of the prompt.
func TestReportOnWire(t *testing.T) {
	for _, want := range []fatal.Report{
		{
			Kind: fatal.ReportEnded, Fingerprints: []qm.Fingerprint{1, 2, 3}, Run: fatal.EndpointRun{Endpoint: "e", Incarnation: "i"},
			Completions: []int{0, 7, -1}, Request: "r", Ran: time.Second, Age: 20 * time.Millisecond,
		},
		{Kind: fatal.ReportCompleted, Fingerprints: []qm.Fingerprint{2}, Request: "r"},
		{Kind: fatal.ReportConvicted, Fingerprints: []qm.Fingerprint{3}, For: time.Minute},
	} {
		if diff := cmp.Diff(want, reportFromWire(reportToWire(want))); diff != "" {
			t.Errorf("kind %v (-want +got):\n%s", want.Kind, diff)
		}
	}
}

// TestTakeAfterGiveBack guards against an update that is sent in no message while others come back from failed calls again and again.
func TestTakeAfterGiveBack(t *testing.T) {
	o := outbox{maxHints: 2}
	o.addHint(roster.Hint{Endpoint: "leaving", Kind: roster.HintLeaving})
	for i := range 5 {
		o.addHint(roster.Hint{Endpoint: qm.EndpointID(fmt.Sprint("failed-", i)), Kind: roster.HintFailed})
	}
	delivered := map[string]bool{}
	for range 20 {
		o.giveBack(o.take(nil))
		_, hints, _ := o.take(nil).wire()
		for _, h := range hints {
			delivered[h.GetEndpoint()] = true
		}
	}
	if len(delivered) != 6 {
		t.Errorf("hints about %d endpoints sent, want 6", len(delivered))
	}
	total := 0
	for _, u := range o.hints {
		total += u.copiesLeft
	}
	if want := 6*urgentCopies - 40; total != want {
		t.Errorf("%d copies left after 40 were delivered, want %d", total, want)
	}
}
