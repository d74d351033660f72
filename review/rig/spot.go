package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["spot"] = spot }

// spot: one of four engines says that it leaves, and is gone two seconds later, while it sends streams that end with their connection.
func spot(f *fleet, trouble bool) error {
	const pieces = 40
	f.configure(1, 4<<20, tenant{"t", "key-t", false})
	f.nameVersion()
	for i := range 4 {
		if _, err := f.addEngine(fmt.Sprintf("scribe-%d", i), "scribe", model, "-pieces", fmt.Sprint(pieces), "-gap", "100ms", "-unframed"); err != nil {
			return err
		}
	}
	r, err := f.addRouter()
	if err != nil {
		return err
	}
	const requests = 24
	answers := make([]answer, requests)
	var wg sync.WaitGroup
	for i := range requests {
		path := "/note/x"
		if i%2 == 1 {
			path = "/sort/x"
		}
		wg.Go(func() {
			answers[i] = f.send(r, request{
				id: fmt.Sprintf("r%02d", i), path: path, key: "key-t", prefix: fmt.Sprintf("a%02d:900,b%02d:100", i, i), body: []byte("prompt"), deadline: 14 * time.Second,
			})
		})
	}
	time.Sleep(500 * time.Millisecond)
	// The engine with most of the streams leaves.
	var leaving *engineProc
	most := -1
	for _, e := range f.engines {
		if n := len(f.eventsOf("runs", e.id)); n > most {
			leaving, most = e, n
		}
	}
	f.setState(leaving, "draining")
	time.Sleep(2 * time.Second)
	if trouble {
		f.rec.add("engine %s is gone (SIGKILL), two seconds after its notice", leaving.id)
		leaving.signal(syscall.SIGKILL)
	}
	wg.Wait()
	short := 0
	for i, a := range answers {
		if n := strings.Count(a.body, "\n\n"); a.status == 200 && a.err == nil && n != pieces {
			short++
			f.rec.add("request r%02d: the stream ended as complete after %d of %d pieces", i, n, pieces)
		}
	}
	if short > 0 {
		return fmt.Errorf("%w: ORDER, %d of %d streams ended as complete before their last piece", errBroken, short, requests)
	}
	return nil
}
