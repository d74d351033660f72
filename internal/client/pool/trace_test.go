package pool

import (
	"net"
	"testing"
)

// TestSealedConnectionSendsNothing guards against a goroutine of the transport that writes a request after the request was
// reported as not sent.
func TestSealedConnectionSendsNothing(t *testing.T) {
	for _, tt := range []struct {
		name         string
		before, sent bool
	}{{"nothing written", false, false}, {"a part written", true, true}} {
		t.Run(tt.name, func(t *testing.T) {
			near, far := net.Pipe()
			go func() {
				b := make([]byte, 1)
				for {
					if _, err := far.Read(b); err != nil {
						return
					}
				}
			}()
			c := &conn{Conn: &open{near}}
			if _, err := c.Write([]byte("earlier request")); err != nil {
				t.Fatal(err)
			}
			trace := Trace{uses: []use{{conn: c, base: c.count()}}}
			if tt.before {
				if _, err := c.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
			}
			if got := trace.Sent(); got != tt.sent {
				t.Errorf("Sent() = %t, want %t", got, tt.sent)
			}
			if _, err := c.Write([]byte("x")); (err == nil) != tt.sent {
				t.Errorf("write after Sent() = %v", err)
			}
			_ = far.Close()
		})
	}
}

// open is a connection that a Close does not end at once, as when a write is already under way.
type open struct{ net.Conn }

func (o *open) Close() error { return nil }
