package server

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
)

// monitorEvery is the time between two looks of the monitor. Operators need seconds, not less.
const monitorEvery = time.Second

// monitor turns the state of the parts into gauges, and into a log line whenever a condition begins or ends.
type monitor struct {
	parts *parts
	log   logr.Logger
	scope tally.Scope
	loop  *period.Loop
	// holds has the conditions that held at the last look.
	holds map[string]bool
}

func newMonitor(ctx context.Context, p *parts) *monitor {
	m := &monitor{parts: p, log: p.log.WithName("monitor"), scope: p.meter.Scope(), holds: make(map[string]bool)}
	m.loop = period.New(ctx, monitorEvery, func(context.Context) { m.look() })
	return m
}

func (m *monitor) close() { m.loop.Close() }

func (m *monitor) look() {
	p := m.parts
	listed, err := p.roster.ListStatus()
	m.condition("instance list cannot be read", !listed || err != nil, err)
	state := p.config.State()
	m.condition("no configuration table yet", state.Offset == 0, nil)
	m.condition("configuration records were dropped before they were read", state.Lost, nil)
	m.gauge("table_offset", int(state.Offset))
	m.gauge("table_alerts", int(state.Alerts))
	m.gauge("command_alerts", int(p.orders.Alerts()))
	m.gauge("endpoints_failing", p.health.Failing())
	members, _ := p.board.Members.Load()
	live := 0
	for _, member := range members {
		if member.State == qm.Live {
			live++
		}
	}
	m.gauge("instances", len(members))
	m.gauge("instances_live", live)
	m.endpoints()
}

// endpoints counts the endpoints of each kind that take work.
func (m *monitor) endpoints() {
	endpoints, _ := m.parts.board.Endpoints.Load()
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

func (m *monitor) gauge(name string, v int) { m.scope.Gauge(name).Update(float64(v)) }

// condition logs when a condition begins or ends.
func (m *monitor) condition(what string, holds bool, cause error) {
	if holds == m.holds[what] {
		return
	}
	m.holds[what] = holds
	if holds {
		m.log.Error(cause, what)
		return
	}
	m.log.Info("over: " + what)
}
