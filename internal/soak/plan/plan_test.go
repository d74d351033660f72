package plan_test

import (
	"cmp"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"quetzalmount.dev/quetzalmount/internal/soak/plan"
)

var update = flag.Bool("update", false, "write golden files")

// TestNew checks that a seed still generates the same plan, so that recorded seeds reproduce their failures.
func TestNew(t *testing.T) {
	var b strings.Builder
	for _, s := range plan.New(7, 15*time.Second, 12) {
		b.WriteString(s.String() + "\n")
	}
	file := filepath.Join("testdata", "seed-7.txt")
	if *update {
		if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := gocmp.Diff(string(want), b.String()); diff != "" {
		t.Errorf("the plan of seed 7 differs (-want +got):\n%s", diff)
	}
}

// TestKinds checks that every kind occurs in the plans.
func TestKinds(t *testing.T) {
	counts := map[plan.Kind]int{}
	for seed := range uint64(100) {
		for _, s := range plan.New(seed, 15*time.Second, 12) {
			counts[s.Kind]++
		}
	}
	for _, k := range []plan.Kind{
		plan.RouterKill, plan.RouterStop, plan.RouterFreeze, plan.RouterReload, plan.RoutersRoll, plan.RoutersKill, plan.EngineKill,
		plan.EngineRestart, plan.EngineDrain, plan.EngineFreeze, plan.EngineFault, plan.StoreOutage, plan.StoreTrim, plan.StoreLink,
		plan.EngineLink, plan.CallerLink, plan.Configure, plan.Weights,
	} {
		if counts[k] < 10 {
			t.Errorf("kind %s occurs %d times in 100 plans, want at least 10", k, counts[k])
		}
	}
}

// TestWith checks that each addition to a plan has its steps in order of time, within the duration, and leaves the other steps as they are.
func TestWith(t *testing.T) {
	const duration = 15 * time.Second
	for name, tt := range map[string]struct {
		add      func([]plan.Step, uint64, time.Duration) []plan.Step
		kind     plan.Kind
		min, max int
		// modes are the modes that occur in at least five of the plans.
		modes []string
	}{
		"overload":       {plan.WithOverload, plan.EnginesOverload, 1, 1, nil},
		"silence":        {plan.WithSilence, plan.EngineSilence, 1, 3, []string{plan.OneEngine, plan.AllEngines}},
		"restores":       {plan.WithRestores, plan.StoreRestore, 1, 3, []string{plan.ReadsCut, plan.ReadsSilenced}},
		"configurations": {plan.WithConfigurations, plan.Configure, 1, 8, nil},
	} {
		t.Run(name, func(t *testing.T) {
			counts := map[string]int{}
			for seed := range uint64(20) {
				steps := slices.DeleteFunc(plan.New(seed, duration, 12), func(s plan.Step) bool { return s.Kind == tt.kind })
				with := tt.add(slices.Clone(steps), seed, duration)
				if !slices.IsSortedFunc(with, func(a, b plan.Step) int { return cmp.Compare(a.At, b.At) }) {
					t.Errorf("seed %d: steps are not in order of time", seed)
				}
				n := len(with)
				rest := slices.DeleteFunc(with, func(s plan.Step) bool {
					if s.Kind == tt.kind {
						counts[s.Mode]++
					}
					return s.Kind == tt.kind
				})
				if diff := gocmp.Diff(steps, rest); diff != "" || n-len(rest) < tt.min || n-len(rest) > tt.max {
					t.Errorf("seed %d: %d steps of kind %s, other steps (-want +got):\n%s", seed, n-len(rest), tt.kind, diff)
				}
			}
			for _, m := range tt.modes {
				if counts[m] < 5 {
					t.Errorf("mode %s occurs %d times in 20 plans", m, counts[m])
				}
			}
		})
	}
}
