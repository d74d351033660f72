package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// TestSlowEngines guards against slow engines that are the homes of as many prefixes as fast ones, and against homes that move where no speeds are known.
func TestSlowEngines(t *testing.T) {
	homes := func(slowness func(i int) float64) map[qm.EndpointID]int {
		p, now, out := New(Defaults()), start, map[qm.EndpointID]int{}
		var engines []*qm.Endpoint
		for i := range 9 {
			engines = append(engines, &qm.Endpoint{
				ID: qm.EndpointID(fmt.Sprint("e", i)), Group: "g", State: qm.Live, Incarnation: "1", ReportedAt: now,
				Load: qm.Load{Slots: 32, Slowness: slowness(i)},
			})
		}
		for key := range 900 {
			r := &qm.PlaceRequest{PromptTokens: 9000, Spans: []qm.PrefixSpan{{Key: qm.PrefixKey(key) * 0x9e3779b97f4a7c15, End: 6000}, {Key: qm.PrefixKey(key), End: 9000}}}
			if d, ok := p.Place(r, engines, now.Add(time.Duration(key)*time.Millisecond), rand.New(rand.NewPCG(1, 1))); ok {
				out[d.Endpoint.ID]++
			}
		}
		return out
	}
	equal := homes(func(int) float64 { return 0 })
	uneven := homes(func(i int) float64 { return []float64{1.41, 0, 0.71}[i%3] })
	sums := [3]int{}
	for i := range 9 {
		id := qm.EndpointID(fmt.Sprint("e", i))
		sums[i%3] += uneven[id]
		if n := equal[id]; n < 50 || n > 160 {
			t.Errorf("%s is the home of %d of 900 prefixes, want about 100", id, n)
		}
	}
	if sums[0]*2 > sums[1] || sums[1]*3 > sums[2]*2 {
		t.Errorf("slow, mean and fast engines are the homes of %v prefixes", sums)
	}
}
