package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["deadly"] = deadly }

// deadlyPart is the ID of the part that ends engines, deadlyTime the time for which requests with it come.
const (
	deadlyPart = "dead"
	deadlyTime = 20 * time.Second
)

// deadly: one first part of prompts, which requests of all tenants share, ends each engine that begins to write an answer on it.
func deadly(f *fleet, trouble bool) error {
	const (
		engines = 8
		tenants = 8
		// share of the requests of a class that have the deadly part.
		share = 0.03
		// interval is the time between two requests, 50 a second.
		interval = 20 * time.Millisecond
		// downTime is the time after which an engine is back.
		downTime = 2 * time.Second
	)
	var all []tenant
	for i := range tenants {
		all = append(all, tenant{fmt.Sprintf("tenant-%d", i), fmt.Sprintf("key-%d", i), false})
	}
	f.configure(1, 4<<20, all...)
	f.nameVersion()
	args := []string{"-pieces", "13", "-gap", "15ms", "-deadly", deadlyPart}
	stop := make(chan struct{})
	var keepers sync.WaitGroup
	for i := range engines {
		id := fmt.Sprintf("scribe-%d", i)
		e, err := f.addEngine(id, "scribe", model, args...)
		if err != nil {
			return err
		}
		keepers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-e.done:
				}
				time.Sleep(downTime)
				e.mu.Lock()
				e.gone = true
				e.mu.Unlock()
				if e, err = f.addEngine(id, "scribe", model, args...); err != nil {
					f.rec.add("engine %s isn't back: %v", id, err)
					return
				}
			}
		})
	}
	var routers []*router
	for range 2 {
		r, err := f.addRouter()
		if err != nil {
			return err
		}
		routers = append(routers, r)
	}
	var wg sync.WaitGroup
	began := time.Now()
	deadlySent := 0
	for i := 0; time.Since(began) < deadlyTime; i++ {
		t := i % tenants
		first := "a0"
		if trouble && float64(deadlySent) < share*float64(i) {
			first = deadlyPart
			deadlySent++
		}
		q := request{
			id: fmt.Sprintf("%s-%d", first, i), path: "/sort/x", key: all[t].key, prefix: fmt.Sprintf("%s:600,c%d:300,o%d:100", first, t, i),
			body: []byte("receipts"), deadline: 6 * time.Second,
		}
		wg.Go(func() { f.send(routers[i/tenants%len(routers)], q) })
		time.Sleep(interval)
	}
	wg.Wait()
	close(stop)
	keepers.Wait()
	crashes := f.eventsOf("crashes", "")
	f.rec.add("%d requests with the deadly part were sent, %d reached an engine and ended it", deadlySent, len(crashes))
	if len(crashes) < 5 {
		return nil
	}
	late := 0
	for _, c := range crashes {
		if c.At.After(crashes[4].At.Add(contactTime)) {
			late++
			f.rec.add("request %s reached engine %s %.1f s after the fifth crash", c.Request, c.Engine, c.At.Sub(crashes[4].At).Seconds())
		}
	}
	if late > 3 {
		return fmt.Errorf("%w: BUDGET, %d requests with a part that crashes engines reached engines later than %v after the fifth crash", errBroken, late, contactTime)
	}
	return nil
}
