package memory_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"quetzalmount.dev/quetzalmount/internal/limit/memory"
	"quetzalmount.dev/quetzalmount/internal/limit/supply"
)

// TestTake guards against large bodies that together exceed the memory of an instance, and that keep small ones out.
func TestTake(t *testing.T) {
	for _, instance := range []int64{11 << 20, 112 << 20, 1 << 30} {
		l := memory.New(instance)
		const large, small = 1 << 20, 2 << 10
		n := int64(0)
		for l.Take(large, large) {
			n++
		}
		if n != instance/8/large {
			t.Errorf("%d bodies of %d bytes in an instance of %d, want %d", n, large, instance, instance/8/large)
		}
		m := int64(0)
		for l.Take(small, small) {
			m++
		}
		if got := n*large + m*small; got > instance/4 || m == 0 {
			t.Errorf("bodies take %d bytes of an instance of %d, %d of them are small", got, instance, m)
		}
		l.Return(n*large + m*small)
		if l.Used() != 0 || !l.Take(large, large) {
			t.Errorf("%d bytes remain", l.Used())
		}
	}
}

// TestTakeAlone guards against a body of permitted length that is never let in, since it is larger than what all bodies may take.
func TestTakeAlone(t *testing.T) {
	const instance, size, small = 112 << 20, 32 << 20, 2 << 10
	l := memory.New(instance)
	if !l.Take(small, small) || !l.Take(size, size) {
		t.Error("a body of 32 MB is refused beside a small one")
	}
	if l.Take(size, size) || l.Take(1<<20, 1<<20) {
		t.Error("another large body is let in beside it")
	}
	l.Return(size)
	if l.Take(instance/2, instance/2) {
		t.Error("a body of half of the memory is let in")
	}
	// A body of unknown length grows by parts.
	for n := int64(1); n <= 32; n++ {
		if !l.Take(1<<20, n<<20) {
			t.Fatalf("a growing body is refused at %d MB", n)
		}
	}
}

// TestStalledBodyGivesWay guards against bodies that don't come to their end and keep others out of the memory.
func TestStalledBodyGivesWay(t *testing.T) {
	const instance, size = 8 << 20, 1000
	l := memory.New(instance)
	var stalled []*memory.Body
	for b := l.Body(); b.Grow(size); b = l.Body() {
		stalled = append(stalled, b)
	}
	l.OnFull(func() bool {
		if len(stalled) == 0 {
			return false
		}
		go stalled[0].Release()
		stalled = stalled[1:]
		return true
	})
	if b := l.Body(); !b.Grow(size) {
		t.Error("a body does not fit although another one can give way")
	}
}

// TestSharedSupply guards against bodies that take memory which connections and requests have taken.
func TestSharedSupply(t *testing.T) {
	shared := supply.New(10_000)
	l := memory.New(1 << 20).Within(shared)
	if err := shared.Take(9000); err != nil {
		t.Fatal(err)
	}
	b := l.Body()
	if _, err := io.ReadAll(b.Reader(strings.NewReader(strings.Repeat("x", 600)), 2)); !errors.Is(err, memory.ErrFull) {
		t.Errorf("reading 600 bytes at 2 each into a supply with 1,000 free: %v, want %v", err, memory.ErrFull)
	}
	shared.Return(9000)
	if !b.Grow(1200) {
		t.Error("a body does not fit into a supply that is free")
	}
	b.Release()
	if n := shared.Used(); n != 0 {
		t.Errorf("%d are in use after all was returned", n)
	}
}
