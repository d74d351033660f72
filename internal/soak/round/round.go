// Package round runs one round of the soak test: it starts a fleet and its callers, injects the faults of a seed, lets the fleet recover,
// and returns the guarantees that were violated.
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
	// Bin is the directory of the programs, Dir that in which the round creates its log directory.
	Bin, Dir string
	// Duration is the time within which faults begin. MaxFaults limits their number; a series of the same fault counts once.
	Duration  time.Duration
	MaxFaults int
	// Overload adds a time in which the engines refuse most requests.
	Overload bool
	// Reconfigure makes configurations change everything that an operator may change, and adds such changes.
	Reconfigure bool
	// Silence adds times in which engines pause and go on.
	Silence bool
	// Restore adds returns of the store from a copy.
	Restore                                   bool
	Routers, Engines, PlainProcesses, Callers int
}

// Result is the result of a round.
type Result struct {
	Seed       uint64
	Requests   int64
	Faults     int
	Violations []string
	// Logs is the log directory. Run removes it if no guarantee was violated.
	Logs string
}

// String returns one line with the seed, the counts and the first violation, if any.
func (r Result) String() string {
	if len(r.Violations) == 0 {
		return fmt.Sprintf("seed %d: kept, %d requests, %d troubles", r.Seed, r.Requests, r.Faults)
	}
	return fmt.Sprintf("seed %d: BROKEN %d times, %d requests, %d troubles, logs in %s: %s", r.Seed, len(r.Violations), r.Requests, r.Faults, r.Logs, r.Violations[0])
}

const (
	// recoveryTime is the time after the last fault by which requests must be served normally again. The ratio of served requests is then
	// measured over measureTime.
	recoveryTime = 12 * time.Second
	measureTime  = 3 * time.Second
	// minServedRatio is the required ratio of served requests after recovery. It is below 1 because callers may still use connections
	// that a fault has silenced.
	minServedRatio = 0.95
	// eventFlushTime is the time in which the last events of the engines arrive.
	eventFlushTime = 300 * time.Millisecond
)

// Guarantees returns the guarantees of the deployment that the soak test starts.
func Guarantees() audit.Guarantees {
	return audit.Guarantees{
		Recovery: 3 * time.Second, Apply: fleet.Apply, MaxReordering: 250 * time.Millisecond, Drain: fleet.Drain, RepeatRatio: 0.2, RepeatExtra: 50,
		RepeatWindow: 10 * time.Second, LossSlack: 300 * time.Millisecond, Grace: fleet.Grace, LastGrace: fleet.Grace / 6,
	}
}

// Run runs one round. An error means that the soak test itself failed; violated guarantees are in the result.
func Run(o Options) (Result, error) {
	steps := plan.New(o.Seed, o.Duration, o.MaxFaults)
	if o.Overload {
		steps = plan.WithOverload(steps, o.Seed, o.Duration)
	}
	if o.Reconfigure {
		steps = plan.WithConfigurations(steps, o.Seed, o.Duration)
	}
	if o.Silence {
		steps = plan.WithSilence(steps, o.Seed, o.Duration)
	}
	if o.Restore {
		steps = plan.WithRestores(steps, o.Seed, o.Duration)
	}
	res := Result{Seed: o.Seed, Faults: len(steps), Logs: filepath.Join(o.Dir, fmt.Sprint("seed-", o.Seed))}
	if err := os.MkdirAll(res.Logs, 0o755); err != nil {
		return res, errors.Wrap(err, "create log directory")
	}
	checker := audit.New(Guarantees())
	f, err := fleet.New(fleet.Options{Bin: o.Bin, Dir: res.Logs, Routers: o.Routers, Engines: o.Engines, PlainProcesses: o.PlainProcesses, Checker: checker,
		Reconfigure: o.Reconfigure, Seed: o.Seed})
	if err != nil {
		return res, errors.WithMessagef(err, "seed %d", o.Seed)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := crowd.New(ctx, f, checker, o.Callers, o.Seed, o.Reconfigure)
	err = runPlan(f, steps, filepath.Join(res.Logs, "plan.log"))
	if err == nil && o.Reconfigure {
		err = f.ResetConfiguration()
	}
	if err == nil {
		checkRecovery(f, callers, checker)
	}
	cancel()
	callers.Wait()
	f.Close()
	time.Sleep(eventFlushTime)
	checker.Finish()
	res.Requests, res.Violations = callers.Total(), checker.Violations()
	if werr := os.WriteFile(filepath.Join(res.Logs, "broken.log"), []byte(strings.Join(res.Violations, "\n")), 0o644); werr != nil && err == nil {
		err = errors.Wrap(werr, "write violations")
	}
	if err == nil && len(res.Violations) == 0 {
		err = errors.Wrap(os.RemoveAll(res.Logs), "remove logs")
	}
	return res, errors.WithMessagef(err, "seed %d", o.Seed)
}

// runPlan injects each fault at its time and returns when all are over. It writes their times and errors to the file log.
func runPlan(f *fleet.Fleet, steps []plan.Step, log string) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var firstErr error
	var lines strings.Builder
	start := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(start.Add(s.At)))
		wg.Go(func() {
			begin := time.Now()
			err := f.Inject(s)
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(&lines, "%s to %s %s %v\n", begin.Format(time.RFC3339Nano), time.Now().Format(time.RFC3339Nano), s, err)
			if err != nil && firstErr == nil {
				firstErr = errors.WithMessage(err, s.String())
			}
		})
	}
	wg.Wait()
	if err := os.WriteFile(log, []byte(lines.String()), 0o644); err != nil {
		return errors.Wrap(err, "write plan")
	}
	return firstErr
}

// checkRecovery waits for the recovery time and then checks that requests are served, engines have the newest weights and no router has
// exited.
func checkRecovery(f *fleet.Fleet, callers *crowd.Pool, checker *audit.Checker) {
	time.Sleep(recoveryTime)
	callers.Reset()
	time.Sleep(measureTime)
	if sent, served := callers.Served(); sent == 0 || float64(served) < minServedRatio*float64(sent) {
		checker.AddViolation("recovery: %d of %d requests were served %v after the last fault", served, sent, recoveryTime)
	}
	if stale := f.StaleEngines(); len(stale) > 0 {
		checker.AddViolation("weights: %s", strings.Join(stale, ", "))
	}
	for _, r := range f.ExitedRouters() {
		checker.AddViolation("exit: %s exited by itself", r)
	}
}
