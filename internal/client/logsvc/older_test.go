package logsvc_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/logsvc"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
	"quetzalmount.dev/quetzalmount/internal/standin/rawsrv"
)

// answer is the status and body of a response.
type answer struct {
	status int
	body   string
}

// newRepeatingLog returns a client of a log that answers request number n, from 0, with answerTo(r, n), and writes the first answer of a
// connection once more before those to requests repeatFrom and later of that connection.
func newRepeatingLog(t *testing.T, repeatFrom int, answerTo func(r *http.Request, n int) answer) *logsvc.Client {
	t.Helper()
	var requests atomic.Int64
	address, stop, err := rawsrv.Start(func(c net.Conn, in *bufio.Reader) {
		first := ""
		for i := 0; ; i++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			a := answerTo(r, int(requests.Add(1))-1)
			own := fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", a.status, len(a.body), a.body)
			if i == 0 {
				first = own
			}
			if i >= repeatFrom {
				own = first + own
			}
			_, _ = io.WriteString(c, own)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	c := logsvc.New(address, pool.Options{})
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestAppendAnswerReadAgain guards against the answer to an earlier append that is taken for the one to a later: it promises that records
// that are in the log were not appended, or that they are there although they were refused.
func TestAppendAnswerReadAgain(t *testing.T) {
	appended := func(offset int) answer {
		return answer{http.StatusOK, fmt.Sprintf(`{"First":%d,"Last":%[1]d}`, offset)}
	}
	refused := func(status int) answer { return answer{status, "{}"} }
	for name, tt := range map[string]struct {
		streams [2]qm.StreamID
		answers [2]answer
	}{
		"same stream":       {[2]qm.StreamID{"config", "config"}, [2]answer{appended(7), appended(8)}},
		"another stream":    {[2]qm.StreamID{"claims-01", "config"}, [2]answer{appended(70), appended(8)}},
		"refused, then not": {[2]qm.StreamID{"config", "config"}, [2]answer{refused(http.StatusTooManyRequests), appended(8)}},
		"down, then up":     {[2]qm.StreamID{"config", "config"}, [2]answer{refused(http.StatusServiceUnavailable), appended(8)}},
		"malformed before":  {[2]qm.StreamID{"config", "config"}, [2]answer{refused(http.StatusBadRequest), appended(8)}},
		"unknown before":    {[2]qm.StreamID{"claims-01", "config"}, [2]answer{refused(http.StatusNotFound), appended(8)}},
		"then refused":      {[2]qm.StreamID{"config", "config"}, [2]answer{appended(7), refused(http.StatusTooManyRequests)}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newRepeatingLog(t, 1, func(_ *http.Request, n int) answer { return tt.answers[n] })
			for n, want := range tt.answers {
				offset, err := c.Append(t.Context(), tt.streams[n], [][]byte{[]byte("x")})
				isAppended := want.status == http.StatusOK
				if err == nil && (!isAppended || want != appended(int(offset))) {
					t.Errorf("append %d has offset %d of another one", n, offset)
				}
				if isAppended && errors.Is(err, qm.ErrNotAppended) {
					t.Errorf("append %d is in the log: %v", n, err)
				}
				if n == 0 && (err == nil) != isAppended {
					t.Errorf("append 0: %v", err)
				}
			}
		})
	}
}

// TestReadAnswerReadAgain guards against the answer to an earlier read that is taken for the one to a later: a reader would fold the records
// of another stream, or take the log for one that has lost records.
func TestReadAnswerReadAgain(t *testing.T) {
	batch := func(next int, records string) answer {
		return answer{http.StatusOK, fmt.Sprintf(`{"First":1,"Next":%d,"Records":[%s]}`, next, records)}
	}
	t.Run("another stream", func(t *testing.T) {
		c := newRepeatingLog(t, 1, func(_ *http.Request, n int) answer {
			return batch(2, []string{`{"Offset":1,"Data":"eA=="}`, `{"Offset":1,"Data":"eQ=="}`}[n])
		})
		if _, err := c.Read(t.Context(), "claims-01", 1, 10, 0); err != nil {
			t.Fatal(err)
		}
		b, err := c.Read(t.Context(), "claims-02", 1, 10, 0)
		if err == nil && string(b.Records[0].Data) != "y" {
			t.Errorf("record %q of another stream", b.Records[0].Data)
		}
	})
	t.Run("next offset", func(t *testing.T) {
		c := newRepeatingLog(t, 2, func(r *http.Request, n int) answer {
			switch {
			case n == 0:
				return batch(1, "")
			case r.FormValue("from") == "1":
				return batch(2, `{"Offset":1,"Data":"eA=="}`)
			}
			return batch(2, "")
		})
		next := qm.Offset(1)
		for n := range 8 {
			b, err := c.Read(t.Context(), "claims-01", next, 10, 0)
			if err == nil && b.NextOffset < next {
				t.Errorf("read %d from %d: the next offset is %d", n, next, b.NextOffset)
			}
			next += qm.Offset(len(b.Records))
		}
		if next != 2 {
			t.Errorf("read up to %d, want 2", next)
		}
	})
}

// TestLogReplaced guards against a client that refuses all answers of a log that lost its records, as after the loss of its disks.
func TestLogReplaced(t *testing.T) {
	store := logsrv.New(logsrv.Options{})
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { logsrv.Handler(store).ServeHTTP(w, r) }))
	defer h.Close()
	c := logsvc.New(strings.TrimPrefix(h.URL, "http://"), pool.Options{})
	defer func() { _ = c.Close() }()
	calls := func() (failed int) {
		for range 5 {
			if _, err := c.Append(t.Context(), "config", [][]byte{[]byte("x")}); err != nil {
				failed++
			}
			if _, err := c.Read(t.Context(), "config", 1, 10, 0); err != nil {
				failed++
			}
		}
		return failed
	}
	if n := calls(); n > 0 {
		t.Errorf("%d calls failed", n)
	}
	store = logsrv.New(logsrv.Options{})
	if n := calls(); n > 2 {
		t.Errorf("%d calls failed after the log was replaced, want at most one append and one read", n)
	}
}

// TestLogConnections guards against a new connection for each call, also while the log is down: only a refused append costs one.
func TestLogConnections(t *testing.T) {
	store := logsrv.New(logsrv.Options{})
	var conns atomic.Int64
	h := httptest.NewUnstartedServer(logsrv.Handler(store))
	h.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	h.Start()
	defer h.Close()
	c := logsvc.New(strings.TrimPrefix(h.URL, "http://"), pool.Options{})
	defer func() { _ = c.Close() }()
	const streams, calls, refusals = 10, 20, 3
	for i := range streams {
		stream := qm.StreamID(fmt.Sprint("claims-", i))
		for range calls {
			if _, err := c.Append(t.Context(), stream, [][]byte{[]byte("x")}); err != nil {
				t.Fatal(err)
			}
			if _, err := c.Read(t.Context(), stream, 1, 10, 0); err != nil {
				t.Fatal(err)
			}
		}
	}
	store.SetFaults(logsrv.Faults{Down: true})
	for range refusals {
		if _, err := c.Append(t.Context(), "claims-0", [][]byte{[]byte("x")}); !errors.Is(err, qm.ErrNotAppended) {
			t.Errorf("refused append: %v, want ErrNotAppended", err)
		}
	}
	for range calls {
		if _, err := c.Read(t.Context(), "claims-0", 1, 10, 0); err == nil {
			t.Error("read succeeded while the log is down")
		}
	}
	if got, limit := conns.Load(), int64(2*streams+refusals); got > limit {
		t.Errorf("%d connections, want at most %d", got, limit)
	}
	t.Logf("%d connections for %d appends and reads of %d streams, %d refused appends and %d refused reads", conns.Load(), 2*streams*calls, streams, refusals, calls)
}
