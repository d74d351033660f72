// Package round plays one round of the soak: it starts a fleet and its callers, carries out the troubles of a seed, lets everything heal,
// and returns the promises that were broken.
package round

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/soak/audit"
	"quetzalmount.dev/quetzalmount/internal/soak/crowd"
	"quetzalmount.dev/quetzalmount/internal/soak/fleet"
	"quetzalmount.dev/quetzalmount/internal/soak/plan"
)

// Options describe a round.
type Options struct {
	Seed uint64
	// Bin holds the programs, Dir gets a folder with the logs of the round.
	Bin, Dir string
	// Length is the time in which troubles begin, Troubles their largest number.
	Length                           time.Duration
	Troubles                         int
	Routers, Engines, Desks, Callers int
}

// Result is what a round found.
type Result struct {
	Seed     uint64
	Requests int64
	Steps    int
	Broken   []string
	// Logs is the folder with the logs.
	Logs string
}

// String returns one line with the seed, and the first promise that was broken.
func (r Result) String() string {
	if len(r.Broken) == 0 {
		return fmt.Sprintf("seed %d: kept, %d requests, %d troubles", r.Seed, r.Requests, r.Steps)
	}
	return fmt.Sprintf("seed %d: BROKEN %d times, %d requests, %d troubles, logs in %s: %s", r.Seed, len(r.Broken), r.Requests, r.Steps, r.Logs, r.Broken[0])
}

const (
	// recovery is the time after the last trouble in which everything must be served again, and settled the time in which that is measured.
	recovery = 12 * time.Second
	settled  = 3 * time.Second
	// leastServed is the part of the requests that must be served then. Callers still meet connections that were silenced.
	leastServed = 0.95
	// lastEvents is the time in which the events of engines arrive.
	lastEvents = 300 * time.Millisecond
)

// Bounds are the promises of the deployment that the soak starts.
func Bounds() audit.Bounds {
	return audit.Bounds{
		Contact: 3 * time.Second, Apply: fleet.Apply, Back: 250 * time.Millisecond, Drain: fleet.Drain, RepeatRatio: 0.2, RepeatExtra: 50,
		RepeatWindow: 10 * time.Second,
	}
}

// Play plays one round. The error means that the soak itself failed, not that a promise was broken.
func Play(o Options) (Result, error) {
	steps := plan.New(o.Seed, o.Length, o.Troubles)
	res := Result{Seed: o.Seed, Steps: len(steps), Logs: filepath.Join(o.Dir, fmt.Sprint("seed-", o.Seed))}
	if err := os.MkdirAll(res.Logs, 0o755); err != nil {
		return res, errors.Wrap(err, "make log folder")
	}
	book := audit.New(Bounds())
	f, err := fleet.New(fleet.Options{Bin: o.Bin, Dir: res.Logs, Routers: o.Routers, Engines: o.Engines, Desks: o.Desks, Book: book})
	if err != nil {
		return res, errors.WithMessagef(err, "seed %d", o.Seed)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := crowd.New(ctx, f, book, o.Callers, o.Seed)
	err = play(f, steps, filepath.Join(res.Logs, "plan.log"))
	if err == nil {
		settle(f, callers, book)
	}
	cancel()
	callers.Wait()
	f.Close()
	time.Sleep(lastEvents)
	book.Finish()
	res.Requests, res.Broken = callers.Total(), book.Broken()
	if werr := os.WriteFile(filepath.Join(res.Logs, "broken.log"), []byte(strings.Join(res.Broken, "\n")), 0o644); werr != nil && err == nil {
		err = errors.Wrap(werr, "write what was broken")
	}
	if err == nil && len(res.Broken) == 0 {
		err = errors.Wrap(os.RemoveAll(res.Logs), "remove logs")
	}
	return res, errors.WithMessagef(err, "seed %d", o.Seed)
}

// play carries out the troubles, each at its time, and returns when all are over.
func play(f *fleet.Fleet, steps []plan.Step, log string) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var first error
	var lines strings.Builder
	began := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(began.Add(s.At)))
		wg.Go(func() {
			at := time.Now()
			err := f.Do(s)
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(&lines, "%s to %s %s %v\n", at.Format(time.RFC3339Nano), time.Now().Format(time.RFC3339Nano), s, err)
			if err != nil && first == nil {
				first = errors.WithMessage(err, s.String())
			}
		})
	}
	wg.Wait()
	if err := os.WriteFile(log, []byte(lines.String()), 0o644); err != nil {
		return errors.Wrap(err, "write plan")
	}
	return first
}

// settle waits until everything must be well again, and checks that it is.
func settle(f *fleet.Fleet, callers *crowd.Crowd, book *audit.Book) {
	time.Sleep(recovery)
	callers.Reset()
	time.Sleep(settled)
	if asked, served := callers.Served(); asked == 0 || float64(served) < leastServed*float64(asked) {
		book.Fail("recovery: %d of %d requests were served %v after the last trouble", served, asked, recovery)
	}
	if behind := f.Behind(); len(behind) > 0 {
		book.Fail("weights: %s", strings.Join(behind, ", "))
	}
	for _, r := range f.Ended() {
		book.Fail("exit: %s has ended by itself", r)
	}
}
