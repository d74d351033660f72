package loads

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// fleetSpeeds plays first tokens at engines of the given slowness, each at a random one of some routers, which exchange their sums as one cell. It returns
// what a collector and a member derive in the end.
func fleetSpeeds(t *testing.T, slowness []float64, routers int, perSecond float64, d time.Duration, noise float64) (collector, member map[qm.EndpointID]float64) {
	rnd := rand.New(rand.NewPCG(1, 9))
	var all []*Tracker
	for i := range routers {
		tr := New(t.Context(), Options{
			Board: board.New(), Self: qm.InstanceID(fmt.Sprint("r", i)), Publish: func(map[qm.EndpointID]qm.Load) {}, Interval: time.Hour, MaxDirect: 2,
		})
		defer tr.Close()
		all = append(all, tr)
	}
	all[0].isCollector = true
	for began := time.Now(); time.Since(began) < d; time.Sleep(2 * time.Second) {
		for range int(2 * perSecond) {
			e := rnd.IntN(len(slowness))
			// A third of the prompts takes twice as long, since less of them is cached than expected.
			ratio := 3 * slowness[e] * math.Exp(noise*rnd.NormFloat64()) * float64(1+rnd.IntN(3)/2)
			all[rnd.IntN(routers)].RecordSpeed(qm.EndpointID(fmt.Sprintf("e%03d", e)), ratio, time.Now())
		}
		for _, tr := range all[1:] {
			tr.mu.Lock()
			request := tr.attachSpeeds(&peerpb.LoadShare{Instance: string(tr.opts.Self), Scope: peerpb.LoadScope_LOAD_SCOPE_MEMBER, WantsSpeeds: true}, "")
			tr.mu.Unlock()
			tr.storeAnswer(all[0].HandleExchange(request))
		}
	}
	derive := func(tr *Tracker) map[qm.EndpointID]float64 {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		return tr.slowness(routers-1, time.Now())
	}
	return derive(all[0]), derive(all[routers-1])
}

// TestSpeeds guards against routers that don't learn which engines are slow because each sends too little, or that don't agree on it: 87 routers, 60 engines
// of three speeds, one or two prompts a second for each engine.
func TestSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slowness := make([]float64, 60)
		for i := range slowness {
			slowness[i] = []float64{1 / 0.6, 1, 1 / 1.6}[i%3]
		}
		collector, member := fleetSpeeds(t, slowness, 87, 100, 40*time.Second, 0.5)
		wrong, different := 0, 0
		for i := range slowness {
			id := qm.EndpointID(fmt.Sprintf("e%03d", i))
			got := collector[id]
			if got == 0 {
				got = 1
			}
			if got > 2*slowness[i] || got < slowness[i]/2 || i%3 == 0 && got <= 1 || i%3 == 2 && got >= 1 {
				wrong++
			}
			if collector[id] != member[id] {
				different++
			}
		}
		if wrong > 6 || different > 6 {
			t.Errorf("of 60 engines the slowness of %d is wrong, and that of %d differs between two routers", wrong, different)
		}
	})
}

// TestEqualSpeeds guards against noise that is taken for a difference in speed, which moves the homes of prefixes for nothing.
func TestEqualSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slowness := make([]float64, 60)
		for i := range slowness {
			slowness[i] = 1
		}
		if got, _ := fleetSpeeds(t, slowness, 30, 60, 40*time.Second, 0.5); len(got) > 0 {
			t.Errorf("%d of 60 equal engines count as faster or slower: %v", len(got), got)
		}
	})
}

// TestSlowEngineRecovers guards against an engine that was slow for some seconds and gets little for ever.
func TestSlowEngineRecovers(t *testing.T) {
	s := newSpeeds()
	sums := speedByEndpoint{}
	for i := range 8 {
		sums[qm.EndpointID(fmt.Sprint(i))] = speedSum{20, 0}
	}
	sums["slow"], sums["slow too"] = speedSum{20, 20 * math.Log(3.5)}, speedSum{20, 20 * math.Log(3.5)}
	if got := s.update(sums)["slow"]; got < 2.5 || got > 5 {
		t.Errorf("slowness %v of an engine that takes 3.5 times as long", got)
	}
	sums["slow"] = speedSum{2, 2 * math.Log(3.5)}
	if got, ok := s.update(sums)["slow"]; ok {
		t.Errorf("slowness %v of an engine to which hardly anything has been sent lately", got)
	}
	sums["slow"], sums["slow too"] = speedSum{20, 0}, speedSum{20, 0}
	if got := s.update(sums); len(got) != 0 {
		t.Errorf("slowness %v after the engine has recovered", got)
	}
}
