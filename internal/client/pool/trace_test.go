package pool

import (
	"net"
	"testing"
)

// TestBlockedConnectionSendsNothing guards against a goroutine of the transport that writes a request after Trace.Sent has
// reported it as not sent.
func TestBlockedConnectionSendsNothing(t *testing.T) {
	for _, tt := range []struct {
		name         string
		before, sent bool
	}{{"nothing written", false, false}, {"partially written", true, true}} {
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
			c := &conn{Conn: &noCloseConn{near}}
			if _, err := c.Write([]byte("earlier request")); err != nil {
				t.Fatal(err)
			}
			trace := Trace{uses: []connUse{{conn: c, writesBefore: c.writeCount()}}}
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

// noCloseConn ignores Close, like a connection with a write in progress that outlasts Close.
type noCloseConn struct{ net.Conn }

func (o *noCloseConn) Close() error { return nil }
