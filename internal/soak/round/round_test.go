package round_test

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/soak/fleet"
	"quetzalmount.dev/quetzalmount/internal/soak/round"
)

// regressionSeed is a seed that has violated a guarantee before. If all is true, its round had an overload, pauses of engines and drawn
// configurations too, and if restore is true, returns of the store from a copy.
type regressionSeed struct {
	seed         uint64
	all, restore bool
}

// regressionSeeds reads the seeds from a file with one seed and its cause a line. A + after the seed stands for regressionSeed.all, and ++ for
// restore too.
func regressionSeeds(t *testing.T) []regressionSeed {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", "seeds.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var out []regressionSeed
	for s := bufio.NewScanner(f); s.Scan(); {
		number, _, _ := strings.Cut(s.Text(), " ")
		if number == "" || number == "#" {
			continue
		}
		number, restore := strings.CutSuffix(number, "++")
		number, all := strings.CutSuffix(number, "+")
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			t.Fatalf("line %q: %v", s.Text(), err)
		}
		out = append(out, regressionSeed{n, all || restore, restore})
	}
	return out
}

// concurrentRounds is the number of rounds at the same time. Each has some 15 processes.
const concurrentRounds = 4

// TestShort runs short rounds with fixed seeds, one of them with an overload, one with pauses of engines and drawn configurations too, and one with
// returns of the store from a copy, and full rounds with the seeds that have violated a guarantee before.
func TestShort(t *testing.T) {
	bin := t.TempDir()
	if err := fleet.Build(t.Context(), bin); err != nil {
		t.Fatal(err)
	}
	slots := make(chan struct{}, concurrentRounds)
	run := func(seed uint64, duration time.Duration, maxFaults int, overload, all, restore bool) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			// The logs of a failed round must outlive the test, in a directory of their own for each run.
			logs, err := os.MkdirTemp("", "quetzalmount-soak")
			if err != nil {
				t.Fatal(err)
			}
			r, err := round.Run(round.Options{
				Seed: seed, Bin: bin, Dir: logs, Duration: duration, MaxFaults: maxFaults, Routers: 3, Engines: 3, PlainProcesses: 2, Callers: 12, Overload: overload || all, Silence: all, Reconfigure: all, Restore: restore,
			})
			if err != nil || len(r.Violations) > 0 {
				t.Errorf("%v %v\n%s", r, err, strings.Join(r.Violations, "\n"))
			}
		})
	}
	run(1, 5*time.Second, 6, false, false, false)
	run(2, 10*time.Second, 6, true, false, false)
	run(3, 10*time.Second, 6, true, true, false)
	run(4, 10*time.Second, 6, false, false, true)
	for _, s := range regressionSeeds(t) {
		run(s.seed, 15*time.Second, 16, false, s.all, s.restore)
	}
}
