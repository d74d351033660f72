package lister_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/lister"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/standin/rawsrv"
)

// TestListReadAgain guards against an earlier list that is taken for the published one: instances that have left would be listed again.
func TestListReadAgain(t *testing.T) {
	var requests atomic.Int64
	address, stop, err := rawsrv.Start(func(c net.Conn, in *bufio.Reader) {
		first := ""
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			body := fmt.Sprintf(`{"Instances":[{"Id":"e%d","Kind":"Engine","Address":"10.0.0.1:80"}]}`, requests.Add(1))
			own := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_, _ = io.WriteString(c, first+own)
			if first == "" {
				first = own
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	c := lister.New(address, pool.Options{})
	defer func() { _ = c.Close() }()
	for n := 1; n <= 8; n++ {
		got, err := c.Get(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if want := qm.EndpointID(fmt.Sprint("e", n)); got.Endpoints[0].ID != want {
			t.Errorf("read %d lists %s, want %s", n, got.Endpoints[0].ID, want)
		}
	}
}
