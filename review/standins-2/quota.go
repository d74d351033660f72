package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// quota plays the case of QUOTA: all routers are killed at once and start again while teams ask for several times their quotas.
func quota(rec *recorder, trouble bool) (broken bool, err error) {
	const (
		engines, routers, perSecond = 6, 6, 800
		clients, teams              = 120, 4
		rate, burst, plainTokens    = 100000.0, 100000.0, 2000.0
		overage, slack              = 0.1, 110000.0
		window                      = 8 * time.Second
		lead, before, down, after   = 14 * time.Second, 12 * time.Second, 5 * time.Second, 20 * time.Second
	)
	zones := []string{"pa-nord", "ct-porto", "me-stretto", "ag-valle"}
	f, err := newFleet(routers, zones)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.values["bounds.quotaOverage"], f.values["bounds.quotaSlack"] = "0.1", "110000"
	var tenants []any
	for i := range teams {
		tenants = append(tenants, map[string]any{
			"name": "team-" + strconv.Itoa(i), "keys": []string{"key-" + strconv.Itoa(i)}, "priority": 1, "isolated": false, "ratePerS": rate, "burst": burst,
			"unit": "tokens", "plainTokens": int(plainTokens),
		})
	}
	f.store.putJSON("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "read", "host": "desk.example", "pathPrefix": "/read/", "kind": "idempotent", "timeoutMs": 2000, "sloMs": 300, "priority": 2,
			"service": "desk-app", "maxAttempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "desk-app", "healthPath": "/healthz", "maxConns": 520}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	})
	var mu sync.Mutex
	ran := map[string][]time.Time{}
	stop := make(chan struct{})
	defer close(stop)
	for i := range engines {
		p := newPlain(fmt.Sprintf("i-desk-%d", i+1), "desk-app", zones[i%len(zones)], 64, 10*time.Millisecond)
		p.onArrival = func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			ran[a.tenant] = append(ran[a.tenant], a.at)
			rec.logf("ran %s of %s at %s", a.id, a.tenant, a.engine)
		}
		go p.register(f.store, 1200*time.Millisecond, stop)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(lead)
	var refused, sent, other atomic.Int64
	var wg sync.WaitGroup
	quit := make(chan struct{})
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
				if next = next.Add(time.Duration(float64(clients) / perSecond * float64(time.Second))); next.Before(time.Now()) {
					next = time.Now()
				}
				sent.Add(1)
				at := time.Now()
				q := request{id: newID(), method: http.MethodGet, host: "desk.example", path: "/read/7", key: "key-" + strconv.Itoa(i/routers%teams), deadline: 2 * time.Second}
				a := c.do(q)
				logAnswer(rec, q, at, f.routers[i%routers].name, a)
				switch a.status {
				case http.StatusTooManyRequests:
					refused.Add(1)
				case http.StatusOK:
				default:
					other.Add(1)
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(before)
	if trouble {
		rec.sayf("all routers are killed")
		for _, r := range f.routers {
			r.kill()
		}
		time.Sleep(down)
		for _, r := range f.routers {
			if err := f.start(r); err != nil {
				return false, err
			}
		}
		rec.sayf("all routers are started")
	}
	time.Sleep(after)
	close(quit)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	allowed := ((rate*window.Seconds()+burst)*(1+overage) + slack) / plainTokens
	rec.sayf("sent %d, refused as beyond the quota %d, otherwise failed %d", sent.Load(), refused.Load(), other.Load())
	for i := range teams {
		team := "team-" + strconv.Itoa(i)
		worst, worstAt := busiest(ran[team], window)
		rec.sayf("%s: %d runs, %d of them in the worst window of %v, which ends at %.1f s; allowed %.0f", team, len(ran[team]), worst, window,
			worstAt.Sub(rec.start).Seconds(), allowed)
		broken = broken || float64(worst) > allowed
	}
	return broken, nil
}

// busiest returns the largest number of runs in a window, and when that window ends.
func busiest(ran []time.Time, window time.Duration) (most int, at time.Time) {
	sort.Slice(ran, func(i, j int) bool { return ran[i].Before(ran[j]) })
	first := 0
	for last := range ran {
		for ran[last].Sub(ran[first]) >= window {
			first++
		}
		if n := last - first + 1; n > most {
			most, at = n, ran[last]
		}
	}
	return most, at
}
