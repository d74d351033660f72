package lister_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/lister"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// TestOddInstance guards against a router that stops following the list because another writer put one unreadable instance into it.
func TestOddInstance(t *testing.T) {
	const good = `{"Id":"e1","Kind":"Engine","Group":"tab","Address":"10.0.0.1:80","State":"Live"}`
	deep := strings.Repeat(`{"a":[`, 100000) + strings.Repeat(`]}`, 100000)
	for name, odd := range map[string]string{
		"no object":             `7`,
		"null":                  `null`,
		"string":                `"]}{["`,
		"field of another type": `{"Id":7,"Address":"10.0.0.2:80"}`,
		"number too large":      `{"Id":"x","Address":"10.0.0.2:80","State":1e999}`,
		"deeply nested":         deep,
		"deeply nested field":   `{"Id":"x","Address":"10.0.0.2:80","Region":` + deep + `}`,
		"port out of range":     `{"Id":"x","Kind":"Engine","Address":"10.0.0.2:99999"}`,
		"negative port":         `{"Id":"x","Kind":"Engine","Address":"10.0.0.2:-1"}`,
		"no port":               `{"Id":"x","Kind":"Engine","Address":"10.0.0.2"}`,
	} {
		t.Run(name, func(t *testing.T) {
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `{"Instances": [%s, %s , %s]}`, odd, good, odd)
			}))
			defer h.Close()
			c := lister.New(strings.TrimPrefix(h.URL, "http://"), pool.Options{})
			defer func() { _ = c.Close() }()
			got, err := c.Get(t.Context())
			if err != nil {
				t.Fatalf("Get() = %v", err)
			}
			want := lister.List{Endpoints: qm.Endpoints{{ID: "e1", Kind: qm.KindEngine, Group: "tab", Address: "10.0.0.1:80", State: qm.Live}}, Ignored: 2}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("Get() (-want +got):\n%s", diff)
			}
		})
	}
}
