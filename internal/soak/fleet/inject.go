package fleet

import (
	"slices"
	"sync"
	"syscall"
	"time"

	"quetzalmount.dev/quetzalmount/internal/soak/audit"
	"quetzalmount.dev/quetzalmount/internal/soak/link"
	"quetzalmount.dev/quetzalmount/internal/soak/plan"
	"quetzalmount.dev/quetzalmount/platform/fake"
)

// linkDelay is the delay of a link that is slow, each way.
const linkDelay = 150 * time.Millisecond

// Do carries out one trouble and returns when it is over. The error means that the soak itself failed.
func (f *Fleet) Do(s plan.Step) error {
	r := f.Routers[s.Target%len(f.Routers)]
	switch s.Kind {
	case plan.RouterKill:
		return f.kill([]*Router{r}, s.For)
	case plan.RoutersKill:
		return f.kill(f.Routers, s.For)
	case plan.RouterStop:
		return f.stop(r)
	case plan.RoutersRoll:
		for _, r := range f.Routers {
			if err := f.stop(r); err != nil {
				return err
			}
			time.Sleep(s.For)
		}
	case plan.RouterFreeze:
		r.busy.Lock()
		defer r.busy.Unlock()
		defer f.opts.Book.Harm(r.Name)()
		freeze(r.proc, s.For)
	case plan.RouterReload:
		r.busy.Lock()
		defer r.busy.Unlock()
		r.proc.signal(syscall.SIGHUP)
	case plan.StoreOutage:
		defer f.opts.Book.Harm(audit.Store)()
		if err := f.operator.Break(fake.Outage(s.How)); err != nil {
			return err
		}
		time.Sleep(s.For)
		return f.operator.Break(fake.Serving)
	case plan.StoreTrim:
		return f.operator.Trim()
	case plan.StoreLink:
		defer f.opts.Book.Harm(r.Name)()
		harm(r.StoreLink, s)
	case plan.CallerLink:
		defer f.opts.Book.Harm(audit.CallersOf(r.Name))()
		harm(r.CallerLink, s)
	case plan.Configure:
		return f.Configure()
	case plan.Weights:
		return f.Name()
	default:
		return f.engineTrouble(s)
	}
	return nil
}

// engineTrouble carries out a trouble of an engine.
func (f *Fleet) engineTrouble(s plan.Step) error {
	e := f.pick(s.Target)
	e.busy.Lock()
	defer e.busy.Unlock()
	if !f.runs(e) {
		return nil // another trouble has ended it
	}
	switch s.Kind {
	case plan.EngineKill:
		f.opts.Book.Harm(e.ID)
		f.remove(e)
		e.proc.kill()
		time.Sleep(lapse)
		if err := f.operator.Unlist(e.ID); err != nil {
			return err
		}
		time.Sleep(s.For)
		return f.AddEngine(e.service)
	case plan.EngineRestart:
		defer f.opts.Book.Harm(e.ID)()
		e.proc.kill()
		f.opts.Book.Restarted(e.ID)
		time.Sleep(s.For)
		if s.For > lapse {
			if err := f.operator.Unlist(e.ID); err != nil {
				return err
			}
		}
		return f.run(e)
	case plan.EngineDrain:
		if err := f.AddEngine(e.service); err != nil {
			return err
		}
		f.remove(e)
		if !e.proc.stop(endTime) {
			f.opts.Book.Fail("soak: engine %s did not stop", e.ID)
		}
	case plan.EngineFreeze:
		defer f.opts.Book.Harm(e.ID)()
		freeze(e.proc, s.For)
	case plan.EngineFault:
		defer f.opts.Book.Harm(e.ID)()
		if err := fake.FailEngine(&f.client, e.address, fake.Fault(s.How)); err != nil {
			return err
		}
		time.Sleep(s.For)
		return fake.FailEngine(&f.client, e.address, fake.Sound)
	case plan.EngineLink:
		defer f.opts.Book.Harm(e.ID)()
		harm(e.Link, s)
	}
	return nil
}

// pick returns one of the engines.
func (f *Fleet) pick(n int) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[n%len(f.engines)]
}

// runs reports whether an engine was not taken away.
func (f *Fleet) runs(e *Engine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.engines, e)
}

func (f *Fleet) remove(e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines = slices.DeleteFunc(f.engines, func(o *Engine) bool { return o == e })
	f.gone = append(f.gone, e)
}

// kill kills routers at the same moment and starts them again after a pause.
func (f *Fleet) kill(routers []*Router, pause time.Duration) error {
	for _, r := range routers {
		r.busy.Lock()
		defer r.busy.Unlock()
		defer f.opts.Book.Harm(r.Name)()
	}
	var wg sync.WaitGroup
	for _, r := range routers {
		wg.Go(r.proc.kill)
	}
	wg.Wait()
	time.Sleep(pause)
	return f.relaunch(routers)
}

func (f *Fleet) relaunch(routers []*Router) error {
	for _, r := range routers {
		if err := f.launch(r); err != nil {
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

// stop asks a router to stop, which must cut no request, and starts it again.
func (f *Fleet) stop(r *Router) error {
	r.busy.Lock()
	defer r.busy.Unlock()
	if !r.proc.stop(Grace) {
		f.opts.Book.Fail("stop: %s still ran %v after SIGTERM", r.Name, Grace)
	}
	defer f.opts.Book.Harm(r.Name)()
	return f.relaunch([]*Router{r})
}

// freeze halts a process for a time.
func freeze(p *proc, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// harm harms a link for a time.
func harm(l *link.Link, s plan.Step) {
	switch s.How {
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
	time.Sleep(s.For)
	l.Set(link.Fault{})
}
