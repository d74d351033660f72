package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// drain plays the case of DRAIN: an engine leaves, and another writer puts an entry without all fields under its ID.
func drain(rec *recorder, trouble bool) (broken bool, err error) {
	const (
		engines, routers, perSecond = 3, 6, 120
		clients                     = 30
		heartbeat, drainTime        = 1200 * time.Millisecond, 2 * time.Second
		lead, before                = 8 * time.Second, 4 * time.Second
		oddAfter, served, after     = 4900 * time.Millisecond, 6 * time.Second, 3 * time.Second
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
			"name": "order", "host": "desk.example", "pathPrefix": "/order/", "kind": "non_idempotent", "timeoutMs": 800, "sloMs": 150, "priority": 2,
			"service": "order-desk", "maxAttempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "order-desk", "healthPath": "/healthz", "maxConns": 96}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "team-1", "keys": []string{"key-1"}, "priority": 1, "isolated": false}},
	})
	var mu sync.Mutex
	var arrivals []arrival
	stop := make(chan struct{})
	defer close(stop)
	var all []*plain
	for i := range engines {
		p := newPlain(fmt.Sprintf("i-desk-%d", i+1), "order-desk", zones[i%3], 6, 60*time.Millisecond)
		p.onArrival = func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, a)
			rec.logf("ran %s at %s", a.id, a.engine)
		}
		all = append(all, p)
		if i > 0 {
			go p.register(f.store, heartbeat, stop)
		}
	}
	leaving := all[0]
	f.store.putJSON("keyed.servers", leaving.id, leaving.entry("ready"))
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(lead)
	var wg sync.WaitGroup
	quit := make(chan struct{})
	statuses := map[int]int{}
	for i := range clients {
		wg.Go(func() {
			c := &client{address: f.routers[i%routers].front}
			defer c.close()
			next := time.Now().Add(time.Duration(rand.Float64() * float64(time.Second)))
			for {
				select {
				case <-quit:
					return
				case <-time.After(time.Until(next)):
				}
				next = next.Add(time.Duration(float64(clients) / perSecond * float64(time.Second)))
				at := time.Now()
				q := request{
					id: newID(), method: http.MethodPost, host: "desk.example", path: "/order/1", key: "key-1", deadline: 1500 * time.Millisecond, body: "cut",
				}
				a := c.do(q)
				logAnswer(rec, q, at, f.routers[i%routers].name, a)
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(before)
	leavingAt := time.Now()
	f.store.putJSON("keyed.servers", leaving.id, leaving.entry("draining"))
	rec.sayf("engine %s reports that it is draining, and the store has accepted that", leaving.id)
	odd := leavingAt.Add(oddAfter)
	written := false
	for beat := leavingAt.Add(heartbeat); time.Since(leavingAt) < served; {
		if trouble && !written && time.Now().After(odd) {
			written = true
			// The entry of another writer lacks the field "born".
			entry := leaving.entry("ready")
			delete(entry, "born")
			f.store.putJSON("keyed.servers", leaving.id, entry)
			rec.sayf("another writer puts an entry with the key %s, state ready and no field born, %d ms after the engine's report", leaving.id,
				time.Since(leavingAt).Milliseconds())
		}
		if time.Now().After(beat) {
			beat = beat.Add(heartbeat)
			f.store.putJSON("keyed.servers", leaving.id, leaving.entry("draining"))
			rec.logf("engine %s writes its entry, draining", leaving.id)
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.store.put("keyed.servers", leaving.id, nil)
	_ = leaving.server.Close()
	rec.sayf("engine %s has ended, %.1f s after its report", leaving.id, time.Since(leavingAt).Seconds())
	time.Sleep(after)
	close(quit)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.sayf("statuses %v; orders that ran at %s when it ended and are lost: %d", statuses, leaving.id, statuses[http.StatusBadGateway])
	return countLate(rec, arrivals, leaving.id, leavingAt, drainTime) > 0, nil
}

// countLate returns the number of requests that reached an engine later than drainTime after it reported that it is draining.
func countLate(rec *recorder, arrivals []arrival, engine string, reportedAt time.Time, drainTime time.Duration) int {
	late := 0
	for _, a := range arrivals {
		if after := a.at.Sub(reportedAt); a.engine == engine && after > drainTime {
			late++
			rec.logf("request %s runs at %s, %d ms after the report", a.id, a.engine, after.Milliseconds())
		}
	}
	rec.sayf("of %d requests, those that reached %s later than %v after its report: %d, allowed 0", len(arrivals), engine, drainTime, late)
	return late
}
