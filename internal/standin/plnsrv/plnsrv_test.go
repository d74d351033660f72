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

// TestRunsCounted guards against a fake that hides duplicates, deduplicates without being told to, or runs a call with a
// stale fencing token.
func TestRunsCounted(t *testing.T) {
	type send struct{ op, key, fence string }
	tests := []struct {
		name  string
		opts  plnsrv.Options
		sends []send
		want  map[qm.OperationID]int
		last  int
	}{
		{"no key", plnsrv.Options{Dedupes: true}, []send{{op: "a"}, {op: "a"}, {op: "b"}}, map[qm.OperationID]int{"a": 2, "b": 1}, 200},
		{"same key", plnsrv.Options{}, []send{{op: "a", key: "k"}, {op: "b", key: "k"}}, map[qm.OperationID]int{"a": 1, "b": 1}, 200},
		{"same key, deduplicated", plnsrv.Options{Dedupes: true}, []send{{op: "a", key: "k"}, {op: "b", key: "k"}}, map[qm.OperationID]int{"a": 1}, 200},
		{"stale token", plnsrv.Options{Fences: true}, []send{{"a", "k", "7"}, {"b", "k", "6"}}, map[qm.OperationID]int{"a": 1}, 409},
		{"stale token not checked", plnsrv.Options{}, []send{{"a", "k", "7"}, {"b", "k", "6"}}, map[qm.OperationID]int{"a": 1, "b": 1}, 200},
		{"tokens of other keys", plnsrv.Options{Fences: true}, []send{{"a", "k", "7"}, {"b", "l", "6"}}, map[qm.OperationID]int{"a": 1, "b": 1}, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := plnsrv.New(tt.opts)
			status := 0
			for _, v := range tt.sends {
				r := httptest.NewRequest(http.MethodPost, "/v1/calls/pay", strings.NewReader("{}"))
				r.Header.Set("X-Operation", v.op)
				r.Header.Set("Idempotency-Key", v.key)
				r.Header.Set("X-Fence", v.fence)
				w := httptest.NewRecorder()
				s.Handler().ServeHTTP(w, r)
				status = w.Code
			}
			if diff := cmp.Diff(tt.want, s.Executions()); diff != "" || status != tt.last {
				t.Errorf("last status %d, executions (-want +got):\n%s", status, diff)
			}
		})
	}
}
