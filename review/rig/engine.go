package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engineOptions are the settings of an engine process.
type engineOptions struct {
	id, service, zone, model string
	// pieces is the number of events of a stream, gap the time between two of them and the time that a plain answer takes.
	pieces int
	gap    time.Duration
	// unframed makes answers have neither a length nor chunks, so that they end with their connection.
	unframed bool
	// deadly is the ID of a part of a prompt that ends the process as it begins to write an answer on it.
	deadly string
}

// engineEvent is a line that an engine process prints.
type engineEvent struct {
	At      time.Time
	Engine  string
	Kind    string
	Request string `json:",omitempty"`
	Detail  string `json:",omitempty"`
}

// cachedPart says which request made a cached part of a prompt.
type cachedPart struct{ request, tenant string }

// engine is a stand-in of a model engine, or of a process of a plain service if it has no model.
type engine struct {
	opts engineOptions
	addr string

	mu    sync.Mutex
	out   *json.Encoder
	cache map[string]cachedPart
}

func (e *engine) emit(kind, request, format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.out.Encode(engineEvent{time.Now(), e.opts.id, kind, request, fmt.Sprintf(format, args...)})
}

// runEngine is the main function of an engine process. It prints its address first, and then its events.
func runEngine(args []string) error {
	var o engineOptions
	f := flag.NewFlagSet("engine", flag.ContinueOnError)
	f.StringVar(&o.id, "id", "", "ID")
	f.StringVar(&o.service, "service", "", "service")
	f.StringVar(&o.zone, "zone", "z", "zone")
	f.StringVar(&o.model, "model", "", "model, empty for a plain service")
	f.IntVar(&o.pieces, "pieces", 10, "events of a stream")
	f.DurationVar(&o.gap, "gap", 20*time.Millisecond, "time between events, or of a plain answer")
	f.StringVar(&o.deadly, "deadly", "", "part that ends the process")
	f.BoolVar(&o.unframed, "unframed", false, "answers end with their connection")
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &engine{opts: o, addr: l.Addr().String(), out: json.NewEncoder(os.Stdout), cache: map[string]cachedPart{}}
	e.emit("listens", "", "%s", e.addr)
	// The process ends with its parent, whose end of the pipe is closed then.
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	return http.Serve(l, e)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		answerJSON(w, map[string]any{
			"stage": "unified", "models": []map[string]any{{"name": e.opts.model, "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
			"waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 100000, "handles": 0,
		})
	case "/kv-events":
		time.Sleep(200 * time.Millisecond)
		answerJSON(w, map[string]any{"epoch": 1, "nextToken": 0, "lost": false, "events": [][]any{}})
	default:
		e.serve(w, r)
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Quetzalmount-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		e.emit("broken", id, "%v", err)
		return
	}
	h := w.Header()
	h.Set("Quetzalmount-Attempt-Id", id)
	e.emit("arrives", id, "%s %s tenant %q salt %q, %d bytes", r.Method, r.RequestURI, r.Header.Get("Quetzalmount-Tenant"),
		r.Header.Get("Quetzalmount-Cache-Salt"), len(body))
	if want := r.Header.Get("Quetzalmount-Expect-Instance"); want != "" && want != e.opts.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.opts.deadly != "" && strings.Contains(r.Header.Get("Quetzalmount-Prompt-Prefix"), e.opts.deadly+":") {
		e.emit("crashes", id, "tenant %q", r.Header.Get("Quetzalmount-Tenant"))
		time.Sleep(e.opts.gap)
		os.Exit(3)
	}
	e.emit("runs", id, "")
	e.useCache(r, id)
	h.Set("Quetzalmount-Response-Seal", "seal."+e.opts.id)
	if e.opts.model == "" {
		time.Sleep(e.opts.gap)
		_, _ = fmt.Fprintf(w, "answer to %s", id)
		e.emit("ends", id, "")
		return
	}
	h.Set("Quetzalmount-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	e.stream(w, r, id)
}

// stream sends one event per piece, from the one after Last-Event-Id on.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent: 0
	write := func(text string) error {
		_, err := io.WriteString(w, text)
		w.(http.Flusher).Flush()
		return err
	}
	if e.opts.unframed {
		c, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			e.emit("broken", id, "%v", err)
			return
		}
		defer func() { _ = c.Close() }()
		writeHead(buf.Writer, w.Header())
		write = func(text string) error {
			_, _ = buf.WriteString(text)
			return buf.Flush()
		}
	}
	for i := from + 1; i <= e.opts.pieces; i++ {
		time.Sleep(e.opts.gap)
		if err := write(fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", i, i, e.opts.pieces)); err != nil {
			e.emit("stopped", id, "at piece %d", i)
			return
		}
	}
	e.emit("ends", id, "%d pieces from %d", e.opts.pieces, from+1)
}

func writeHead(w *bufio.Writer, h http.Header) {
	_, _ = w.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = h.Write(w)
	_, _ = w.WriteString("\r\n")
}

// useCache looks the parts of the prompt up under the salt of the request, reports those that another request made, and keeps the others.
func (e *engine) useCache(r *http.Request, id string) {
	salt, tenant := r.Header.Get("Quetzalmount-Cache-Salt"), r.Header.Get("Quetzalmount-Tenant")
	prefix := r.Header.Get("Quetzalmount-Prompt-Prefix")
	if prefix == "" {
		return
	}
	e.mu.Lock()
	var used []string
	for _, part := range strings.Split(prefix, ",") {
		name, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		key := r.Header.Get("Quetzalmount-Model") + "\n" + salt + "\n" + name
		if by, ok := e.cache[key]; ok {
			used = append(used, fmt.Sprintf("%s,%s,%s", name, by.request, by.tenant))
			continue
		}
		e.cache[key] = cachedPart{id, tenant}
	}
	e.mu.Unlock()
	for _, u := range used {
		e.emit("reuses", id, "%s,%s", u, tenant)
	}
}
