package server

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
)

// monitorInterval is the time between two updates of the gauges. Operators need a resolution of seconds.
const monitorInterval = time.Second

// monitor periodically exports the state of the components as gauges, and logs when a fault condition begins or ends.
type monitor struct {
	components *components
	log        logr.Logger
	scope      tally.Scope
	loop       *period.Loop
	// active reports, by name, which conditions were present at the last update.
	active map[string]bool
}

func newMonitor(ctx context.Context, c *components) *monitor {
	m := &monitor{components: c, log: c.log.WithName("monitor"), scope: c.meter.Scope(), active: make(map[string]bool)}
	m.loop = period.New(ctx, monitorInterval, func(context.Context) { m.update() })
	return m
}

func (m *monitor) close() { m.loop.Close() }

func (m *monitor) update() {
	c := m.components
	listed, err := c.roster.ListStatus()
	m.setCondition("instance list cannot be read", !listed || err != nil, err)
	state := c.config.State()
	m.setCondition("no configuration table yet", state.Offset == 0, nil)
	m.setCondition("configuration records were dropped before they were read", state.HasGap, nil)
	m.setGauge("table_offset", int(state.Offset))
	m.setGauge("table_alerts", int(state.Alerts))
	m.setGauge("command_alerts", int(c.orders.Alerts()))
	m.setGauge("endpoints_failing", c.health.Failing())
	members, _ := c.board.Members.Load()
	live := 0
	for _, member := range members {
		if member.State == qm.Live {
			live++
		}
	}
	m.setGauge("instances", len(members))
	m.setGauge("instances_live", live)
	m.updateLiveEndpoints()
}

// updateLiveEndpoints sets the gauges of live endpoints by kind.
func (m *monitor) updateLiveEndpoints() {
	endpoints, _ := m.components.board.Endpoints.Load()
	live := map[qm.EndpointKind]int{qm.KindEngine: 0, qm.KindService: 0}
	for _, e := range endpoints {
		if _, ok := live[e.Kind]; ok && e.State == qm.Live {
			live[e.Kind]++
		}
	}
	for kind, n := range live {
		m.scope.Tagged(map[string]string{"kind": string(kind)}).Gauge("endpoints_live").Update(float64(n))
	}
}

func (m *monitor) setGauge(name string, v int) { m.scope.Gauge(name).Update(float64(v)) }

// setCondition logs if a condition has begun or ended since the last update. cause may be nil.
func (m *monitor) setCondition(name string, active bool, cause error) {
	if active == m.active[name] {
		return
	}
	m.active[name] = active
	if active {
		m.log.Error(cause, name)
		return
	}
	m.log.Info("over: " + name)
}
