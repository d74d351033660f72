package opsapi_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/entry/opsapi"
	"quetzalmount.dev/quetzalmount/internal/limit/slot"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/admin"
)

const key = "operator-key"

func newHandler(t *testing.T, b *board.Board) http.Handler {
	t.Helper()
	sum := sha256.Sum256([]byte(key))
	h, err := opsapi.New(opsapi.Deps{
		Board: b, Instance: "entry-1", KeyHash: hex.EncodeToString(sum[:]),
		Rows: func() []opsapi.Row {
			return []opsapi.Row{{Kind: "team", Name: "a", Version: 3, Cells: map[string]string{"Weight": "2"}}}
		},
		Teams: func() []slot.Load { return []slot.Load{{Team: "a", InFlight: 1, Queued: 2}} },
		Progress: func() map[qm.EndpointID]opsapi.Progress {
			return map[qm.EndpointID]opsapi.Progress{"scribe-1": {Desired: "v2", Step: "Loading"}}
		},
		Metrics: http.NotFoundHandler(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func get(h http.Handler, path, auth string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("GET", path, nil)
	if auth != "" {
		r.Header.Set("Authorization", auth)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// TestKey guards against paths of the operators' API that are served without the operators' key.
func TestKey(t *testing.T) {
	h := newHandler(t, board.New())
	for _, path := range []string{"/v1/status", "/v1/table", "/metrics", "/debug/pprof/heap"} {
		for _, auth := range []string{"", "Bearer wrong", key} {
			if w := get(h, path, auth); w.Code != http.StatusUnauthorized {
				t.Errorf("GET %s with %q = %d, want 401", path, auth, w.Code)
			}
		}
	}
}

// TestStatus guards against a status that confuses this instance's table offset with those that peers reported.
func TestStatus(t *testing.T) {
	b := board.New()
	h := newHandler(t, b)
	if w := get(h, "/v1/table", "Bearer "+key); w.Code != http.StatusServiceUnavailable {
		t.Errorf("table before the first one = %d, want 503", w.Code)
	}
	b.Table.Store(&qm.Config{Offset: 9})
	b.Members.Store(qm.Members{
		{Instance: "entry-1", State: qm.Live, IsSelf: true, TableOffset: 1}, {Instance: "entry-2", State: qm.Live, TableOffset: 8},
	})
	b.Endpoints.Store(qm.Endpoints{{ID: "scribe-1", Kind: qm.KindEngine, State: qm.Suspect, Version: "v1"}})
	w := get(h, "/v1/status", "Bearer "+key)
	var s admin.Status
	if err := json.Unmarshal(w.Body.Bytes(), &s); err != nil {
		t.Fatalf("status %d: %s: %v", w.Code, w.Body, err)
	}
	got := []any{s.State, s.TableOffset, s.Instances[0].TableOffset, s.Instances[1].TableOffset, s.Endpoints[0].State,
		s.Endpoints[0].DesiredVersion.Value, s.Endpoints[0].Step.Value, s.Teams[0].Queued}
	want := []any{"Serving", int64(9), int64(9), int64(8), "Suspect", "v2", "Loading", 2}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status differs (-want +got):\n%s", diff)
	}
}
