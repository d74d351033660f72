package trial

import (
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/place"
)

const (
	// TrafficTime is the virtual time in which requests arrive. Those of the first warmUpTime aren't measured.
	TrafficTime = 60 * time.Second
	warmUpTime  = 10 * time.Second
	// drainTime is how long a run continues after TrafficTime, to empty the queues.
	drainTime = 60 * time.Second
)

// Case is a scenario that policies are compared in. Times are since the start of the run.
type Case struct {
	Name string
	// Description says what happens.
	Description string
	// ShiftPopularity changes the popular prefixes every shiftInterval.
	ShiftPopularity bool
	// CrashTimes and RestartTimes are the times of engine crashes and of restarts of all routers.
	CrashTimes, RestartTimes []time.Duration
	// AddEngineAt is when an engine is added, ExcessFrom when one team starts to send more. 0 means never.
	AddEngineAt, ExcessFrom time.Duration
	// ReportLag is the age of load reports at their arrival, 250 ms if 0.
	ReportLag time.Duration
	// EventLag is the mean delay of cache events, 300 ms if 0. EventLoss is the fraction of lost batches, 1% if 0.
	EventLag  time.Duration
	EventLoss float64
	// NoEventRetention means that engines don't retain cache events for new readers.
	NoEventRetention bool
}

func (c Case) reportLag() time.Duration {
	if c.ReportLag == 0 {
		return 250 * time.Millisecond
	}
	return c.ReportLag
}

// eventDelivery returns the mean delay of cache events and the fraction of lost batches.
func (c Case) eventDelivery() (time.Duration, float64) {
	if c.EventLag == 0 {
		return 300 * time.Millisecond, 0.01
	}
	return c.EventLag, c.EventLoss
}

// Cases returns the cases of section 8 of docs/design.md, and the case restart once more without retained events.
func Cases() []Case {
	at := func(seconds ...float64) []time.Duration {
		var d []time.Duration
		for _, s := range seconds {
			d = append(d, time.Duration(s*float64(time.Second)))
		}
		return d
	}
	return []Case{
		{Name: "steady", Description: "nothing changes"},
		{Name: "shift", Description: "the hot prefixes and the popular contexts change every 8 s", ShiftPopularity: true},
		{Name: "crash", Description: "an engine crashes every 10 s and returns after 4 s",
			CrashTimes: at(15, 25, 35, 45, 55)},
		{Name: "events", Description: "30% of the event batches are lost, the others 3 s late", EventLag: 3 * time.Second,
			EventLoss: 0.3},
		{Name: "restart", Description: "all routers restart every 10 s", RestartTimes: at(15, 25, 35, 45, 55)},
		{Name: "restart-dry", Description: "the same, and engines retain no events",
			RestartTimes: at(15, 25, 35, 45, 55), NoEventRetention: true},
		{Name: "added", Description: "an engine joins after 20 s", AddEngineAt: 20 * time.Second},
		{Name: "excess", Description: "after 20 s a team sends 6 times its usual requests", ExcessFrom: 20 * time.Second},
		{Name: "lag", Description: "load reports are 2 s old", ReportLag: 2 * time.Second},
	}
}

// Policies returns the baselines, the router's policy and the oracle, in this order.
func Policies() []Policy {
	var all []Policy
	for _, p := range place.Policies() {
		all = append(all, Policy{Name: p.Name, New: func(*simulation) qm.Placer { return p.New() }})
	}
	return append(all, Policy{Name: "oracle", SharedCache: true, New: func(s *simulation) qm.Placer { return &oracle{s} }})
}
