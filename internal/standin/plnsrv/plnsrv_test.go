package plnsrv_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/plnsrv"
)

// TestExecutionCounts guards against a fake that doesn't count duplicates, deduplicates although Dedupes is off, or runs a
// call with a stale fencing token.
func TestExecutionCounts(t *testing.T) {
	type call struct{ op, key, fence string }
	tests := []struct {
		name       string
		opts       plnsrv.Options
		calls      []call
		want       map[qm.OperationID]int
		wantStatus int
	}{
		{"no key", plnsrv.Options{Dedupes: true}, []call{{op: "a"}, {op: "a"}, {op: "b"}}, map[qm.OperationID]int{"a": 2, "b": 1}, 200},
		{"same key", plnsrv.Options{}, []call{{op: "a", key: "k"}, {op: "b", key: "k"}}, map[qm.OperationID]int{"a": 1, "b": 1}, 200},
		{"same key, deduplicated", plnsrv.Options{Dedupes: true}, []call{{op: "a", key: "k"}, {op: "b", key: "k"}}, map[qm.OperationID]int{"a": 1}, 200},
		{"stale token", plnsrv.Options{Fences: true}, []call{{"a", "k", "7"}, {"b", "k", "6"}}, map[qm.OperationID]int{"a": 1}, 409},
		{"stale token not checked", plnsrv.Options{}, []call{{"a", "k", "7"}, {"b", "k", "6"}}, map[qm.OperationID]int{"a": 1, "b": 1}, 200},
		{"tokens of other keys", plnsrv.Options{Fences: true}, []call{{"a", "k", "7"}, {"b", "l", "6"}}, map[qm.OperationID]int{"a": 1, "b": 1}, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := plnsrv.New(tt.opts)
			status := 0
			for _, v := range tt.calls {
				r := httptest.NewRequest(http.MethodPost, "/v1/calls/pay", strings.NewReader("{}"))
				r.Header.Set("X-Operation", v.op)
				r.Header.Set("Idempotency-Key", v.key)
				r.Header.Set("X-Fence", v.fence)
				w := httptest.NewRecorder()
				s.Handler().ServeHTTP(w, r)
				status = w.Code
			}
			if diff := cmp.Diff(tt.want, s.Executions()); diff != "" || status != tt.wantStatus {
				t.Errorf("last status %d, executions (-want +got):\n%s", status, diff)
			}
		})
	}
}
