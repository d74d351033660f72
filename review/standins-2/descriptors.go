package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// crowdRequest is one request of the crowd.
type crowdRequest struct {
	id     string
	router int
	at     time.Time
	// kept is set if the connection had carried another request.
	kept bool
	// status is 0 if no answer began, whole is set if the answer was complete. ended is when the client knew.
	status int
	whole  bool
	ended  time.Time
}

// descriptors plays the case of LOST: one of two routers is lost, and the other one serves all clients until it has no descriptor left.
func descriptors(rec *recorder, trouble bool) (broken bool, err error) {
	const (
		engines, slots       = 36, 64
		clients, lookers     = 2100, 350
		tokens               = 13
		first, gap           = 550 * time.Millisecond, 300 * time.Millisecond
		deadline             = 15 * time.Second
		ramp, before, length = 12 * time.Second, 20 * time.Second, 60 * time.Second
	)
	zones := []string{"suva", "nadi", "lautoka"}
	f, err := newFleet(2, zones)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.values["limits.cpuShare"], f.values["limits.memoryMb"] = "0.192", "184"
	f.store.putJSON("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "note", "host": "notes.example", "pathPrefix": "/note/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 600, "gapAimMs": 400,
			"priority": 0, "service": "tab-models", "maxAttempts": 1, "public": false, "sticky": true, "canResume": false,
		}},
		"services": []any{map[string]any{
			"name": "tab-models", "healthPath": "/healthz", "maxConns": 760,
			"engine": map[string]any{"slots": slots, "kvCapacity": 114380, "models": []any{map[string]any{"name": "m0"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "team-1", "keys": []string{"key-1"}, "priority": 1, "isolated": false}},
	})
	stop := make(chan struct{})
	defer close(stop)
	var mu sync.Mutex
	arrived := map[string]string{}
	for i := range engines {
		m := newModel(fmt.Sprintf("i-model-%d", i+1), "tab-models", zones[i%3], "m0", slots, first, gap)
		m.onArrival = func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			arrived[a.id] = a.engine
		}
		go m.register(f.store, 1200*time.Millisecond, stop)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	quit := make(chan struct{})
	var exits atomic.Int64
	go f.probeReady(quit)
	go f.watchExits(rec, f.routers[1], &exits, quit)
	time.Sleep(8 * time.Second)
	// advice is the last answer of a directory.
	var advice atomic.Pointer[[]string]
	all := []string{f.routers[0].front, f.routers[1].front}
	advice.Store(&all)
	var wg sync.WaitGroup
	for i := range lookers {
		wg.Go(func() { lookUp(f, i, &advice, quit) })
	}
	var requests []crowdRequest
	for i := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(rand.Float64() * float64(ramp)))
			c := &client{}
			defer c.close()
			for {
				select {
				case <-quit:
					return
				default:
				}
				if c.conn == nil {
					addresses := *advice.Load()
					c.address = addresses[rand.IntN(len(addresses))]
				}
				q := crowdRequest{id: newID(), kept: c.conn != nil, at: time.Now()}
				if c.address == f.routers[1].front {
					q.router = 1
				}
				a := c.do(request{
					id: q.id, method: http.MethodPost, host: "notes.example", path: "/note/x", key: "key-1", deadline: deadline, body: strings.Repeat("p", 1700),
					headers: map[string]string{
						"Quetzalmount-Model": "m0", "Quetzalmount-Token-Counts": "826," + strconv.Itoa(tokens),
						"Quetzalmount-Prompt-Prefix": "a1:119,b" + strconv.Itoa(i%40) + ":79,c" + strconv.Itoa(i) + ":628",
					},
				})
				q.status, q.whole, q.ended = a.status, a.whole, time.Now()
				mu.Lock()
				requests = append(requests, q)
				if engine := arrived[q.id]; engine != "" || a.status != 0 {
					logAnswer(rec, request{id: q.id}, q.at, f.routers[q.router].name+", run at "+strconv.Quote(engine), a)
				}
				mu.Unlock()
				if a.status != http.StatusOK {
					c.close()
					time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(before)
	lostAt := time.Now()
	if trouble {
		rec.sayf("router front-1 is killed and stays away")
		f.routers[0].kill()
	}
	time.Sleep(length - before)
	end := time.Now()
	close(quit)
	mu.Lock()
	defer mu.Unlock()
	lost, statuses := 0, map[string]int{}
	for _, q := range requests {
		if q.ended.After(end) {
			continue
		}
		key := strconv.Itoa(q.status)
		if q.status == http.StatusOK && !q.whole {
			key = "200, cut"
		}
		statuses[fmt.Sprintf("router %d: %s", q.router+1, key)]++
		if q.router == 1 && q.at.After(lostAt.Add(-time.Second)) && q.status == 0 && q.kept && arrived[q.id] != "" && q.ended.Sub(q.at) < deadline-time.Second {
			lost++
			rec.logf("request %s, sent at %.3f on a kept connection, ran at %s, connection closed after %d ms without an answer", q.id,
				q.at.Sub(rec.start).Seconds(), arrived[q.id], q.ended.Sub(q.at).Milliseconds())
		}
	}
	rec.sayf("answers: %v", statuses)
	rec.sayf("exits of front-2, which nobody killed: %d", exits.Load())
	rec.sayf("requests that front-2 passed on from kept connections and closed without an answer: %d, allowed 3", lost)
	return lost > 3, nil
}

// probeReady asks the routers once a second whether they are ready, as the platform does.
func (f *fleet) probeReady(quit <-chan struct{}) {
	c := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-quit:
			return
		case <-time.After(time.Second):
		}
		for _, r := range f.routers {
			if resp, err := c.Get("http://" + r.ready + "/readyz"); err == nil {
				_ = resp.Body.Close()
			}
		}
	}
}

// watchExits starts a router again when it has ended by itself, and counts that.
func (f *fleet) watchExits(rec *recorder, r *router, exits *atomic.Int64, quit <-chan struct{}) {
	for {
		select {
		case <-quit:
			return
		case <-r.exited:
		}
		if r.killed.Load() {
			return
		}
		exits.Add(1)
		text, _ := os.ReadFile(filepath.Join(f.dir, r.name+".log"))
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		rec.sayf("router %s has ended by itself: %s, last line %.300s", r.name, r.cmd.ProcessState, lines[len(lines)-1])
		time.Sleep(300 * time.Millisecond)
		if f.start(r) != nil {
			return
		}
	}
}

// lookUp asks a directory for the addresses of the routers every two seconds, on a connection that it keeps.
func lookUp(f *fleet, i int, advice *atomic.Pointer[[]string], quit <-chan struct{}) {
	var c client
	defer c.close()
	at := i % len(f.routers)
	for {
		c.address = f.routers[at].directory
		a := c.do(request{id: newID(), method: http.MethodGet, host: "directory", path: "/lookup?name=notes.example&region=r&zone=suva", deadline: time.Second})
		var answer struct{ Addrs []string }
		if a.err == nil && json.Unmarshal(a.body, &answer) == nil && len(answer.Addrs) > 0 {
			advice.Store(&answer.Addrs)
		} else {
			c.close()
			at = (at + 1) % len(f.routers)
		}
		select {
		case <-quit:
			return
		case <-time.After(time.Duration(1500+rand.IntN(1000)) * time.Millisecond):
		}
	}
}
