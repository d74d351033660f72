package ports_test

import (
	"net"
	"testing"

	"quetzalmount.dev/quetzalmount/internal/standin/ports"
)

// TestFree guards against an address that is handed out twice or that is in use.
func TestFree(t *testing.T) {
	seen := map[string]bool{}
	for range 50 {
		a, err := ports.Free()
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", a)
		if err != nil {
			t.Fatalf("%s is in use: %v", a, err)
		}
		defer func() { _ = l.Close() }()
		if seen[a] {
			t.Errorf("%s came twice", a)
		}
		seen[a] = true
	}
}
