package kvsrv_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"quetzalmount.dev/quetzalmount/internal/standin/kvsrv"
)

// TestEviction guards against a store that never evicts a block, and against one that evicts the most recently read block.
func TestEviction(t *testing.T) {
	h := kvsrv.New(kvsrv.Options{CapacityBlocks: 2}).Handler()
	do := func(method, key string) (int, string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, "/v1/blocks/"+key, strings.NewReader("data of "+key)))
		return w.Code, w.Body.String()
	}
	for _, step := range []struct {
		method, key string
		status      int
	}{
		{http.MethodPut, "a", 204}, {http.MethodPut, "b", 204}, {http.MethodGet, "a", 200}, {http.MethodPut, "c", 204},
		{http.MethodGet, "b", 404}, {http.MethodGet, "a", 200}, {http.MethodGet, "c", 200},
	} {
		status, body := do(step.method, step.key)
		if status != step.status || (status == 200 && body != "data of "+step.key) {
			t.Errorf("%s %s = %d, %q, want %d", step.method, step.key, status, body, step.status)
		}
	}
}
