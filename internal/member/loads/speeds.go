package loads

import (
	"math"
	"slices"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

const (
	// speedTime is the time constant with which first tokens count for the speed of an endpoint. All routers together send an engine a prompt or two
	// a second.
	speedTime = 20 * time.Second
	// speedRounds is the number of rounds of exchanges of which one carries speeds.
	speedRounds = 20
	// maxSpeedAge is the age up to which the speeds that another router reported are used.
	maxSpeedAge = 10 * time.Second
	// minSpeedSamples is the number of first tokens from which on the speed of an endpoint is known: the error of its logarithm is a fifth then.
	minSpeedSamples = 16
	// keepSpeedSamples is the number below which an endpoint counts as one like the others again: one that was slow gets little, and would not be
	// measured any more.
	keepSpeedSamples = 4
	// speedStep is the ratio of two successive values of the slowness, and keepSpeedStep the part of a step that an endpoint must be off its last value
	// for another one.
	speedStep     = math.Sqrt2
	keepSpeedStep = 0.75
	// minSpread is the ratio of the slowness of the slowest endpoints to that of the fastest, without a tenth of each, from which on the differences are
	// used. Below it they are hardly above the noise, and moving prefixes to other endpoints costs more than it gives. They are used until the ratio
	// falls below keepSpread: fast endpoints get more prompts and take longer for it, and all prefixes would move to and fro.
	minSpread  = 2
	keepSpread = 1.25
	// maxSpeedSteps bounds the slowness: an endpoint that is four times as slow as the others gets hardly anything.
	maxSpeedSteps = 4
)

// speedSum is the sum of the logarithms of times over the expected ones.
type speedSum struct{ samples, logSum float64 }

// speedByEndpoint is the sum for each endpoint.
type speedByEndpoint map[qm.EndpointID]speedSum

func (s speedByEndpoint) add(more speedByEndpoint, f float64) {
	for id, m := range more {
		old := s[id]
		s[id] = speedSum{old.samples + f*m.samples, old.logSum + f*m.logSum}
	}
}

// speeds is what this router and others have measured. It is not safe for concurrent use.
type speeds struct {
	own   speedByEndpoint
	ownAt time.Time
	// fromRouters, fromCells and fromCollector are like those of Tracker.
	fromRouters, fromCells, fromCollector map[qm.InstanceID]speedReport
	// steps holds the last values of the slowness, in steps. uneven is set while the endpoints are taken to differ.
	steps  map[qm.EndpointID]int
	uneven bool
	round  int
}

type speedReport struct {
	at     time.Time
	speeds speedByEndpoint
}

func newSpeeds() *speeds {
	return &speeds{
		own: speedByEndpoint{}, fromRouters: map[qm.InstanceID]speedReport{}, fromCells: map[qm.InstanceID]speedReport{},
		fromCollector: map[qm.InstanceID]speedReport{}, steps: map[qm.EndpointID]int{},
	}
}

// RecordSpeed records that a first token took ratio times the expected time.
func (t *Tracker) RecordSpeed(id qm.EndpointID, ratio float64, now time.Time) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.speeds
	s.decay(now)
	s.own.add(speedByEndpoint{id: {1, math.Log(ratio)}}, 1)
}

// decay ages the own sums to now and forgets those of endpoints that are not used any more.
func (s *speeds) decay(now time.Time) {
	f := math.Exp(-now.Sub(s.ownAt).Seconds() / speedTime.Seconds())
	s.ownAt = now
	for id, m := range s.own {
		if m.samples *= f; m.samples < 0.01 {
			delete(s.own, id)
			continue
		}
		s.own[id] = speedSum{m.samples, m.logSum * f}
	}
}

// sum returns the sums of this router and others: with cells those of the routers and cells that report to a collector, else those of all routers or of
// the collector.
func (s *speeds) sum(now time.Time, except qm.InstanceID, from ...map[qm.InstanceID]speedReport) speedByEndpoint {
	s.decay(now)
	out := speedByEndpoint{}
	out.add(s.own, 1)
	for _, reports := range from {
		for id, r := range reports {
			age := now.Sub(r.at)
			if age > maxSpeedAge {
				delete(reports, id)
			} else if id != except {
				out.add(r.speeds, math.Exp(-age.Seconds()/speedTime.Seconds()))
			}
		}
	}
	return out
}

// store keeps the speeds in a message of another router, if it has any.
func (s *speeds) store(m *peerpb.LoadShare, isAnswer bool) {
	if len(m.GetSpeeds()) == 0 {
		return
	}
	r := speedReport{time.Now(), make(speedByEndpoint, len(m.GetSpeeds()))}
	for _, e := range m.GetSpeeds() {
		if v := (speedSum{e.GetSamples(), e.GetLogSum()}); v.samples > 0 && !math.IsNaN(v.logSum) && !math.IsInf(v.logSum, 0) {
			r.speeds[qm.EndpointID(e.GetEndpoint())] = v
		}
	}
	switch id := qm.InstanceID(m.GetInstance()); {
	case m.GetScope() == peerpb.LoadScope_LOAD_SCOPE_CELL:
		s.fromCells[id] = r
	case m.GetScope() == peerpb.LoadScope_LOAD_SCOPE_MEMBER && isAnswer:
		clear(s.fromCollector)
		s.fromCollector[id] = r
	default:
		s.fromRouters[id] = r
	}
}

// attachSpeeds adds speeds to a message of the given scope. to is the router that it is sent to as an answer, empty for a request. The caller holds mu.
func (t *Tracker) attachSpeeds(m *peerpb.LoadShare, to qm.InstanceID) *peerpb.LoadShare {
	now := time.Now()
	var sum speedByEndpoint
	switch {
	case m.GetScope() == peerpb.LoadScope_LOAD_SCOPE_CELL:
		sum = t.speeds.sum(now, "", t.speeds.fromRouters)
	case m.GetScope() == peerpb.LoadScope_LOAD_SCOPE_MEMBER && to != "":
		sum = t.speeds.sum(now, to, t.speeds.fromRouters, t.speeds.fromCells)
	default:
		sum = t.speeds.sum(now, "")
	}
	for id, v := range sum {
		m.Speeds = append(m.Speeds, &peerpb.EndpointSpeed{Endpoint: string(id), Samples: v.samples, LogSum: v.logSum})
	}
	return m
}

// slowness returns how many times as long as the median endpoint each endpoint takes, without those that take as long. The caller holds mu.
func (t *Tracker) slowness(others int, now time.Time) map[qm.EndpointID]float64 {
	s := t.speeds
	switch {
	case !t.usesCells(others):
		// A router of a small system sends enough to each engine to learn its speed.
		return nil
	case t.isCollector:
		return s.update(s.sum(now, "", s.fromRouters, s.fromCells))
	}
	return s.update(s.sum(now, "", s.fromCollector))
}

// update derives the steps of the endpoints from sums of all routers.
func (s *speeds) update(sums speedByEndpoint) map[qm.EndpointID]float64 {
	var means []float64
	for _, m := range sums {
		if m.samples >= minSpeedSamples {
			means = append(means, m.logSum/m.samples)
		}
	}
	slices.Sort(means)
	least := math.Log(minSpread)
	if s.uneven {
		least = math.Log(keepSpread)
	}
	n := len(means)
	if s.uneven = n > 0 && means[n-1-n/10]-means[n/10] >= least; !s.uneven {
		clear(s.steps)
	} else {
		median := means[n/2]
		for id, m := range sums {
			if m.samples < keepSpeedSamples {
				s.steps[id] = 0
			}
			if m.samples < minSpeedSamples {
				continue
			}
			steps := (m.logSum/m.samples - median) / math.Log(speedStep)
			if math.Abs(steps-float64(s.steps[id])) > keepSpeedStep {
				s.steps[id] = int(math.Round(math.Max(-maxSpeedSteps, math.Min(maxSpeedSteps, steps))))
			}
		}
	}
	out := map[qm.EndpointID]float64{}
	for id, n := range s.steps {
		if _, ok := sums[id]; !ok {
			delete(s.steps, id) // the endpoint is gone, or nothing has been sent to it for long
		} else if n != 0 {
			out[id] = math.Pow(speedStep, float64(n))
		}
	}
	return out
}
