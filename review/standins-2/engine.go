package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that an engine has read.
type arrival struct {
	id, engine string
	at         time.Time
	deadline   time.Duration
	tokens     int
	tenant     string
	notRun     bool
}

// plain is a process of a plain service.
type plain struct {
	id, service, zone, address string
	server                     *http.Server
	slots                      chan struct{}
	work                       time.Duration
	// lose returns whether the answer of a request that was run is lost by a reset.
	lose func() bool
	// onArrival is called with each request.
	onArrival func(arrival)

	mu       sync.Mutex
	sequence int
	born     int64
	// answerBytes is the size of an answer, 0 for a short text.
	answerBytes int
}

func newPlain(id, service, zone string, slots int, work time.Duration) *plain {
	p := &plain{
		id: id, service: service, zone: zone, slots: make(chan struct{}, slots), work: work, born: time.Now().UnixMilli(),
		lose: func() bool { return false }, onArrival: func(arrival) {},
	}
	p.address, p.server = serve(p)
	return p
}

// entry returns the next entry of the engine in the store.
func (p *plain) entry(state string) map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	return map[string]any{
		"service": p.service, "addr": p.address, "zone": p.zone, "version": "v1", "slots": cap(p.slots), "state": state, "coldLeftMs": 0,
		"sequence": p.sequence, "born": p.born,
	}
}

// register writes the engine's entry to the store until stop is closed.
func (p *plain) register(s *store, heartbeat time.Duration, stop <-chan struct{}) {
	for {
		s.putJSON("keyed.servers", p.id, p.entry("ready"))
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// ServeHTTP implements http.Handler.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" || r.URL.Path == "/report" {
		w.Header().Set("Quetzalmount-Instance-Id", p.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Quetzalmount-Attempt-Id")
	w.Header().Set("Quetzalmount-Attempt-Id", id)
	if want := r.Header.Get("Quetzalmount-Expect-Instance"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("Quetzalmount-Deadline-Ms")) // absent: 0
	p.onArrival(arrival{
		id: id, engine: p.id, at: time.Now(), deadline: time.Duration(ms) * time.Millisecond, tenant: r.Header.Get("Quetzalmount-Tenant"),
	})
	p.slots <- struct{}{}
	time.Sleep(time.Duration(float64(p.work) * (0.75 + rand.Float64()/2)))
	<-p.slots
	if p.lose() {
		reset(w)
		return
	}
	w.Header().Set("Quetzalmount-Response-Seal", "seal-"+p.id+"-"+id)
	if p.answerBytes > 0 {
		_, _ = w.Write(bytes.Repeat([]byte{'a'}, p.answerBytes))
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s by %s", r.Method, r.RequestURI, p.id)
}

// reset resets the connection of a response.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
