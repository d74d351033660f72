package slope

import (
	"math"
	"testing"
)

// TestFit guards against wrong slopes, which the capacity figures are derived from.
func TestFit(t *testing.T) {
	base, perX := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	if math.Abs(base-3) > 1e-9 || math.Abs(perX-2) > 1e-9 {
		t.Errorf("line = %g + %g x, want 3 + 2 x", base, perX)
	}
}

// TestAll guards against measures without a description, and against a cost that isn't positive at the smallest size.
func TestAll(t *testing.T) {
	for _, m := range All() {
		if m.Name == "" || m.About == "" || m.X == "" || m.Y == "" || len(m.Sizes) < 3 {
			t.Errorf("measure %+v is not documented or has too few sizes", m)
		}
		if got := m.Cost(m.Sizes[0]); got <= 0 {
			t.Errorf("%s at %g = %g %s", m.Name, m.Sizes[0], got, m.Y)
		}
	}
}
