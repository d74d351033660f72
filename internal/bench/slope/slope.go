// Package slope measures how the cost of a router's parts grows with their size, for docs/CAPACITY.md.
//
// The measures of each part are in a file of their own and are listed by All. Times are medians of several rounds on
// one processor. They depend on the machine and on its other load.
package slope

import (
	"runtime"
	"sort"
	"time"
)

// Measure describes one measurement.
type Measure struct {
	// Name is the key in the JSON output.
	Name string
	// About says what is measured and what is left out.
	About string
	// X and Y name the size and the cost with their units.
	X, Y string
	// Sizes are the sizes to measure at.
	Sizes []float64
	// Cost measures the cost at one size, in the unit that Y names.
	Cost func(size float64) float64
}

// Point is the cost at one size.
type Point struct{ X, Y float64 }

// Slope is the result of a measure: Y = Base + PerX * X, fitted by least squares.
type Slope struct {
	Name, X, Y string
	Points     []Point
	Base, PerX float64
}

// All returns the measures of all parts. Claims and the exchange between routers are measured by tests on a fake clock,
// which docs/CAPACITY.md names.
func All() []Measure {
	var all []Measure
	all = append(all, placementMeasures()...)
	all = append(all, controlMeasures()...)
	return all
}

// Run runs a measure at all its sizes.
func Run(m Measure) Slope {
	s := Slope{Name: m.Name, X: m.X, Y: m.Y}
	for _, x := range m.Sizes {
		s.Points = append(s.Points, Point{X: x, Y: m.Cost(x)})
	}
	s.Base, s.PerX = Fit(s.Points)
	return s
}

// Fit returns the intercept and slope of the least squares line through points.
func Fit(points []Point) (base, perX float64) {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		n, sumX, sumY, sumXX, sumXY = n+1, sumX+p.X, sumY+p.Y, sumXX+p.X*p.X, sumXY+p.X*p.Y
	}
	if determinant := n*sumXX - sumX*sumX; determinant != 0 {
		perX = (n*sumXY - sumX*sumY) / determinant
	}
	return (sumY - perX*sumX) / n, perX
}

const (
	// timedRounds is the number of timed rounds, of which the median counts. Each takes at least minRoundTime.
	timedRounds  = 5
	minRoundTime = 20 * time.Millisecond
)

// NanosecondsPerCall returns the median time of one call of f in nanoseconds. f gets the number of the call.
func NanosecondsPerCall(f func(i int)) float64 {
	calls, i := 1, 0
	var times []float64
	for len(times) < timedRounds {
		start := time.Now()
		for range calls {
			f(i)
			i++
		}
		elapsed := time.Since(start)
		if elapsed < minRoundTime {
			calls *= 2
			continue
		}
		times = append(times, float64(elapsed.Nanoseconds())/float64(calls))
	}
	sort.Float64s(times)
	return times[timedRounds/2]
}

// HeapBytes returns the heap bytes that the result of build keeps in use.
func HeapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
