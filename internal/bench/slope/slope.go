// Package slope measures how the cost of a router's parts grows with their size, for docs/CAPACITY.md.
//
// Each part adds its measures in a file of its own to All. Times are medians of several rounds on one processor; they depend
// on the machine and on what else runs there.
package slope

import (
	"runtime"
	"sort"
	"time"
)

// Measure documents one measurement and takes it.
type Measure struct {
	// Name is the key in the JSON output.
	Name string
	// About says what is measured and what is left out.
	About string
	// X and Y name the size and the cost with their units.
	X, Y string
	// Sizes are the sizes at which Cost is called.
	Sizes []float64
	Cost  func(size float64) float64
}

// Point is the cost at one size.
type Point struct{ X, Y float64 }

// Slope is the outcome of a measure: Y = Base + PerX * X, by least squares.
type Slope struct {
	Name, X, Y string
	Points     []Point
	Base, PerX float64
}

// All returns the measures of all parts. Claims and the exchange between routers are measured by tests on the fake clock, which
// docs/CAPACITY.md names.
func All() []Measure {
	var all []Measure
	all = append(all, placement()...)
	all = append(all, control()...)
	return all
}

// Take runs a measure.
func Take(m Measure) Slope {
	s := Slope{Name: m.Name, X: m.X, Y: m.Y}
	for _, x := range m.Sizes {
		s.Points = append(s.Points, Point{X: x, Y: m.Cost(x)})
	}
	s.Base, s.PerX = Fit(s.Points)
	return s
}

// Fit returns the line through points with the least squared error.
func Fit(points []Point) (base, perX float64) {
	var n, x, y, xx, xy float64
	for _, p := range points {
		n, x, y, xx, xy = n+1, x+p.X, y+p.Y, xx+p.X*p.X, xy+p.X*p.Y
	}
	if d := n*xx - x*x; d != 0 {
		perX = (n*xy - x*y) / d
	}
	return (y - perX*x) / n, perX
}

const (
	// rounds is the number of timed rounds of which the median counts, roundTime the least time of each.
	rounds    = 5
	roundTime = 20 * time.Millisecond
)

// Nanoseconds returns the time of one call of f, which gets the number of the call.
func Nanoseconds(f func(i int)) float64 {
	calls, i := 1, 0
	var times []float64
	for len(times) < rounds {
		begin := time.Now()
		for range calls {
			f(i)
			i++
		}
		took := time.Since(begin)
		if took < roundTime {
			calls *= 2
			continue
		}
		times = append(times, float64(took.Nanoseconds())/float64(calls))
	}
	sort.Float64s(times)
	return times[rounds/2]
}

// Bytes returns the heap that the result of build keeps in use.
func Bytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
