package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// model is a model engine whose streams have one event for each token.
type model struct {
	id, service, zone, name, address string
	slots                            int
	// first is the time to the first event, gap that between two events.
	first, gap time.Duration
	// onArrival is called with each request that the engine takes.
	onArrival func(arrival)

	mu       sync.Mutex
	state    string
	sequence int
	born     int64
	weights  int
}

func newModel(id, service, zone, name string, slots int, first, gap time.Duration) *model {
	m := &model{
		id: id, service: service, zone: zone, name: name, slots: slots, first: first, gap: gap, state: "ready", born: time.Now().UnixMilli(), weights: 1,
		onArrival: func(arrival) {},
	}
	m.address, _ = serve(m)
	return m
}

// setState sets the state that the engine's entries name.
func (m *model) setState(state string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
}

// entry returns the next entry of the engine in the store.
func (m *model) entry() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	return map[string]any{
		"service": m.service, "addr": m.address, "zone": m.zone, "version": "v1", "slots": m.slots, "state": m.state, "coldLeftMs": 0,
		"sequence": m.sequence, "born": m.born, "stage": "unified",
		"models": []any{map[string]any{"name": m.name, "version": m.weights, "adapters": []string{}}},
	}
}

// register writes the engine's entry to the store until stop is closed.
func (m *model) register(s *store, heartbeat time.Duration, stop <-chan struct{}) {
	for {
		s.putJSON("keyed.servers", m.id, m.entry())
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// ServeHTTP implements http.Handler.
func (m *model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Quetzalmount-Instance-Id", m.id)
		return
	case "/report":
		writeJSON(w, map[string]any{
			"stage": "unified", "models": []any{map[string]any{"name": m.name, "version": m.weights, "adapters": []string{}}}, "busy": false,
			"sequence": 0, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 149553, "handles": 0, "born": m.born,
		})
		return
	case "/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms")) // absent: 0
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		writeJSON(w, map[string]any{"epoch": m.born, "nextToken": 0, "lost": false, "events": []any{}, "born": m.born})
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	h := r.Header
	id := h.Get("Quetzalmount-Attempt-Id")
	w.Header().Set("Quetzalmount-Attempt-Id", id)
	version := h.Get("Quetzalmount-Expect-Version")
	if want := h.Get("Quetzalmount-Expect-Instance"); want != "" && want != m.id || version != "" && version != strconv.Itoa(m.weights) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.onArrival(arrival{id: id, engine: m.id, at: time.Now(), tenant: h.Get("Quetzalmount-Tenant")})
	_, out, _ := strings.Cut(h.Get("Quetzalmount-Token-Counts"), ",")
	n, _ := strconv.Atoi(out)
	last, _ := strconv.Atoi(h.Get("Last-Event-Id")) // absent: 0
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Quetzalmount-Response-Seal", "seal-"+m.id+"-"+id)
	w.Header().Set("Quetzalmount-Weight-Versions", strconv.Itoa(m.weights))
	wait := m.first
	for i := last + 1; i <= n; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(wait):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", i, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		wait = m.gap
	}
}
