package engine_test

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/engine"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/standin/engsrv"
)

// start starts an engine on a loopback address.
func start(t *testing.T, o engsrv.Options) (*engsrv.Server, *qm.Endpoint) {
	t.Helper()
	if o.Model == "" {
		o.Model = "m"
	}
	s := engsrv.New(o)
	h := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		h.CloseClientConnections()
		_ = s.Close()
		h.Close()
	})
	return s, &qm.Endpoint{ID: "e", Address: strings.TrimPrefix(h.URL, "http://")}
}

func request(id qm.RequestID) *qm.EngineRequest {
	return &qm.EngineRequest{Request: id, Model: "m", Messages: []qm.Message{{Role: "user", Content: "prompt of " + string(id)}}, MaxTokens: 20}
}

// read reads r to its end and returns the text of the chunks.
func read(t *testing.T, r qm.ChunkReader) (string, error) {
	t.Helper()
	var text strings.Builder
	for {
		c, err := r.Next(context.Background())
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(c.Text)
	}
}

// TestStartResumeContinue checks that a stream that is resumed over a new connection or continued by another engine yields
// the same text as an uninterrupted one.
func TestStartResumeContinue(t *testing.T) {
	_, a := start(t, engsrv.Options{DecodePerToken: time.Millisecond})
	_, b := start(t, engsrv.Options{})
	c := engine.New(pool.Options{})
	defer c.Close()
	ctx := context.Background()
	req := request("r1")
	want := engsrv.AnswerText(req.Messages, req.MaxTokens)

	r, err := c.Start(ctx, a, req)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	var head string
	for range 5 {
		ch, err := r.Next(ctx)
		if err != nil {
			t.Fatal(err)
		}
		head += ch.Text
	}
	resumed, err := c.Resume(ctx, a, r.Incarnation(), req.Request, 5)
	if err != nil {
		t.Fatal(err)
	}
	defer resumed.Close()
	tail, err := read(t, resumed)
	if diff := cmp.Diff(want, head+tail); diff != "" || err != nil {
		t.Errorf("resumed stream: %v, (-want +got):\n%s", err, diff)
	}
	req.EmittedText, req.FirstChunk = head, 5
	continued, err := c.Start(ctx, b, req)
	if err != nil {
		t.Fatal(err)
	}
	defer continued.Close()
	tail, err = read(t, continued)
	if diff := cmp.Diff(want, head+tail); diff != "" || err != nil {
		t.Errorf("continued stream: %v, (-want +got):\n%s", err, diff)
	}
}

// TestDuplicateStart guards against an engine that runs a request twice if the request is sent again after its first response
// was lost.
func TestDuplicateStart(t *testing.T) {
	s, e := start(t, engsrv.Options{})
	c := engine.New(pool.Options{})
	defer c.Close()
	req := request("r1")
	whole := engsrv.AnswerText(req.Messages, req.MaxTokens)
	first := strings.Index(whole[1:], " ") + 1 // the first chunk's length
	for _, tt := range []struct {
		from int64
		want string
	}{{0, whole}, {0, whole}, {1, whole[first:]}} {
		req.FirstChunk, req.EmittedText = tt.from, whole[:first*int(tt.from)]
		r, err := c.Start(context.Background(), e, req)
		if err != nil {
			t.Fatal(err)
		}
		got, err := read(t, r)
		if diff := cmp.Diff(tt.want, got); diff != "" || err != nil || s.Stats().Requests != 1 {
			t.Errorf("from %d: %v, %d requests (-want +got):\n%s", tt.from, err, s.Stats().Requests, diff)
		}
		_ = r.Close()
	}
}
