package wgtsrv_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalmount.dev/quetzalmount/internal/standin/wgtsrv"
)

// TestLoadTime guards against a store that serves any number of engines at full speed. Up to two concurrent loads take 2 s,
// more take longer.
func TestLoadTime(t *testing.T) {
	for engines, want := range map[int]time.Duration{1: 2 * time.Second, 2: 2 * time.Second, 3: 3 * time.Second, 6: 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			h := wgtsrv.New(wgtsrv.Options{}).Handler()
			start := time.Now()
			var wg sync.WaitGroup
			for range engines {
				wg.Go(func() {
					w := httptest.NewRecorder()
					h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/weights/m/v2", nil))
					if w.Code != http.StatusOK {
						t.Errorf("status %d", w.Code)
					}
				})
			}
			wg.Wait()
			// The first chunks are sent before all loads have started, so the time may be short by a few chunks of 20 ms.
			if took := time.Since(start); took > want || took < want-200*time.Millisecond {
				t.Errorf("%d loads took %v, want %v", engines, took, want)
			}
		})
	}
}

// TestRate guards against a store that doesn't limit the request rate.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := wgtsrv.New(wgtsrv.Options{RequestsPerSecond: 1, LoadTime: time.Millisecond}).Handler()
		codes := make(map[int]int)
		for range 5 {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/weights/m/v2", nil))
			codes[w.Code]++
			if w.Code == http.StatusTooManyRequests && w.Header().Get("Retry-After") == "" {
				t.Error("429 without Retry-After")
			}
		}
		if codes[http.StatusOK] != 2 || codes[http.StatusTooManyRequests] != 3 {
			t.Errorf("answers by status = %v, want 2 of 200 and 3 of 429", codes)
		}
	})
}
