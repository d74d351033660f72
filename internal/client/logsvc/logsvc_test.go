package logsvc

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
)

// TestAppendOutcome guards against an append reported as without effect although the record is in the log, and against
// refused appends that leave their outcome open.
func TestAppendOutcome(t *testing.T) {
	tests := []struct {
		name     string
		opts     logsrv.Options
		faults   logsrv.Faults
		appends  int // the last one is looked at
		none     bool
		refused  bool
		records  int
		noServer bool
	}{
		{name: "taken", appends: 1, records: 2},
		{name: "answer lost", opts: logsrv.Options{Random: func() float64 { return 0 }}, faults: logsrv.Faults{LoseAnswers: 1}, appends: 1, records: 2, refused: true},
		{name: "outage", faults: logsrv.Faults{Down: true}, appends: 1, none: true, refused: true},
		{name: "rate", opts: logsrv.Options{AppendsPerSecond: 0.001}, appends: 2, none: true, refused: true, records: 2},
		{name: "no process", appends: 1, none: true, refused: true, noServer: true},
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
			if (err != nil) != tt.refused || errors.Is(err, qm.ErrNotAppended) != tt.none {
				t.Errorf("Append() error = %v, want one: %t, without effect: %t", err, tt.refused, tt.none)
			}
			s.SetFaults(logsrv.Faults{})
			b, err := s.Read(context.Background(), "claims-00", 1, 10, 0)
			if err != nil || len(b.Records) != tt.records {
				t.Errorf("log holds %d records, %v, want %d", len(b.Records), err, tt.records)
			}
		})
	}
}

// TestRead guards against records that change on the way and against a long poll that answers without waiting.
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

// FuzzDecodeBatch guards against answers of the log service that crash the reader or make it skip or repeat an offset.
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
				t.Fatalf("record %d, want %d below %d", r.Offset, want, b.NextOffset)
			}
			want++
		}
	})
}
