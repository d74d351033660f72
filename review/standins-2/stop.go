package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
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
	var requests []stopRequest
	clientsQuit := make(chan struct{})
	for i := range clients {
		go func() {
			keep := ttl
			if i%staleShare == 0 {
				keep *= 3 // some clients keep an answer of the directory three times as long
			}
			c := &client{}
			defer c.close()
			var addresses []string
			var lookedUp time.Time
			time.Sleep(time.Duration(rand.Float64() * float64(5*time.Second)))
			for {
				select {
				case <-clientsQuit:
					return
				default:
				}
				if time.Since(lookedUp) >= keep {
					if found := lookUpOnce(f); len(found) > 0 {
						addresses, lookedUp = found, time.Now()
						if c.conn != nil && !contains(addresses, c.address) {
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
				q := request{
					id: newID(), method: http.MethodPost, host: "notes.example", path: "/note/x", key: "key-1", deadline: deadline, body: strings.Repeat("p", 1700),
					headers: map[string]string{
						"Quetzalmount-Model": "m0", "Quetzalmount-Token-Counts": "826," + strconv.Itoa(tokens),
						"Quetzalmount-Prompt-Prefix": "a1:119,b" + strconv.Itoa(i%40) + ":79,c" + strconv.Itoa(i) + ":628",
					},
				}
				s := stopRequest{id: q.id, router: names[c.address], at: time.Now()}
				s.answer = c.do(q)
				s.ended = time.Now()
				logAnswer(rec, q, s.at, s.router, s.answer)
				mu.Lock()
				requests = append(requests, s)
				mu.Unlock()
				if s.answer.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
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
	lost, results := 0, map[string]int{}
	for _, s := range requests {
		result := strconv.Itoa(s.answer.status)
		if s.answer.status != 0 && !s.answer.whole {
			result += " cut"
		}
		since := s.at.Sub(stoppedAt)
		if s.router != stopped.name || since < 0 || since > graceS {
			continue
		}
		results[result]++
		if since > exempt && arrived[s.id] != "" && !s.answer.whole && s.ended.Sub(s.at) < deadline-time.Second {
			lost++
			rec.logf("request %s, sent %d ms after SIGTERM, ran at %s and was cut %d ms after SIGTERM", s.id, since.Milliseconds(), arrived[s.id],
				s.ended.Sub(stoppedAt).Milliseconds())
		}
	}
	rec.sayf("answers of %s to requests that were sent after SIGTERM: %v", stopped.name, results)
	rec.sayf("of those sent later than %v after it, cut while their engine was at work: %d, allowed 0", exempt, lost)
	return lost > 0, nil
}

func contains(all []string, one string) bool {
	for _, a := range all {
		if a == one {
			return true
		}
	}
	return false
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
