package carry_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/carry"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// TestConnectionsUnderOverload guards against a new connection for each refusal, or for each caller who comes back, while engines refuse
// most requests.
func TestConnectionsUnderOverload(t *testing.T) {
	const (
		callers, requests = 40, 25
		maxSends          = 8
		runTime           = 2 * time.Millisecond
	)
	for name, refused := range map[string]float64{"none refused": 0, "half refused": 0.5, "most refused": 0.8} {
		t.Run(name, func(t *testing.T) {
			var conns, sends, refusals atomic.Int64
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				if rand.Float64() < refused {
					refusals.Add(1)
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				time.Sleep(runTime)
			}))
			s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					conns.Add(1)
				}
			}
			s.Start()
			defer s.Close()
			c := carry.New(codec{}, nil, pool.Options{})
			defer c.Close()
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					for n := range requests {
						for range maxSends {
							sends.Add(1)
							_, err := send(t, c, s.Listener.Addr().String(), qm.Streaming, qm.RequestID(fmt.Sprint(i, "-", n)), "body")
							if err == nil || qm.AsError(err).Outcome != qm.OutcomeNotRun {
								break
							}
						}
					}
				})
			}
			wg.Wait()
			// A request may get a connection that becomes idle while net/http opens one for it, so that there are more than callers.
			if limit := 2*callers + refusals.Load()/10; conns.Load() > limit {
				t.Errorf("%d connections, want at most %d", conns.Load(), limit)
			}
			t.Logf("%d connections for %d requests, %d of them refused", conns.Load(), sends.Load(), refusals.Load())
		})
	}
}
