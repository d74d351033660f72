package copier_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/standin/copier"
)

// TestCopies checks that refusals are written once more, some under another ID than the next request's and some without one, and that the
// responses to the requests still come.
func TestCopies(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = s.Serve(copier.New(l, copier.Options{IDHeader: "Id", RefusalShare: 1})) }()
	defer func() { _ = s.Close() }()
	copies, unnamed := 0, 0
	for range 50 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		for _, id := range []string{"a", "b", "c"} {
			if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nId: "+id+"\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		seen := map[string]int{}
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadResponse(in, nil)
			if err != nil {
				break
			}
			id := r.Header.Get("Id")
			if seen[id]++; id == "" {
				unnamed++
			} else if seen[id] > 1 {
				copies++
			}
		}
		if seen["a"] == 0 || seen["b"] == 0 || seen["c"] == 0 {
			t.Fatalf("responses by ID: %v", seen)
		}
		_ = c.Close()
	}
	if copies == 0 || unnamed == 0 {
		t.Errorf("%d copies with an ID, %d without one", copies, unnamed)
	}
}
