package pool

import (
	"net/http"
	"strconv"
	"testing"
)

// TestSends guards against a connection that carries an ID twice, because the ID was sent often, the count of sends was full, or it was sent to
// another address as well.
func TestSends(t *testing.T) {
	p := New(Options{})
	defer p.Close()
	transport := func(id, address string) *http.Transport {
		trace := &Trace{ID: id}
		r, err := http.NewRequestWithContext(trace.Context(t.Context()), http.MethodPost, "http://"+address, nil)
		if err != nil {
			t.Fatal(err)
		}
		return p.transportFor(r)
	}
	seen := map[*http.Transport]bool{}
	for n := range 3 * maxPooledSends {
		got := transport("r", "a:1")
		if seen[got] && got != p.unpooled {
			t.Fatalf("send %d uses the connections of an earlier one", n)
		}
		seen[got] = true
	}
	if len(seen) != maxPooledSends+1 {
		t.Errorf("%d sets of connections, want %d and one that keeps none", len(seen), maxPooledSends)
	}
	if first := transport("r", "b:1"); first != transport("other", "b:1") {
		t.Error("the first sends to an address don't share connections")
	}
	before := p.current
	for n := range maxCountedSends {
		transport("r-"+strconv.Itoa(n), "a:1")
	}
	if got := transport("r", "a:1"); p.current == before || seen[got] {
		t.Error("a full count of sends ends without new connections")
	}
}
