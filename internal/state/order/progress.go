package order

import (
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Step is the progress of an engine towards its desired state.
type Step string

// Steps of an engine.
const (
	Current Step = "Current" // has reached the desired state
	Waiting Step = "Waiting" // waits for a slot
	Loading Step = "Loading" // has a slot
	Failed  Step = "Failed"  // is not commanded for a time after a failure
)

// Progress is the progress of an engine, as shown on the status page.
type Progress struct {
	Endpoint qm.EndpointID
	Group    qm.GroupID
	// Desired is the version in the configuration table, Reported the last version that the engine has reported.
	Desired, Reported qm.VersionID
	Step              Step
	// Holder is the process that holds the engine's slot, or empty.
	Holder string
	// Error is the last failure of this process for the engine if Step is Failed, or empty.
	Error string
}

// Progress returns the progress of all engines.
func (c *Controller) Progress() []Progress {
	all := c.desiredStates()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Progress
	for _, d := range all {
		id := d.endpoint.ID
		p := Progress{Endpoint: id, Group: d.endpoint.Group, Desired: d.version, Reported: d.endpoint.Version, Step: Waiting}
		for _, s := range c.slots {
			if s.fence > 0 && !s.released && s.endpoint == id {
				p.Step, p.Holder = Loading, s.holder
			}
		}
		if f := c.failures[id]; time.Now().Before(f.until) && p.Step == Waiting {
			p.Step, p.Error = Failed, f.err.Error()
		}
		if d.isReached() {
			p.Step, p.Error = Current, ""
		}
		out = append(out, p)
	}
	return out
}

// Alerts returns the number of records that could not be decoded and of reads after which the stream ended before the
// next expected offset.
func (c *Controller) Alerts() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alerts
}
