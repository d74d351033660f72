package lister_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/lister"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/standin/lstsrv"
)

// TestGet checks that instances are decoded completely, and that the stand-in list publishes changes late.
func TestGet(t *testing.T) {
	s := lstsrv.New([]lstsrv.Instance{
		{ID: "r1", Kind: "Router", Address: "a:1", PeerAddress: "a:2", AdminAddress: "a:3", DataCentre: "suva", Region: "viti-levu", State: "Live"},
		{ID: "e2", Kind: "Engine", Group: "tab", Address: "b:1", DataCentre: "nadi", State: "Leaving"},
		{ID: "e1", Kind: "Engine", Group: "tab", Address: "b:0", State: "Live"},
		{ID: "no address", Kind: "Engine"},
	}, time.Hour)
	s.Delete("e1")
	h := httptest.NewServer(s.Handler())
	defer h.Close()
	c := lister.New(strings.TrimPrefix(h.URL, "http://"), pool.Options{})
	defer c.Close()
	got, err := c.Get(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	want := lister.List{
		Routers: qm.Members{{Instance: "r1", Address: "a:1", PeerAddress: "a:2", AdminAddress: "a:3", DataCentre: "suva", Region: "viti-levu", State: qm.Live}},
		Endpoints: qm.Endpoints{
			{ID: "e1", Kind: qm.KindEngine, Group: "tab", Address: "b:0", State: qm.Live},
			{ID: "e2", Kind: qm.KindEngine, Group: "tab", Address: "b:1", DataCentre: "nadi", State: qm.Leaving},
		},
		Ignored: 1,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("Get() (-want +got):\n%s", diff)
	}
	s.SetFaults(lstsrv.Faults{Down: true})
	if got, err := c.Get(context.Background()); err == nil {
		t.Errorf("Get() while the list is down = %v, want an error", got)
	}
}
