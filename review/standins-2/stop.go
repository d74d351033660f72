package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stopRequest is a stream that a client asked for.
type stopRequest struct {
	id, router string
	at, ended  time.Time
	answer     answer
}

// stop plays the case of LOST around planned work: a router is stopped with SIGTERM while streams run that are on time.
func stop(rec *recorder, trouble bool) (broken bool, err error) {
	const (
		routers, engines, slots = 3, 4, 128
		clients, tokens         = 240, 73
		// A piece of 4,096 prompt tokens takes 55 ms at 74.8 tokens a millisecond, a step 4.84 ms and more.
		first, gap      = 500 * time.Millisecond, 65 * time.Millisecond
		deadline        = 15 * time.Second
		graceS          = 8 * time.Second
		exempt          = 3 * time.Second
		lead, before    = 8 * time.Second, 16 * time.Second
		after           = 14 * time.Second
		ttl, staleShare = 2 * time.Second, 3
	)
	zones := []string{"suva", "nadi", "lautoka"}
	f, err := newFleet(routers, zones)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.putJSON("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "note", "host": "notes.example", "pathPrefix": "/note/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 500, "gapAimMs": 400,
			"priority": 0, "service": "tab-models", "maxAttempts": 2, "public": false, "sticky": true, "canResume": true,
		}},
		"services": []any{map[string]any{
			"name": "tab-models", "healthPath": "/healthz", "maxConns": 610,
			"engine": map[string]any{"slots": slots, "kvCapacity": 149553, "models": []any{map[string]any{"name": "m0"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "team-1", "keys": []string{"key-1"}, "priority": 1, "isolated": false}},
	})
	quit := make(chan struct{})
	defer close(quit)
	var mu sync.Mutex
	arrived := map[string]string{}
	for i := range engines {
		m := newModel(fmt.Sprintf("i-model-%d", i+1), "tab-models", zones[i%3], "m0", slots, first, gap)
		m.onArrival = func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			arrived[a.id] = a.engine
			rec.logf("ran %s at %s", a.id, a.engine)
		}
		go m.register(f.store, 1200*time.Millisecond, quit)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(lead)
	names := map[string]string{}
	for _, r := range f.routers {
		names[r.front] = r.name
	}
	c := &stopClients{fleet: f, rec: rec, names: names, ttl: ttl, staleShare: staleShare, tokens: tokens, deadline: deadline}
	clientsQuit := make(chan struct{})
	for i := range clients {
		go c.run(i, clientsQuit)
	}
	time.Sleep(before)
	stopped := f.routers[0]
	stoppedAt := time.Now()
	if trouble {
		rec.sayf("router %s gets SIGTERM", stopped.name)
		_ = stopped.cmd.Process.Signal(syscall.SIGTERM)
		go func() {
			select {
			case <-stopped.exited:
			case <-time.After(graceS):
				stopped.kill()
			}
			rec.sayf("router %s has ended %.1f s after SIGTERM and is started again", stopped.name, time.Since(stoppedAt).Seconds())
			time.Sleep(300 * time.Millisecond)
			_ = f.start(stopped)
		}()
	}
	time.Sleep(after)
	close(clientsQuit)
	mu.Lock()
	defer mu.Unlock()
	lost := c.countLost(stopped.name, stoppedAt, graceS, exempt, arrived)
	rec.sayf("of those sent later than %v after it, cut while their engine was at work: %d, allowed 0", exempt, lost)
	return lost > 0, nil
}

// stopClients are the clients of the case and what they got.
type stopClients struct {
	fleet *fleet
	rec   *recorder
	// names holds the routers' names by address.
	names map[string]string
	// ttl is the time for which an answer of the directory is kept, by one client in staleShare three times as long.
	ttl        time.Duration
	staleShare int
	tokens     int
	deadline   time.Duration

	mu       sync.Mutex
	requests []stopRequest
}

// run sends one stream after the other until quit is closed.
func (s *stopClients) run(i int, quit <-chan struct{}) {
	keep := s.ttl
	if i%s.staleShare == 0 {
		keep *= 3
	}
	c := &client{}
	defer c.close()
	var addresses []string
	var lookedUp time.Time
	time.Sleep(time.Duration(rand.Float64() * float64(5*time.Second)))
	for {
		select {
		case <-quit:
			return
		default:
		}
		if time.Since(lookedUp) >= keep {
			if found := lookUpOnce(s.fleet); len(found) > 0 {
				addresses, lookedUp = found, time.Now()
				if c.conn != nil && !slices.Contains(addresses, c.address) {
					c.close()
				}
			}
		}
		if len(addresses) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if c.conn == nil {
			c.address = addresses[rand.IntN(len(addresses))]
		}
		if s.send(c, i) != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// send sends one stream and returns the status of its answer.
func (s *stopClients) send(c *client, i int) int {
	q := request{
		id: newID(), method: http.MethodPost, host: "notes.example", path: "/note/x", key: "key-1", deadline: s.deadline, body: strings.Repeat("p", 1700),
		headers: map[string]string{
			"Quetzalmount-Model": "m0", "Quetzalmount-Token-Counts": "826," + strconv.Itoa(s.tokens),
			"Quetzalmount-Prompt-Prefix": "a1:119,b" + strconv.Itoa(i%40) + ":79,c" + strconv.Itoa(i) + ":628",
		},
	}
	out := stopRequest{id: q.id, router: s.names[c.address], at: time.Now()}
	out.answer = c.do(q)
	out.ended = time.Now()
	logAnswer(s.rec, q, out.at, out.router, out.answer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, out)
	return out.answer.status
}

// countLost returns the number of requests to a router, sent between exempt and grace after it was stopped, that were cut while an engine ran them.
func (s *stopClients) countLost(router string, stoppedAt time.Time, grace, exempt time.Duration, arrived map[string]string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost, results := 0, map[string]int{}
	for _, q := range s.requests {
		since := q.at.Sub(stoppedAt)
		if q.router != router || since < 0 || since > grace {
			continue
		}
		result := strconv.Itoa(q.answer.status)
		if q.answer.status != 0 && !q.answer.whole {
			result += " cut"
		}
		results[result]++
		if since > exempt && arrived[q.id] != "" && !q.answer.whole && q.ended.Sub(q.at) < s.deadline-time.Second {
			lost++
			s.rec.logf("request %s, sent %d ms after SIGTERM, ran at %s and was cut %d ms after SIGTERM", q.id, since.Milliseconds(), arrived[q.id],
				q.ended.Sub(stoppedAt).Milliseconds())
		}
	}
	s.rec.sayf("answers of %s to requests that were sent after SIGTERM: %v", router, results)
	return lost
}

// lookUpOnce asks the directories in turn for the addresses of the routers.
func lookUpOnce(f *fleet) []string {
	for _, i := range rand.Perm(len(f.routers)) {
		c := client{address: f.routers[i].directory}
		a := c.do(request{id: newID(), method: http.MethodGet, host: "directory", path: "/lookup?name=notes.example&region=r&zone=suva", deadline: time.Second})
		c.close()
		var answer struct{ Addrs []string }
		if a.err == nil && json.Unmarshal(a.body, &answer) == nil && len(answer.Addrs) > 0 {
			return answer.Addrs
		}
	}
	return nil
}
