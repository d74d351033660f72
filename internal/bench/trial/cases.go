package trial

import (
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/place"
)

const (
	// Length is the virtual time in which requests arrive; those of the first warmTime are not measured.
	Length   = 60 * time.Second
	warmTime = 10 * time.Second
	// drainTime is the time after the last request in which queues empty.
	drainTime = 60 * time.Second
)

// Case is a situation that policies are compared in. Times are since the start of the run.
type Case struct {
	Name string
	// About says what happens.
	About string
	// Shift changes the popular prefixes every 8 s.
	Shift bool
	// Crash and Restart are the times of engine crashes and of restarts of all routers.
	Crash, Restart []time.Duration
	// Add is when an engine is added, Excess when one team starts to send more; 0 means never.
	Add, Excess time.Duration
	// ReportLag is the age of load reports at their arrival, 250 ms if 0.
	ReportLag time.Duration
	// EventLag is the mean delay of cache events, 300 ms if 0; EventLoss is the share of lost batches, 1% if 0.
	EventLag  time.Duration
	EventLoss float64
	// Forgetful engines do not retain events for new readers.
	Forgetful bool
}

func (c Case) reportLag() time.Duration {
	if c.ReportLag == 0 {
		return 250 * time.Millisecond
	}
	return c.ReportLag
}

func (c Case) events() (time.Duration, float64) {
	if c.EventLag == 0 {
		return 300 * time.Millisecond, 0.01
	}
	return c.EventLag, c.EventLoss
}

// Cases returns the cases of section 8 of the design, and the restart once more without retained events.
func Cases() []Case {
	at := func(seconds ...float64) []time.Duration {
		var d []time.Duration
		for _, s := range seconds {
			d = append(d, time.Duration(s*float64(time.Second)))
		}
		return d
	}
	return []Case{
		{Name: "steady", About: "nothing changes"},
		{Name: "shift", About: "the hot prefixes and the popular contexts change every 8 s", Shift: true},
		{Name: "crash", About: "an engine crashes every 10 s and returns after 4 s", Crash: at(15, 25, 35, 45, 55)},
		{Name: "events", About: "30% of the event batches are lost, the others 3 s late", EventLag: 3 * time.Second,
			EventLoss: 0.3},
		{Name: "restart", About: "all routers restart every 10 s", Restart: at(15, 25, 35, 45, 55)},
		{Name: "restart-dry", About: "the same, and engines retain no events", Restart: at(15, 25, 35, 45, 55), Forgetful: true},
		{Name: "added", About: "an engine joins after 20 s", Add: 20 * time.Second},
		{Name: "excess", About: "after 20 s a team sends 6 times its usual requests", Excess: 20 * time.Second},
		{Name: "lag", About: "load reports are 2 s old", ReportLag: 2 * time.Second},
	}
}

// Policies returns the baselines, the router's policy and the oracle.
func Policies() []Policy {
	var all []Policy
	for _, p := range place.Policies() {
		all = append(all, Policy{Name: p.Name, New: func(*world) qm.Placer { return p.New() }})
	}
	return append(all, Policy{Name: "oracle", Pool: true, New: func(w *world) qm.Placer { return &oracle{w} }})
}
