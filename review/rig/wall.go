package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["wall"] = wall }

// wall: a configuration makes a tenant isolated. Afterwards another tenant sends a prompt with a part that both share.
func wall(f *fleet, trouble bool) error {
	a, b := tenant{"tenant-a", "key-a", false}, tenant{"tenant-b", "key-b", false}
	f.configure(1, 4<<20, a, b)
	f.nameVersion()
	for i := range 2 {
		if _, err := f.addEngine(fmt.Sprintf("scribe-%d", i), "scribe", model); err != nil {
			return err
		}
	}
	r, err := f.addRouter()
	if err != nil {
		return err
	}
	send := func(id, key string) answer {
		return f.send(r, request{id: id, path: "/note/x", key: key, prefix: fmt.Sprintf("aa:900,%s:100", id), body: []byte("prompt"), deadline: 5 * time.Second})
	}
	for i := range 6 {
		if got := send(fmt.Sprintf("a%d", i), a.key); got.status != 200 {
			return fmt.Errorf("status %d", got.status)
		}
	}
	a.isolated = trouble
	f.configure(2, 4<<20, a, b)
	acknowledged := time.Now()
	time.Sleep(applyTime + contactTime)
	for i := range 12 {
		key := b.key
		if i%2 == 1 {
			key = a.key
		}
		if got := send(fmt.Sprintf("%s%d", strings.TrimPrefix(key, "key-"), 10+i), key); got.status != 200 {
			return fmt.Errorf("status %d", got.status)
		}
	}
	broken := 0
	for _, e := range f.eventsOf("reuses", "") {
		// Part, request that made it, its tenant, tenant that uses it.
		d := strings.Split(e.Detail, ",")
		if trouble && e.At.After(acknowledged.Add(applyTime)) && d[2] != d[3] && (d[2] == a.name || d[3] == a.name) {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: WALL, %d requests used KV cache that a request of another tenant made, one of the two isolated", errBroken, broken)
	}
	return nil
}
