package front_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/entry/front"
	"quetzalmount.dev/quetzalmount/internal/infra/meter"
	"quetzalmount.dev/quetzalmount/internal/member/advice"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

var update = flag.Bool("update", false, "rewrite golden files")

const key = "team-a-key"

type completer func(ctx context.Context, c *qm.Completion, deliver func(qm.Chunk) error) error

func (f completer) Complete(ctx context.Context, c *qm.Completion, deliver func(qm.Chunk) error) error {
	return f(ctx, c, deliver)
}

// threeChunks is a completer that delivers three chunks.
func threeChunks(_ context.Context, _ *qm.Completion, deliver func(qm.Chunk) error) error {
	for i, text := range []string{"one ", "two ", "three"} {
		chunk := qm.Chunk{Number: int64(i), Text: text}
		if i == 2 {
			chunk.FinishReason, chunk.Usage = "stop", &qm.Usage{PromptTokens: 9, OutputTokens: 3, CachedTokens: 4}
		}
		if err := deliver(chunk); err != nil {
			return err
		}
	}
	return nil
}

type fakeCalls struct{ runs int }

func (c *fakeCalls) Run(_ context.Context, call *qm.Call) (qm.CallResult, error) {
	c.runs++
	return qm.CallResult{Operation: "op-1", Outcome: qm.OutcomeDone, Status: 200, Answer: call.Body}, nil
}

func (c *fakeCalls) Lookup(_ context.Context, _ qm.TeamID, _ *qm.Service, op qm.OperationID) (qm.CallResult, error) {
	return qm.CallResult{Operation: op, Outcome: qm.OutcomeUnknown}, nil
}

// admit refuses requests of the team "limited".
func admit(_ context.Context, t *qm.Team, _ qm.Cost) (qm.Grant, error) {
	if t.ID == "limited" {
		return nil, qm.Refuse(qm.CodeRateLimit, "admit", "Too many requests.").WithRetryAfter(time.Second)
	}
	return grant{}, nil
}

type grant struct{}

func (grant) Release(qm.Tokens) {}

func options() front.Options {
	return front.Options{
		Instance: "entry-1", DataCentre: "dub-a", MaxBodyBytes: 4096, DefaultOutputTokens: 16, RequestTimeout: 5 * time.Second,
		HeartbeatInterval: 2 * time.Second, WriteTimeout: time.Second,
	}
}

func config() *qm.Config {
	hash, limited := qm.KeyHash(sha256.Sum256([]byte(key))), qm.KeyHash(sha256.Sum256([]byte("limited-key")))
	return &qm.Config{
		Offset: 7,
		Teams: map[qm.TeamID]*qm.Team{
			"a":       {ID: "a", Key: hash, Weight: 1, Limits: qm.Limits{MaxPromptTokens: 100}},
			"limited": {ID: "limited", Key: limited, Weight: 1},
		},
		TeamsByKey: map[qm.KeyHash]qm.TeamID{hash: "a", limited: "limited"},
		Models:     map[qm.ModelID]*qm.Model{"m": {ID: "m", Group: "g", Version: "v1"}},
		Services:   map[qm.ServiceID]*qm.Service{"tally": {ID: "tally", RepeatableCalls: []string{"status"}}},
	}
}

func startServer(t *testing.T, c completer, opts front.Options) (*httptest.Server, *board.Board, *fakeCalls) {
	t.Helper()
	b, calls := board.New(), &fakeCalls{}
	b.Table.Store(config())
	m := meter.New("entry-1", 10)
	h, err := front.New(opts, front.Deps{
		Board: b, Completer: c, Calls: calls, Meter: m, Log: logr.Discard(),
		RunRepeatable: func(_ context.Context, call *qm.Call) (qm.CallResult, error) {
			return qm.CallResult{Operation: "r", Outcome: qm.OutcomeDone, Status: 200, Answer: call.Body}, nil
		},
		Advise: func(qm.TeamID, qm.DataCentre) advice.Answer {
			m := qm.Members{{Instance: "entry-2", Address: "127.0.0.1:2", DataCentre: "dub-a"}}
			return advice.Answer{Members: m, Validity: 10 * time.Second}
		},
		Admit: admit,
	})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.Close()
		_ = m.Close()
	})
	return s, b, calls
}

func send(t *testing.T, s *httptest.Server, method, path, body string, header ...string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := s.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	if res.Close {
		// The client removes the header from the response.
		res.Header.Set("Connection", "close")
	}
	return res.StatusCode, res.Header, string(out)
}

// volatile matches the parts of a response that differ between runs.
var volatile = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}|"created":\d+`)

func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	got = volatile.ReplaceAllString(got, "X")
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s differs (-want +got):\n%s", name, diff)
	}
}

const chatRequest = `{"model":"m","messages":[{"role":"system","content":"rules"},
	{"role":"user","content":[{"type":"text","text":"what is this line?"}]}],"temperature":0.5`

// TestCompletion guards against responses that don't conform to the completions protocol.
func TestCompletion(t *testing.T) {
	s, _, _ := startServer(t, threeChunks, options())
	status, _, body := send(t, s, "POST", "/v1/chat/completions", chatRequest+"}")
	if status != 200 {
		t.Fatalf("status = %d, body %s", status, body)
	}
	checkGolden(t, "whole.json", body)
	status, header, body := send(t, s, "POST", "/v1/chat/completions", chatRequest+`,"stream":true}`)
	if status != 200 || header.Get("Content-Type") != "text/event-stream" {
		t.Fatalf("status = %d, header %v, body %s", status, header, body)
	}
	checkGolden(t, "stream.txt", body)
}

// TestBrokenStream guards against an incomplete response that looks complete. An error after the first chunk must end the stream
// with an error event, and an error before it must have an HTTP status of its own.
func TestBrokenStream(t *testing.T) {
	fail := qm.Fail(qm.CodeEndpointFailed, "read stream", "scribe-1", errors.New("engine died"))
	s, _, _ := startServer(t, func(_ context.Context, _ *qm.Completion, deliver func(qm.Chunk) error) error {
		if err := deliver(qm.Chunk{Text: "one "}); err != nil {
			return err
		}
		return fail
	}, options())
	_, _, body := send(t, s, "POST", "/v1/chat/completions", chatRequest+`,"stream":true}`)
	checkGolden(t, "broken.txt", body)

	s, _, _ = startServer(t, func(context.Context, *qm.Completion, func(qm.Chunk) error) error {
		return qm.Refuse(qm.CodeRateLimit, "admit", "Too many requests; wait.").WithRetryAfter(1500 * time.Millisecond)
	}, options())
	status, header, body := send(t, s, "POST", "/v1/chat/completions", chatRequest+`,"stream":true}`)
	if status != 429 || header.Get("Retry-After") != "2" || !strings.Contains(body, `"Outcome":"NotRun"`) {
		t.Errorf("status = %d, Retry-After = %q, body %s", status, header.Get("Retry-After"), body)
	}
}

// TestHeartbeat guards against a stream that sends nothing until a late first token, on which callers time out.
func TestHeartbeat(t *testing.T) {
	opts := options()
	opts.HeartbeatInterval = 10 * time.Millisecond
	release := make(chan struct{})
	s, _, _ := startServer(t, func(ctx context.Context, c *qm.Completion, deliver func(qm.Chunk) error) error {
		<-release
		return threeChunks(ctx, c, deliver)
	}, opts)
	req, _ := http.NewRequest("POST", s.URL+"/v1/chat/completions", strings.NewReader(chatRequest+`,"stream":true}`))
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	res, err := s.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	first := make([]byte, len(": waiting\n\n"))
	if _, err := io.ReadFull(res.Body, first); err != nil || string(first) != ": waiting\n\n" {
		t.Fatalf("first event = %q, %v", first, err)
	}
	close(release)
	rest, err := io.ReadAll(res.Body)
	if err != nil || !bytes.HasSuffix(rest, []byte("data: [DONE]\n\n")) {
		t.Errorf("rest = %q, %v", rest, err)
	}
}

// TestCallerLeaves guards against completions that continue after their caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	s, _, _ := startServer(t, func(ctx context.Context, _ *qm.Completion, deliver func(qm.Chunk) error) error {
		defer close(ended)
		if err := deliver(qm.Chunk{Text: "one "}); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}, options())
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "POST", s.URL+"/v1/chat/completions", strings.NewReader(chatRequest+`,"stream":true}`))
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	res, err := s.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	cancel()
	<-ended // hangs if the completion continues
}

// TestBadInput guards against invalid requests that crash the handler, or get an error response that names neither the fault nor
// the outcome NotRun.
func TestBadInput(t *testing.T) {
	s, _, _ := startServer(t, threeChunks, options())
	long := strings.Repeat("x", 500)
	tests := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		contains                 string
	}{
		{"not JSON", "POST", "/v1/chat/completions", "{", nil, 400, "BadRequest"},
		{"empty body", "POST", "/v1/chat/completions", "", nil, 400, "BadRequest"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"m","messages":[]}`, nil, 400, "messages"},
		{"trailing data", "POST", "/v1/chat/completions", chatRequest + "}}", nil, 400, "BadRequest"},
		{"not UTF-8", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"` + "\xff" + `"}]}`, nil, 400, "UTF-8"},
		{"image part", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, "image_url"},
		{"oversized", "POST", "/v1/chat/completions", `{"model":"` + strings.Repeat("x", 5000) + `"}`, nil, 413, "4096 bytes"},
		{"long prompt", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"` + long + `"}]}`, nil, 413, "your team may send 100"},
		{"unknown model", "POST", "/v1/chat/completions", `{"model":"z","messages":[{"role":"user","content":"x"}]}`, nil, 404, "GET /v1/models"},
		{"media type", "POST", "/v1/chat/completions", chatRequest + "}", []string{"Content-Type", "text/plain"}, 400, "application/json"},
		{"wrong key", "POST", "/v1/chat/completions", chatRequest + "}", []string{"Authorization", "Bearer nobody"}, 401, "Unauthorized"},
		{"no key", "GET", "/v1/models", "", []string{"Authorization", ""}, 401, "Unauthorized"},
		{"unknown path", "GET", "/v2/models", "", nil, 404, "no such path"},
		{"wrong method", "GET", "/v1/chat/completions", "", nil, 405, "only POST"},
		{"unknown service", "POST", "/v1/services/none/calls/post", "{}", nil, 404, "no service"},
		{"empty key", "POST", "/v1/services/tally/calls/post", "{}", []string{"Idempotency-Key", ""}, 400, "Idempotency-Key"},
		{"long key", "POST", "/v1/services/tally/calls/post", "{}", []string{"Idempotency-Key", long}, 400, "Idempotency-Key"},
		{"bad timeout", "POST", "/v1/services/tally/calls/post", "{}", []string{"X-Timeout-Ms", "soon"}, 400, "X-Timeout-Ms"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, _, body := send(t, s, tt.method, tt.path, tt.body, tt.header...)
			if status != tt.status || !strings.Contains(body, tt.contains) || !strings.Contains(body, `"Outcome":"NotRun"`) {
				t.Errorf("status = %d, body %s; want %d, %q and NotRun", status, body, tt.status, tt.contains)
			}
		})
	}
}

// TestCalls guards against calls that aren't repeatable but are sent without a claim, and against calls that ignore the limits.
func TestCalls(t *testing.T) {
	s, _, calls := startServer(t, threeChunks, options())
	for path, runs := range map[string]int{"status": 0, "post": 1} {
		calls.runs = 0
		status, _, body := send(t, s, "POST", "/v1/services/tally/calls/"+path, `{"Amount":5}`, "Idempotency-Key", "k")
		var op struct{ Outcome, Operation string }
		if err := json.Unmarshal([]byte(body), &op); err != nil || status != 200 || op.Outcome != "Done" || calls.runs != runs {
			t.Errorf("%s: status = %d, body %s, %d claims, want %d", path, status, body, calls.runs, runs)
		}
	}
	calls.runs = 0
	status, _, body := send(t, s, "POST", "/v1/services/tally/calls/post", "{}", "Authorization", "Bearer limited-key")
	if status != 429 || calls.runs != 0 || !strings.Contains(body, `"NotRun"`) {
		t.Errorf("call above the limit: status = %d, body %s, %d claims", status, body, calls.runs)
	}
	status, _, body = send(t, s, "GET", "/v1/services/tally/operations/op-9", "")
	if status != 200 || !strings.Contains(body, `"Unknown"`) {
		t.Errorf("lookup: status = %d, body %s", status, body)
	}
}

// TestStates guards against an instance that reports readiness without a table, or keeps connections open while it stops.
func TestStates(t *testing.T) {
	s, b, _ := startServer(t, threeChunks, options())
	if status, _, body := send(t, s, "GET", "/readyz", ""); status != 200 || !strings.Contains(body, "Serving") {
		t.Errorf("serving: status = %d, body %s", status, body)
	}
	b.Leaving.Store(true)
	status, header, body := send(t, s, "GET", "/readyz", "")
	if status != 503 || !strings.Contains(body, "Leaving") || header.Get("Connection") != "close" {
		t.Errorf("leaving: status = %d, header %v, body %s", status, header, body)
	}
	h, err := front.New(options(), front.Deps{Board: board.New(), Log: logr.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	req := httptest.NewRequest("GET", "/v1/models", nil)
	req.Header.Set("Authorization", "Bearer "+key)
	h.ServeHTTP(w, req)
	if w.Code != 503 || w.Header().Get("Retry-After") == "" || !strings.Contains(w.Body.String(), `"NotRun"`) {
		t.Errorf("without a table: status = %d, body %s", w.Code, w.Body)
	}
}

// FuzzBody guards against bodies that make the handler panic, or fail without an outcome.
func FuzzBody(f *testing.F) {
	for _, seed := range []string{chatRequest + "}", "{", `{"model":"m","messages":[{"role":"user","content":null}]}`, "\xff\xfe"} {
		f.Add([]byte(seed))
	}
	b := board.New()
	b.Table.Store(config())
	h, err := front.New(options(), front.Deps{
		Board: b, Completer: completer(threeChunks), Calls: &fakeCalls{}, Meter: meter.New("entry-1", 1), Log: logr.Discard(),
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		req := httptest.NewRequest("POST", "/v1/chat/completions", bytes.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("Content-Type", "application/json")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		if w.Code != 200 && !strings.Contains(w.Body.String(), `"Outcome":"NotRun"`) {
			t.Errorf("status = %d, body %s", w.Code, w.Body)
		}
	})
}
