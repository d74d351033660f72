package logsvc

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
)

// TestAppendOutcome checks that a failed append returns ErrNotAppended exactly if it certainly had no effect.
func TestAppendOutcome(t *testing.T) {
	tests := []struct {
		name        string
		opts        logsrv.Options
		faults      logsrv.Faults
		appends     int // number of appends; the result of the last is checked
		notAppended bool
		wantErr     bool
		records     int
		noServer    bool
	}{
		{name: "appended", appends: 1, records: 2},
		{name: "answer lost", opts: logsrv.Options{Random: func() float64 { return 0 }}, faults: logsrv.Faults{LoseAnswers: 1}, appends: 1, records: 2, wantErr: true},
		{name: "outage", faults: logsrv.Faults{Down: true}, appends: 1, notAppended: true, wantErr: true},
		{name: "rate", opts: logsrv.Options{AppendsPerSecond: 0.001}, appends: 2, notAppended: true, wantErr: true, records: 2},
		{name: "no process", appends: 1, notAppended: true, wantErr: true, noServer: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := logsrv.New(tt.opts)
			s.SetFaults(tt.faults)
			h := httptest.NewServer(logsrv.Handler(s))
			defer h.Close()
			if tt.noServer {
				h.Close()
			}
			c := New(strings.TrimPrefix(h.URL, "http://"), pool.Options{})
			defer c.Close()
			var err error
			for range tt.appends {
				_, err = c.Append(context.Background(), "claims-00", [][]byte{[]byte("x"), {}})
			}
			if (err != nil) != tt.wantErr || errors.Is(err, qm.ErrNotAppended) != tt.notAppended {
				t.Errorf("Append() error = %v, want error %t, ErrNotAppended %t", err, tt.wantErr, tt.notAppended)
			}
			s.SetFaults(logsrv.Faults{})
			b, err := s.Read(context.Background(), "claims-00", 1, 10, 0)
			if err != nil || len(b.Records) != tt.records {
				t.Errorf("log has %d records, error %v, want %d", len(b.Records), err, tt.records)
			}
		})
	}
}

// TestRead checks that records are read unmodified, and that a long poll waits for a record.
func TestRead(t *testing.T) {
	s := logsrv.New(logsrv.Options{})
	h := httptest.NewServer(logsrv.Handler(s))
	defer h.Close()
	c := New(strings.TrimPrefix(h.URL, "http://"), pool.Options{})
	defer c.Close()
	ctx := context.Background()
	go func() {
		for _, d := range []string{"a", "b\x00\xff", ""} {
			_, _ = c.Append(ctx, "config", [][]byte{[]byte(d)})
		}
	}()
	var got []string
	for next := qm.Offset(1); next < 4; {
		b, err := c.Read(ctx, "config", next, 2, time.Hour)
		if err != nil || len(b.Records) == 0 {
			t.Fatalf("Read() = %+v, %v, want it to wait for a record", b, err)
		}
		for _, r := range b.Records {
			got = append(got, string(r.Data))
			next = r.Offset + 1
		}
	}
	if diff := cmp.Diff([]string{"a", "b\x00\xff", ""}, got); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
}

// FuzzDecodeBatch guards against responses that cause a panic or make the reader skip or repeat an offset.
func FuzzDecodeBatch(f *testing.F) {
	f.Add([]byte(`{"First":1,"Next":3,"Records":[{"Offset":1,"Data":"eA==","Time":5},{"Offset":2,"Data":"","Time":6}]}`), int64(1))
	f.Add([]byte(`{"First":5,"Next":6,"Records":[{"Offset":5,"Data":null}]}`), int64(2))
	f.Add([]byte(`{"First":1,"Next":9,"Records":[{"Offset":3},{"Offset":5}]}`), int64(3))
	f.Add([]byte(`{"First":1,"Next":1,"Records":null}`), int64(1))
	f.Fuzz(func(t *testing.T, data []byte, from int64) {
		b, err := decodeBatch(data, qm.Offset(from))
		if err != nil {
			return
		}
		want := max(qm.Offset(from), b.FirstOffset)
		for _, r := range b.Records {
			if r.Offset != want || r.Offset >= b.NextOffset || r.Offset < 1 {
				t.Fatalf("record has offset %d, want %d (next offset %d)", r.Offset, want, b.NextOffset)
			}
			want++
		}
	})
}

// TestReadAfterSilentOutage guards against a read that waits on a connection that went silent in an outage, although the log answers other calls
// again: an edit accepted after the outage would be in force only when that read times out.
func TestReadAfterSilentOutage(t *testing.T) {
	s := logsrv.New(logsrv.Options{})
	var silent atomic.Bool
	silenced := make(chan struct{})
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			<-r.Context().Done()
			return
		}
		if r.FormValue("wait") != "0" {
			<-silenced // nothing is answered on this connection any more
			<-r.Context().Done()
			return
		}
		logsrv.Handler(s).ServeHTTP(w, r)
	}))
	defer h.Close()
	defer h.CloseClientConnections() // Close waits for calls that were left open
	c := New(strings.TrimPrefix(h.URL, "http://"), pool.Options{})
	defer func() { _ = c.Close() }()
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(t.Context(), "config", 1, 10, time.Minute)
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	silent.Store(true)
	close(silenced)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if b, err := c.Read(ctx, "orders", 1, 10, 0); err == nil {
		t.Fatalf("Read() in the outage = %+v", b)
	}
	silent.Store(false)
	if _, err := c.Read(t.Context(), "orders", 1, 10, 0); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the read that waited has no error")
		}
	case <-time.After(5 * time.Second):
		t.Error("the read still waits after the log has answered another call")
	}
}

// TestAppendAfterOutage guards against ending an append because the log answers another call: it may have taken effect.
func TestAppendAfterOutage(t *testing.T) {
	s := logsrv.New(logsrv.Options{})
	var silent atomic.Bool
	release := make(chan struct{})
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			<-release
		case silent.Load():
			<-r.Context().Done()
			return
		}
		logsrv.Handler(s).ServeHTTP(w, r)
	}))
	defer h.Close()
	defer h.CloseClientConnections() // Close waits for calls that were left open
	c := New(strings.TrimPrefix(h.URL, "http://"), pool.Options{})
	defer func() { _ = c.Close() }()
	ended := make(chan error, 1)
	go func() {
		_, err := c.Append(t.Context(), "config", [][]byte{[]byte("x")})
		ended <- err
	}()
	silent.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _ = c.Read(ctx, "orders", 1, 10, 0)
	silent.Store(false)
	if _, err := c.Read(t.Context(), "orders", 1, 10, 0); err != nil {
		t.Fatal(err)
	}
	close(release)
	if err := <-ended; err != nil {
		t.Errorf("Append() = %v", err)
	}
}
