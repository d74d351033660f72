// Package fleet runs the programs of one round of the soak: routers, the store and engines, each a process of its own, with links between
// them that can be harmed.
package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/soak/audit"
	"quetzalmount.dev/quetzalmount/internal/soak/link"
	"quetzalmount.dev/quetzalmount/internal/standin/ports"
	"quetzalmount.dev/quetzalmount/platform/fake"
)

// Names in the deployment of a round.
const (
	Host  = "api.example"
	Model = "m"
)

const (
	// Heartbeat is the time between two entries of an engine; one that is silent for three is taken off the list.
	Heartbeat = 300 * time.Millisecond
	lapse     = 3 * Heartbeat
	// Grace is the time from SIGTERM to the end of a router.
	Grace = 4 * time.Second
	// Drain is when an engine that leaves gets nothing more. Engines serve longer, so that what comes later is seen.
	Drain     = 2 * time.Second
	serveLate = 3 * time.Second
	// Apply is when a configuration is in force, versionTime when new weights are.
	Apply       = 2 * time.Second
	versionTime = 15 * time.Second
	// versionStep is the difference between the versions of two configurations. The operator's versions have gaps.
	versionStep = 7
	// leaseTime is how long orders of two holders lie apart.
	leaseTime = 500 * time.Millisecond
	// callTime bounds one call of the operator, readyTime the start of a program.
	callTime  = 2 * time.Second
	readyTime = 15 * time.Second
	poll      = 20 * time.Millisecond
)

// Options describe a fleet.
type Options struct {
	// Bin holds the programs, Dir the settings and logs.
	Bin, Dir                string
	Routers, Engines, Desks int
	Book                    *audit.Book
}

// Router is one router with its links.
type Router struct {
	Name string
	// Callers is the address that it tells callers, Directory where it tells them.
	Callers, Directory     string
	ready, peers, settings string
	CallerLink, StoreLink  *link.Link

	mu    sync.Mutex
	proc  *proc
	start int
	// busy keeps two troubles from starting and ending the process at the same time.
	busy sync.Mutex
}

// Start returns how often the router was started.
func (r *Router) Start() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.start
}

// Engine is one engine, or process of a plain service, with the link of all routers to it.
type Engine struct {
	ID      string
	service string
	address string
	Link    *link.Link
	proc    *proc
	busy    sync.Mutex
}

// Build builds the programs of a fleet into a folder.
func Build(ctx context.Context, dir string) error {
	const module = "quetzalmount.dev/quetzalmount/cmd/"
	out, err := exec.CommandContext(ctx, "go", "build", "-o", dir, module+"quetzalmount", module+"standin").CombinedOutput()
	return errors.Wrapf(err, "build programs: %s", out)
}

// Fleet is what runs in one round.
type Fleet struct {
	opts     Options
	client   http.Client
	store    *proc
	operator *fake.Operator
	Routers  []*Router

	mu      sync.Mutex
	engines []*Engine
	// gone are the engines that were taken away; their links stay open until the end.
	gone []*Engine
	next int
	// configuration and version are the newest that were written.
	configuration int
	version       int64
}

// New starts a fleet and waits until all routers are ready.
func New(o Options) (*Fleet, error) {
	f := &Fleet{opts: o, client: http.Client{Timeout: callTime}, version: 1}
	if err := f.begin(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) begin() (err error) {
	f.operator = &fake.Operator{Client: &f.client}
	if f.operator.Address, err = ports.Free(); err != nil {
		return err
	}
	if f.store, err = start(f.log("store"), f.program("standin"), []string{"platform-store", "--addr", f.operator.Address}, nil); err != nil {
		return err
	}
	if err := f.wait("store", func() bool { return f.operator.Ping() == nil }); err != nil {
		return err
	}
	if err := f.Configure(); err != nil {
		return err
	}
	for range f.opts.Engines {
		if err := f.AddEngine(fake.ModelService); err != nil {
			return err
		}
	}
	for range f.opts.Desks {
		if err := f.AddEngine(fake.PlainService); err != nil {
			return err
		}
	}
	for i := range f.opts.Routers {
		if err := f.addRouter(i); err != nil {
			return err
		}
	}
	for _, r := range f.Routers {
		if err := f.WaitReady(r); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) log(name string) string     { return filepath.Join(f.opts.Dir, name+".log") }
func (f *Fleet) program(name string) string { return filepath.Join(f.opts.Bin, name) }

// wait polls a condition.
func (f *Fleet) wait(what string, ready func() bool) error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(poll) {
		if ready() {
			return nil
		}
	}
	return errors.Errorf("%s is not ready after %v", what, readyTime)
}

// Close ends everything that the fleet has started.
func (f *Fleet) Close() {
	f.mu.Lock()
	all := slices.Concat(f.engines, f.gone)
	f.mu.Unlock()
	for _, r := range f.Routers {
		if r.proc != nil {
			r.proc.kill()
		}
		r.CallerLink.Close()
		r.StoreLink.Close()
	}
	for _, e := range all {
		e.proc.kill()
		e.Link.Close()
	}
	if f.store != nil {
		f.store.kill()
	}
}

// Configure writes the next configuration. Configuration n takes the keys n and n-1.
func (f *Fleet) Configure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configuration++
	n := f.configuration
	f.opts.Book.Configuring(n)
	err := f.operator.Configure(versionStep*n, Host, Model, keyOf(n), keyOf(n-1))
	if err == nil {
		f.opts.Book.Configured(n)
	}
	return errors.WithMessage(err, "configure")
}

// Key returns a key that callers have, and the number of the configuration that brought it: mostly the newest, and at times one that is
// about to go or gone.
func (f *Fleet) Key(back int) (key string, number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := max(1, f.configuration-back)
	return keyOf(n), n
}

func keyOf(n int) string { return fmt.Sprint("key-", n) }

// Name names the next version of the weights.
func (f *Fleet) Name() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	return f.operator.SetVersion(Model, f.version)
}

// Behind returns the engines that do not have the newest weights.
func (f *Fleet) Behind() []string {
	f.mu.Lock()
	all, version := slices.Clone(f.engines), f.version
	f.mu.Unlock()
	var out []string
	for _, e := range all {
		if e.service != fake.ModelService {
			continue
		}
		if got, err := fake.EngineVersion(&f.client, e.address); err != nil || got != version {
			out = append(out, fmt.Sprintf("%s has %d of %d (%v)", e.ID, got, version, err))
		}
	}
	return out
}

// AddEngine starts another engine of a service.
func (f *Fleet) AddEngine(service string) error {
	f.mu.Lock()
	f.next++
	id := fmt.Sprintf("%s-%d", service, f.next)
	f.mu.Unlock()
	a, err := ports.Free()
	if err != nil {
		return err
	}
	l, err := link.New(a)
	if err != nil {
		return err
	}
	e := &Engine{ID: id, service: service, address: a, Link: l}
	if err := f.run(e); err != nil {
		l.Close()
		return err
	}
	f.mu.Lock()
	f.engines = append(f.engines, e)
	f.mu.Unlock()
	return nil
}

// run starts the process of an engine with the newest weights.
func (f *Fleet) run(e *Engine) error {
	f.mu.Lock()
	version := f.version
	f.mu.Unlock()
	args := []string{
		"platform-engine", "--addr", e.address, "--advertise", e.Link.Address(), "--store", f.operator.Address, "--id", e.ID, "--service", e.service,
		"--heartbeat", Heartbeat.String(), "--drain", serveLate.String(),
	}
	if e.service == fake.ModelService {
		args = append(args, "--model", Model, "--version", fmt.Sprint(version))
	}
	p, err := start(f.log(e.ID), f.program("standin"), args, f.events)
	if err != nil {
		return err
	}
	e.proc = p
	return f.wait(e.ID, func() bool { _, err := fake.EngineVersion(&f.client, e.address); return err == nil })
}

// events hands the events of an engine to the audit.
func (f *Fleet) events(r io.Reader) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		var ev fake.Event
		if err := json.Unmarshal(s.Bytes(), &ev); err != nil {
			f.opts.Book.Fail("soak: line %q of an engine: %v", s.Text(), err)
			continue
		}
		f.opts.Book.Engine(ev)
	}
}

// addRouter starts a router.
func (f *Fleet) addRouter(i int) error {
	r := &Router{Name: fmt.Sprint("router-", i)}
	var addresses [5]string
	for k := range addresses {
		a, err := ports.Free()
		if err != nil {
			return err
		}
		addresses[k] = a
	}
	r.Callers, r.ready, r.peers, r.Directory = addresses[0], addresses[1], addresses[2], addresses[3]
	var err error
	if r.CallerLink, err = link.New(r.Callers); err != nil {
		return err
	}
	if r.StoreLink, err = link.New(f.operator.Address); err != nil {
		return err
	}
	f.Routers = append(f.Routers, r)
	r.settings = filepath.Join(f.opts.Dir, r.Name+".ini")
	if err := os.WriteFile(r.settings, []byte(f.settings(r, addresses[4])), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return f.launch(r)
}

// settings returns the settings of a router. The first router is the one that the others ask.
func (f *Fleet) settings(r *Router, metrics string) string {
	return fmt.Sprintf(`[Instance]
Name = %s
DataCentre = z
Region = r
[Listen]
Callers = %s
Ready = %s
Peers = %s
Directory = %s
Metrics = %s
[Peers]
Seeds = %s
[Store]
Address = %s
LeastTTLMs = 1000
Partitions = 32
[Machine]
CpuShare = 1
Cores = 1
MemoryMb = 128
Descriptors = 1000
LinkMbps = 1000
[Bounds]
HeartbeatMs = %d
GraceS = %g
DrainMs = %d
ApplyMs = %d
LeaseMs = %d
VersionMs = %d
AdviceS = 2
RepeatRatio = 0.2
RepeatExtra = 50
RepeatWindowS = 10
`, r.Name, r.Callers, r.ready, r.peers, r.Directory, metrics, f.Routers[0].peers, r.StoreLink.Address(), Heartbeat.Milliseconds(), Grace.Seconds(), Drain.Milliseconds(),
		Apply.Milliseconds(), leaseTime.Milliseconds(), versionTime.Milliseconds())
}

func (f *Fleet) launch(r *Router) error {
	p, err := start(f.log(r.Name), f.program("quetzalmount"), []string{"platform", "--settings", r.settings, "--log-level", "debug"}, nil)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proc = p
	r.start++
	return nil
}

// WaitReady waits until a router is ready.
func (f *Fleet) WaitReady(r *Router) error {
	return f.wait(r.Name, func() bool { return fake.CheckReady(&f.client, r.ready) == nil })
}

// Ended returns the routers whose process has ended by itself.
func (f *Fleet) Ended() []string {
	var out []string
	for _, r := range f.Routers {
		r.busy.Lock()
		if r.proc.ended() {
			out = append(out, r.Name)
		}
		r.busy.Unlock()
	}
	return out
}
