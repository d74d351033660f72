package engine_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/engine"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/standin/rawsrv"
)

// serveConns starts an engine whose connections are handled by handle.
func serveConns(t *testing.T, handle rawsrv.Handler) *qm.Endpoint {
	t.Helper()
	address, stop, err := rawsrv.Start(handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return &qm.Endpoint{ID: "e", Address: address}
}

// TestRefusalReadAgain guards against a completion that runs and is reported as not run, because the engine wrote an earlier refusal of it
// once more while it ran it.
func TestRefusalReadAgain(t *testing.T) {
	for name, delay := range map[string]time.Duration{"with the next request": 0, "during the run": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			e := serveConns(t, func(c net.Conn, in *bufio.Reader) {
				refusal := ""
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					var body struct {
						ID string `json:"request_id"`
					}
					if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
						return
					}
					if refusal != "" {
						runs.Add(1)
						time.Sleep(delay)
					} else {
						refusal = fmt.Sprintf("HTTP/1.1 503 Full\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", body.ID)
					}
					_, _ = io.WriteString(c, refusal)
				}
			})
			c := engine.New(pool.Options{})
			defer func() { _ = c.Close() }()
			for n := range 8 {
				_, err := c.Start(t.Context(), e, request("r1"))
				if qm.AsError(err).Outcome == qm.OutcomeNotRun && runs.Load() > 0 {
					t.Fatalf("attempt %d: reported as not run after %d runs: %v", n, runs.Load(), err)
				}
			}
		})
	}
}
