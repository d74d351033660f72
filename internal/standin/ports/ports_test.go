package ports_test

import (
	"context"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"

	"quetzalmount.dev/quetzalmount/internal/standin/ports"
)

// TestFree guards against an address that is returned twice or that is in use.
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

// TestReserved guards against an address that another process gets as well, while the program that uses it restarts. Two
// concurrent rounds of the soak took each other's ports in this way.
func TestReserved(t *testing.T) {
	const child = "QUETZALMOUNT_PORTS_CHILD"
	if os.Getenv(child) != "" {
		for range 2000 {
			a, err := ports.Free()
			if err != nil {
				t.Fatal(err)
			}
			t.Log("free:" + a)
		}
		return
	}
	reserved := map[string]bool{}
	for range 50 {
		a, err := ports.Free()
		if err != nil {
			t.Fatal(err)
		}
		reserved[a] = true
	}
	cmd := exec.Command(os.Args[0], "-test.run=TestReserved", "-test.v")
	cmd.Env = append(os.Environ(), child+"=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, line := range strings.Split(string(out), "\n") {
		if _, a, ok := strings.Cut(line, "free:"); ok && reserved[strings.TrimSpace(a)] {
			t.Errorf("another process got %s as well", a)
		}
	}
}

// TestFreeWhileStarting guards against an address that is still in use when Free returns it, because a program that is being started has
// inherited the listener that Free used to check the port.
func TestFreeWhileStarting(t *testing.T) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 4 {
		wg.Go(func() {
			for ctx.Err() == nil {
				if err := exec.Command(os.Args[0], "-test.run=^$").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range 1500 {
		a, err := ports.Free()
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", a)
		if err != nil {
			t.Fatalf("the address that Free returned is in use: %v", err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
