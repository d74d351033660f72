package meter_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/meter"
)

func scrape(t *testing.T, m *meter.Meter) string {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// TestTeamsHaveHistograms checks that teams have their own series up to the limit, and share one series beyond it.
func TestTeamsHaveHistograms(t *testing.T) {
	m := meter.New("entry-1", 2)
	for _, team := range []qm.TeamID{"a", "b", "c", "d"} {
		m.Team(team).FirstToken(100*time.Millisecond, 400, 300)
		m.Team(team).Request(meter.Completion, qm.OutcomeDone, "", time.Second)
	}
	// Close reports the values that the scope still buffers.
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	out := scrape(t, m)
	for _, want := range []string{`team="a"`, `team="b"`, `team="other"`, "quetzalmount_ttft_seconds_bucket", "quetzalmount_request_seconds_bucket"} {
		if !strings.Contains(out, want) {
			t.Errorf("scrape lacks %s", want)
		}
	}
	for _, bad := range []string{`team="c"`, `team="d"`} {
		if strings.Contains(out, bad) {
			t.Errorf("scrape has %s beyond the limit", bad)
		}
	}
}

// TestSteps checks that the durations of all steps and endpoints are exported, and that the number of endpoint series is
// limited even if endpoints are replaced continually.
func TestSteps(t *testing.T) {
	m := meter.New("entry-1", 1)
	for _, step := range []meter.Step{meter.StepPlace, meter.StepHead, meter.StepFirst, meter.StepRest} {
		m.Step(step, 3*time.Millisecond)
	}
	for i := range 500 {
		e := m.Endpoint(qm.EndpointID(fmt.Sprint("e", i)))
		e.FirstResponse(time.Millisecond)
		e.AttemptEnded(i%2 == 0)
	}
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	out := scrape(t, m)
	for _, want := range []string{
		`step="place"`, `step="head"`, `step="first"`, `step="rest"`, `endpoint="e0"`, `endpoint="other"`, `result="failed"`, "quetzalmount_endpoint_first_seconds_bucket",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("scrape lacks %s", want)
		}
	}
	if strings.Contains(out, `endpoint="e499"`) {
		t.Error("the number of endpoint series is not limited")
	}
}
