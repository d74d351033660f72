package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// chunks plays the case of DENIED: clients send bodies in chunks on connections that they keep. Without the trouble the bodies have a length.
func chunks(rec *recorder, trouble bool) (broken bool, err error) {
	const (
		engines, routers, perSecond = 3, 6, 240
		clients                     = 60
		answerBytes                 = 16 << 10
		lead, length                = 8 * time.Second, 25 * time.Second
		allowed, allowedShare       = 5, 500
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
	stop := make(chan struct{})
	defer close(stop)
	for i := range engines {
		p := newPlain(fmt.Sprintf("i-desk-%d", i+1), "order-desk", zones[i%3], 6, 15*time.Millisecond)
		p.answerBytes = answerBytes
		p.onArrival = func(a arrival) { rec.logf("ran %s at %s", a.id, a.engine) }
		go p.register(f.store, 1200*time.Millisecond, stop)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(lead)
	if trouble {
		rec.sayf("clients send bodies in chunks")
	} else {
		rec.sayf("clients send bodies with a length")
	}
	var mu sync.Mutex
	sent, denied, statuses := 0, 0, map[string]int{}
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for i := range clients {
		wg.Go(func() {
			c := &client{address: f.routers[i%routers].front}
			defer c.close()
			next := time.Now().Add(time.Duration(rand.Float64() * float64(time.Second)))
			for time.Now().Before(end) {
				time.Sleep(time.Until(next))
				// Two orders follow each other, as when a client has several to send.
				for range 2 {
					at := time.Now()
					q := request{
						id: newID(), method: http.MethodPost, host: "desk.example", path: "/order/1", key: "key-1", deadline: 1500 * time.Millisecond,
						body: strings.Repeat("cut ", 150), chunked: trouble,
					}
					a := c.do(q)
					logAnswer(rec, q, at, f.routers[i%routers].name, a)
					own := a.status >= 300 && a.status < 500 && a.header.Get("Quetzalmount-Response-Seal") == ""
					mu.Lock()
					sent++
					result := strconv.Itoa(a.status)
					if own {
						denied++
						result += " " + strings.TrimSpace(string(a.body))
					}
					statuses[result]++
					mu.Unlock()
				}
				next = next.Add(time.Duration(2 * float64(clients) / perSecond * float64(time.Second)))
			}
		})
	}
	wg.Wait()
	rec.sayf("answers: %v", statuses)
	rec.sayf("proper requests that the routers ended with a 4xx of their own: %d of %d, allowed %d", denied, sent, allowed+sent/allowedShare)
	return denied > allowed+sent/allowedShare, nil
}
