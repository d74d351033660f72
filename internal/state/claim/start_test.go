package claim_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
	"quetzalmount.dev/quetzalmount/internal/state/claim"
)

// TestStartWithIdleStream guards against a restarted router that refuses calls with a key until its first long poll of an
// idle stream returns.
func TestStartWithIdleStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := claim.New(t.Context(), claim.Options{
			Log: logsrv.New(logsrv.Options{}), Instance: "entry-1",
			Dispatch: func(context.Context, qm.OperationID, *qm.Call) (int, json.RawMessage, error) {
				return 200, json.RawMessage(`{}`), nil
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		synctest.Wait()
		start := time.Now()
		r, err := c.Run(t.Context(), &qm.Call{Team: "a", Service: &qm.Service{ID: "tally"}, Name: "post", Key: "k", Body: json.RawMessage(`{}`)})
		if err != nil || r.Outcome != qm.OutcomeDone || time.Since(start) > time.Second {
			t.Errorf("Run() = %+v, %v after %v, want Done within 1s", r, err, time.Since(start))
		}
	})
}
