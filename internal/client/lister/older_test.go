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
)

// TestListReadAgain guards against an earlier list that is taken for the published one: instances that have left would be listed again.
func TestListReadAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
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
			}()
		}
	}()
	c := lister.New(l.Addr().String(), pool.Options{})
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
