// Package fleet runs the programs of one soak round: routers, the store and engines, each in its own process, with links between them that
// inject network faults.
package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/soak/audit"
	"quetzalmount.dev/quetzalmount/internal/soak/conf"
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
	// Heartbeat is the time between two registrations of an engine. After registrationTimeout without one it is removed from the store.
	Heartbeat           = 300 * time.Millisecond
	registrationTimeout = 3 * Heartbeat
	// Grace is the time within which a router must exit after SIGTERM.
	Grace = 4 * time.Second
	// Drain is the time after which a draining engine must get no more requests. Engines serve longer, for drainServeTime, so that late
	// requests are detected and requests in which they pause are not lost.
	Drain          = 2 * time.Second
	drainServeTime = Drain + maxSilence + time.Second
	// Apply is the time after which a configuration must be in force, weightsTime that for new weights.
	Apply       = 2 * time.Second
	weightsTime = 15 * time.Second
	// versionStep is the difference between the versions of successive configurations. It is more than 1 because an operator's versions
	// may have gaps.
	versionStep = 7
	// leaseDuration is the minimum time between the orders of two successive leaders to engines.
	leaseDuration = 500 * time.Millisecond
	// minSilence and maxSilence bound the pauses of engines, maxSilenceShare the share of their exchanges that have one.
	minSilence      = 300 * time.Millisecond
	maxSilence      = 3 * time.Second
	maxSilenceShare = 0.4
	// callTimeout limits one request of the operator, readyTimeout the start of a program. Engines may pause in their answers.
	callTimeout  = 2*time.Second + maxSilence
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
	// overloadShare is the share of the requests that engines refuse while they are overloaded.
	overloadShare = 0.7
	// copiedRefusals and copiedAnswers are the shares of the refusals and other answers of engines that are followed by a copy of an earlier
	// one. Calls that are answered wrongly fail, so that few answers are copied.
	copiedRefusals = "0.5"
	copiedAnswers  = "0.005"
)

// Options describe a fleet.
type Options struct {
	// Bin is the directory of the programs, Dir that of the settings and logs.
	Bin, Dir                         string
	Routers, Engines, PlainProcesses int
	// Reconfigure makes Configure change everything that an operator may change, by Seed, and adds the services to which it moves routes. Without
	// it Configure changes keys only.
	Reconfigure bool
	Seed        uint64
	Checker     *audit.Checker
}

// Router is one router with its links.
type Router struct {
	Name string
	// Callers is the address that the router advertises to callers, Directory that of its lookup interface.
	Callers, Directory     string
	ready, peers, settings string
	CallerLink, StoreLink  *link.Link

	mu          sync.Mutex
	proc        *proc
	incarnation int
	// lifecycle is held by a fault that starts, stops or signals the process, so that faults do not overlap.
	lifecycle sync.Mutex
}

// Incarnation returns how often the router has been started.
func (r *Router) Incarnation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// Engine is one model engine or process of a plain service, with the link through which routers reach it.
type Engine struct {
	ID        string
	service   string
	address   string
	Link      *link.Link
	proc      *proc
	lifecycle sync.Mutex
}

// Build builds the programs of a fleet into the directory dir.
func Build(ctx context.Context, dir string) error {
	const module = "quetzalmount.dev/quetzalmount/cmd/"
	out, err := exec.CommandContext(ctx, "go", "build", "-o", dir, module+"quetzalmount", module+"standin").CombinedOutput()
	return errors.Wrapf(err, "build programs: %s", out)
}

// Fleet is the set of processes of one round.
type Fleet struct {
	opts     Options
	client   http.Client
	store    *proc
	operator *fake.Operator
	Routers  []*Router

	mu      sync.Mutex
	engines []*Engine
	// removed holds the engines that were killed or drained. Their links stay open until Close.
	removed []*Engine
	lastID  int
	// configVersion and weightsVersion are the newest versions that were written.
	configVersion  int
	weightsVersion int64
}

// New starts a fleet and waits until all routers are ready.
func New(o Options) (*Fleet, error) {
	f := &Fleet{opts: o, client: http.Client{Timeout: callTimeout}, weightsVersion: 1}
	if err := f.startAll(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll() (err error) {
	f.operator = &fake.Operator{Client: &f.client}
	if f.operator.Address, err = ports.Free(); err != nil {
		return err
	}
	if f.store, err = startProc(f.logPath("store"), f.programPath("standin"), []string{"platform-store", "--addr", f.operator.Address}, nil); err != nil {
		return err
	}
	if err := f.waitFor("store", func() bool { return f.operator.Ping() == nil }); err != nil {
		return err
	}
	if err := f.ResetConfiguration(); err != nil {
		return err
	}
	for range f.opts.Engines {
		if err := f.AddEngine(fake.ModelService); err != nil {
			return err
		}
	}
	for range f.opts.PlainProcesses {
		if err := f.AddEngine(fake.PlainService); err != nil {
			return err
		}
	}
	if f.opts.Reconfigure {
		for _, s := range []string{fake.ModelService, fake.PlainService} {
			if err := f.AddEngine(audit.SecondService(s)); err != nil {
				return err
			}
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

func (f *Fleet) logPath(name string) string     { return filepath.Join(f.opts.Dir, name+".log") }
func (f *Fleet) programPath(name string) string { return filepath.Join(f.opts.Bin, name) }

// waitFor polls ready until it returns true, or returns an error after readyTimeout.
func (f *Fleet) waitFor(what string, ready func() bool) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if ready() {
			return nil
		}
	}
	return errors.Errorf("%s is not ready after %v", what, readyTimeout)
}

// Close kills all processes of the fleet and closes the links.
func (f *Fleet) Close() {
	f.mu.Lock()
	all := slices.Concat(f.engines, f.removed)
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

// Configure writes the next configuration, which is drawn with Options.Reconfigure.
func (f *Fleet) Configure() error { return f.configure(f.opts.Reconfigure) }

// ResetConfiguration writes the next configuration, with which the fleet has room for all requests.
func (f *Fleet) ResetConfiguration() error { return f.configure(false) }

// configure writes the next configuration. Configuration n accepts the keys n and n-1.
func (f *Fleet) configure(isDrawn bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configVersion++
	n := f.configVersion
	c := fake.NewConfiguration(versionStep*n, Host, Model, configKey(n), configKey(n-1))
	if f.opts.Reconfigure {
		c = conf.Extend(c)
	}
	if isDrawn {
		c = conf.Draw(rand.New(rand.NewPCG(f.opts.Seed, uint64(n))), c)
	}
	text, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	name := filepath.Join(f.opts.Dir, fmt.Sprintf("config-%d.json", c.Version))
	if err := os.WriteFile(name, text, 0o644); err != nil {
		return errors.Wrap(err, "write configuration")
	}
	f.opts.Checker.ConfigurationSubmitted(n, conf.Rules(c))
	err = f.operator.Configure(c)
	if err == nil {
		f.opts.Checker.ConfigurationAccepted(n)
	}
	return errors.WithMessage(err, "configure")
}

// Key returns the key that was introduced age configurations ago, and the version of that configuration. Keys of age 2 or more are revoked.
func (f *Fleet) Key(age int) (key string, version int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := max(1, f.configVersion-age)
	return configKey(n), n
}

func configKey(n int) string { return fmt.Sprint("key-", n) }

// UpdateWeights makes the next version of the weights the desired one.
func (f *Fleet) UpdateWeights() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.weightsVersion++
	return f.operator.SetVersion(Model, f.weightsVersion)
}

// StaleEngines returns a description of each model engine that does not have the newest weights.
func (f *Fleet) StaleEngines() []string {
	f.mu.Lock()
	all, version := slices.Clone(f.engines), f.weightsVersion
	f.mu.Unlock()
	var out []string
	for _, e := range all {
		if !hasModel(e.service) {
			continue
		}
		if got, err := fake.EngineVersion(&f.client, e.address); err != nil || got != version {
			out = append(out, fmt.Sprintf("%s has %d of %d (%v)", e.ID, got, version, err))
		}
	}
	return out
}

// hasModel reports whether the processes of a service are engines.
func hasModel(service string) bool {
	return service == fake.ModelService || service == audit.SecondService(fake.ModelService)
}

// AddEngine starts another engine of a service.
func (f *Fleet) AddEngine(service string) error {
	f.mu.Lock()
	f.lastID++
	id := fmt.Sprintf("%s-%d", service, f.lastID)
	f.mu.Unlock()
	a, err := ports.Free()
	if err != nil {
		return err
	}
	l, err := link.New(a)
	if err != nil {
		return err
	}
	f.opts.Checker.EngineAdded(id, service)
	e := &Engine{ID: id, service: service, address: a, Link: l}
	if err := f.startEngine(e); err != nil {
		l.Close()
		return err
	}
	f.mu.Lock()
	f.engines = append(f.engines, e)
	f.mu.Unlock()
	return nil
}

// startEngine starts the process of an engine with the newest weights and waits until it answers.
func (f *Fleet) startEngine(e *Engine) error {
	f.mu.Lock()
	version := f.weightsVersion
	f.mu.Unlock()
	args := []string{
		"platform-engine", "--addr", e.address, "--advertise", e.Link.Address(), "--store", f.operator.Address, "--id", e.ID, "--service", e.service,
		"--heartbeat", Heartbeat.String(), "--drain", drainServeTime.String(),
		"--copied-refusals", copiedRefusals, "--copied-answers", copiedAnswers,
	}
	if hasModel(e.service) {
		args = append(args, "--model", Model, "--version", fmt.Sprint(version))
	}
	p, err := startProc(f.logPath(e.ID), f.programPath("standin"), args, f.readEvents)
	if err != nil {
		return err
	}
	e.proc = p
	return f.waitFor(e.ID, func() bool { _, err := fake.EngineVersion(&f.client, e.address); return err == nil })
}

// readEvents passes the events that an engine prints to the audit.
func (f *Fleet) readEvents(r io.Reader) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		var ev fake.Event
		if err := json.Unmarshal(s.Bytes(), &ev); err != nil {
			f.opts.Checker.AddViolation("soak: line %q of an engine: %v", s.Text(), err)
			continue
		}
		f.opts.Checker.EngineEvent(ev)
	}
}

// addRouter creates the links and settings of a router and starts it.
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
	return f.startRouter(r)
}

// settings returns the settings file of a router. The first router is the seed peer of all.
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
		Apply.Milliseconds(), leaseDuration.Milliseconds(), weightsTime.Milliseconds())
}

// startRouter starts the process of a router.
func (f *Fleet) startRouter(r *Router) error {
	p, err := startProc(f.logPath(r.Name), f.programPath("quetzalmount"), []string{"platform", "--settings", r.settings, "--log-level", "debug"}, nil)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proc = p
	r.incarnation++
	return nil
}

// WaitReady waits until a router is ready.
func (f *Fleet) WaitReady(r *Router) error {
	return f.waitFor(r.Name, func() bool { return fake.CheckReady(&f.client, r.ready) == nil })
}

// ExitedRouters returns the names of the routers whose process is not running. After all faults are over, such a process has exited by
// itself.
func (f *Fleet) ExitedRouters() []string {
	var out []string
	for _, r := range f.Routers {
		r.lifecycle.Lock()
		if r.proc.hasExited() {
			out = append(out, r.Name)
		}
		r.lifecycle.Unlock()
	}
	return out
}
