package order

import (
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Step is how far an engine is.
type Step string

// Steps of an engine.
const (
	Current Step = "Current"
	Waiting Step = "Waiting"
	Loading Step = "Loading"
	Failed  Step = "Failed"
)

// Progress is the state of one engine for the status page.
type Progress struct {
	Endpoint qm.EndpointID
	Group    qm.GroupID
	// Desired is what the table says, Reported what the engine said last.
	Desired, Reported qm.VersionID
	Step              Step
	// Holder is the process that commands the engine, empty if there is none.
	Holder string
	// Error is why this process gave up for now, empty if it did not.
	Error string
}

// Progress returns the state of all engines.
func (c *Controller) Progress() []Progress {
	all := c.desiredStates()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Progress
	for _, w := range all {
		id := w.endpoint.ID
		p := Progress{Endpoint: id, Group: w.endpoint.Group, Desired: w.version, Reported: w.endpoint.Version, Step: Waiting}
		for _, s := range c.slots {
			if s.fence > 0 && !s.released && s.endpoint == id {
				p.Step, p.Holder = Loading, s.holder
			}
		}
		if f := c.failures[id]; time.Now().Before(f.until) && p.Step == Waiting {
			p.Step, p.Error = Failed, f.err.Error()
		}
		if w.isReached() {
			p.Step, p.Error = Current, ""
		}
		out = append(out, p)
	}
	return out
}

// Alerts counts records that could not be decoded and reads that ended before what was read already.
func (c *Controller) Alerts() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alerts
}
