package fleet

import (
	"slices"
	"sync"
	"syscall"
	"time"

	"quetzalmount.dev/quetzalmount/internal/soak/audit"
	"quetzalmount.dev/quetzalmount/internal/soak/link"
	"quetzalmount.dev/quetzalmount/internal/soak/plan"
	"quetzalmount.dev/quetzalmount/internal/standin/pauser"
	"quetzalmount.dev/quetzalmount/platform/fake"
)

// linkDelay is the delay of a link with the fault Delayed, each way.
const linkDelay = 150 * time.Millisecond

// Inject performs one step of the plan and returns when it is over. An error means that the soak test itself failed.
func (f *Fleet) Inject(s plan.Step) error {
	r := f.Routers[s.Target%len(f.Routers)]
	switch s.Kind {
	case plan.RouterKill:
		return f.killRouters([]*Router{r}, s.Duration)
	case plan.RoutersKill:
		return f.killRouters(f.Routers, s.Duration)
	case plan.RouterStop:
		return f.restartRouter(r)
	case plan.RoutersRoll:
		for _, r := range f.Routers {
			if err := f.restartRouter(r); err != nil {
				return err
			}
			time.Sleep(s.Duration)
		}
	case plan.RouterFreeze:
		r.lifecycle.Lock()
		defer r.lifecycle.Unlock()
		defer f.opts.Checker.BeginFault(r.Name)()
		suspend(r.proc, s.Duration)
	case plan.RouterReload:
		r.lifecycle.Lock()
		defer r.lifecycle.Unlock()
		r.proc.signal(syscall.SIGHUP)
	case plan.StoreOutage:
		defer f.opts.Checker.BeginFault(audit.Store)()
		if err := f.operator.SetOutage(fake.Outage(s.Mode)); err != nil {
			return err
		}
		time.Sleep(s.Duration)
		return f.operator.SetOutage(fake.NoOutage)
	case plan.StoreTrim:
		return f.operator.Trim()
	case plan.StoreRestore:
		return f.restoreStore(s)
	case plan.StoreLink:
		defer f.opts.Checker.BeginFault(audit.StoreOf(r.Name))()
		injectLinkFault(r.StoreLink, s)
	case plan.CallerLink:
		defer f.opts.Checker.BeginFault(audit.CallersOf(r.Name))()
		injectLinkFault(r.CallerLink, s)
	case plan.EngineSilence:
		return f.silenceEngines(s)
	case plan.EnginesOverload:
		return f.overloadEngines(s.Duration)
	case plan.Configure:
		return f.Configure()
	case plan.Weights:
		return f.UpdateWeights()
	default:
		return f.injectEngineFault(s)
	}
	return nil
}

// restoreStore makes the store return from a copy after it was down for up to a second. What the operator and the engines had written since
// is written again up to a second later.
func (f *Fleet) restoreStore(s plan.Step) error {
	away := time.Duration(s.Target%1000) * time.Millisecond
	rewriteDelay := time.Duration(s.Target/1000%16) * time.Second / 16
	if err := f.operator.Backup(); err != nil {
		return err
	}
	time.Sleep(s.Duration)
	defer f.opts.Checker.BeginFault(audit.Store)()
	if err := f.operator.SetOutage(fake.Down); err != nil {
		return err
	}
	time.Sleep(away)
	if err := f.operator.Restore(fake.HeldReads(s.Mode)); err != nil {
		return err
	}
	if err := f.operator.SetOutage(fake.NoOutage); err != nil {
		return err
	}
	time.Sleep(rewriteDelay)
	return f.operator.Rewrite()
}

// overloadEngines makes all engines refuse most requests for some time. Engines that start meanwhile refuse none.
func (f *Fleet) overloadEngines(d time.Duration) error {
	f.mu.Lock()
	engines := slices.Clone(f.engines)
	f.mu.Unlock()
	for _, e := range engines {
		// An engine that is down or frozen refuses nothing.
		if fake.SetRefusedShare(&f.client, e.address, overloadShare) == nil {
			defer func() { _ = fake.SetRefusedShare(&f.client, e.address, 0) }()
		}
	}
	time.Sleep(d)
	return nil
}

// silenceEngines lets one engine or all of them pause at any byte of some of their exchanges. Engines that start meanwhile do not pause. The target
// of the step determines the share of the exchanges.
func (f *Fleet) silenceEngines(s plan.Step) error {
	f.mu.Lock()
	engines := slices.Clone(f.engines)
	f.mu.Unlock()
	if s.Mode == plan.OneEngine {
		engines = engines[s.Target%len(engines):][:1]
	}
	o := pauser.Options{
		Share: maxSilenceShare * float64(1+s.Target%silenceShares) / silenceShares, MinMs: minSilence.Milliseconds(), MaxMs: maxSilence.Milliseconds(),
	}
	var wg sync.WaitGroup
	for _, e := range engines {
		wg.Go(func() {
			defer f.opts.Checker.BeginFault(audit.SilenceOf(e.ID))()
			// An engine that is down makes no pauses.
			_ = fake.SetSilence(&f.client, e.address, o)
			time.Sleep(s.Duration)
			_ = fake.SetSilence(&f.client, e.address, pauser.Options{})
		})
	}
	wg.Wait()
	return nil
}

// silenceShares is the number of different shares of exchanges with a pause.
const silenceShares = 8

// injectEngineFault performs one step that concerns an engine.
func (f *Fleet) injectEngineFault(s plan.Step) error {
	e := f.engineAt(s.Target)
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	if !f.hasEngine(e) {
		return nil // another fault has removed it
	}
	switch s.Kind {
	case plan.EngineKill:
		f.opts.Checker.BeginFault(e.ID)
		f.remove(e)
		e.proc.kill()
		e.Link.Close()
		time.Sleep(registrationTimeout)
		if err := f.operator.DeleteEntry(e.ID); err != nil {
			return err
		}
		time.Sleep(s.Duration)
		return f.AddEngine(e.service)
	case plan.EngineRestart:
		defer f.opts.Checker.BeginFault(e.ID)()
		e.proc.kill()
		f.opts.Checker.EngineRestarted(e.ID)
		time.Sleep(s.Duration)
		if s.Duration > registrationTimeout {
			if err := f.operator.DeleteEntry(e.ID); err != nil {
				return err
			}
		}
		return f.startEngine(e)
	case plan.EngineDrain:
		if err := f.AddEngine(e.service); err != nil {
			return err
		}
		f.remove(e)
		if !e.proc.stop(stopTimeout) {
			f.opts.Checker.AddViolation("soak: engine %s did not stop", e.ID)
		}
		// The link would accept connections to a process that is gone.
		e.Link.Close()
	case plan.EngineFreeze:
		defer f.opts.Checker.BeginFault(e.ID)()
		suspend(e.proc, s.Duration)
	case plan.EngineFault:
		defer f.opts.Checker.BeginFault(e.ID)()
		if err := fake.SetEngineFault(&f.client, e.address, fake.Fault(s.Mode)); err != nil {
			return err
		}
		time.Sleep(s.Duration)
		return fake.SetEngineFault(&f.client, e.address, fake.NoFault)
	case plan.EngineLink:
		defer f.opts.Checker.BeginFault(e.ID)()
		injectLinkFault(e.Link, s)
	}
	return nil
}

// engineAt returns the engine with index n, modulo the number of engines that have not been removed.
func (f *Fleet) engineAt(n int) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[n%len(f.engines)]
}

// hasEngine reports whether an engine has not been removed.
func (f *Fleet) hasEngine(e *Engine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.engines, e)
}

func (f *Fleet) remove(e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines = slices.DeleteFunc(f.engines, func(o *Engine) bool { return o == e })
	f.removed = append(f.removed, e)
}

// killRouters kills routers at the same time and starts them again after a pause.
func (f *Fleet) killRouters(routers []*Router, pause time.Duration) error {
	for _, r := range routers {
		r.lifecycle.Lock()
		defer r.lifecycle.Unlock()
		defer f.opts.Checker.BeginFault(r.Name)()
	}
	var wg sync.WaitGroup
	for _, r := range routers {
		wg.Go(r.proc.kill)
	}
	wg.Wait()
	time.Sleep(pause)
	return f.startRouters(routers)
}

// startRouters starts routers and waits until all are ready.
func (f *Fleet) startRouters(routers []*Router) error {
	for _, r := range routers {
		if err := f.startRouter(r); err != nil {
			return err
		}
	}
	for _, r := range routers {
		if err := f.WaitReady(r); err != nil {
			return err
		}
	}
	return nil
}

// restartRouter stops a router with SIGTERM and starts it again. Only the start counts as a fault: the stop must not interrupt any request.
func (f *Fleet) restartRouter(r *Router) error {
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	f.opts.Checker.RouterStopping(r.Name)
	if !r.proc.stop(Grace) {
		f.opts.Checker.AddViolation("stop: %s still ran %v after SIGTERM", r.Name, Grace)
	}
	defer f.opts.Checker.BeginFault(r.Name)()
	return f.startRouters([]*Router{r})
}

// suspend stops a process with SIGSTOP for the time d.
func suspend(p *proc, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// injectLinkFault applies the fault of a step to a link for the duration of the step.
func injectLinkFault(l *link.Link, s plan.Step) {
	switch s.Mode {
	case plan.Reset:
		l.Reset()
	case plan.Silenced:
		l.Silence()
	case plan.Delayed:
		l.Set(link.Fault{Delay: linkDelay})
	case plan.CutUp:
		l.Set(link.Fault{CutUp: true})
	case plan.CutDown:
		l.Set(link.Fault{CutDown: true})
	case plan.Refused:
		l.Set(link.Fault{Refuse: true})
	}
	time.Sleep(s.Duration)
	l.Set(link.Fault{})
}
