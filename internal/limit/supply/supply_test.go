package supply_test

import (
	"fmt"
	"testing"

	"quetzalmount.dev/quetzalmount/internal/limit/supply"
)

// ExampleLimit shows what is left for connections that the process opens.
func ExampleLimit() {
	sockets := supply.New(16)
	for sockets.TakeIncoming(1) {
	}
	fmt.Println("incoming:", sockets.Used())
	for sockets.Take(1) == nil {
	}
	fmt.Println("all:", sockets.Used())
	sockets.OnFull(func() bool { sockets.Return(1); return true })
	fmt.Println("after a connection gave way:", sockets.Take(1))
	// Output:
	// incoming: 14
	// all: 16
	// after a connection gave way: <nil>
}

// TestUnbounded guards against a bound of 0 that lets nothing in.
func TestUnbounded(t *testing.T) {
	l := supply.New(0)
	if !l.TakeIncoming(1<<40) || !l.TryTake(1<<40) || l.Take(1<<40) != nil {
		t.Error("a supply without a bound is full")
	}
}
