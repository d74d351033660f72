package loadgn_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/standin/loadgn"
)

// TestRefusedBesideStopped guards against counting a request as lost that a router refused, because its last attempt was at a router that
// was stopped just then.
func TestRefusedBesideStopped(t *testing.T) {
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }))
	defer refusing.Close()
	stopped := httptest.NewServer(nil)
	stopped.Close()
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	run := loadgn.New(loadgn.Options{
		Entries: []string{address(refusing), address(stopped)}, Teams: []loadgn.Team{{Name: "t", Key: "k"}}, Models: []string{"m"}, MaxTokens: 1,
		CompletionsPerSecond: 40, Duration: 500 * time.Millisecond, Seed: 1,
	})
	sum, err := run.Do(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if sum.Sent == 0 || sum.Refused != sum.Sent || sum.Lost != 0 {
		t.Errorf("%d sent, %d refused, %d lost: %v", sum.Sent, sum.Refused, sum.Lost, sum.Failures)
	}
}
