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

// seeds returns the seeds that broke a promise once, each with a line on the cause.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", "seeds.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var out []uint64
	for s := bufio.NewScanner(f); s.Scan(); {
		number, _, _ := strings.Cut(s.Text(), " ")
		if number == "" || number == "#" {
			continue
		}
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			t.Fatalf("line %q: %v", s.Text(), err)
		}
		out = append(out, n)
	}
	return out
}

// TestShort plays a short round with a fixed seed, and whole rounds with the seeds that broke a promise once.
func TestShort(t *testing.T) {
	bin := t.TempDir()
	if err := fleet.Build(t.Context(), bin); err != nil {
		t.Fatal(err)
	}
	play := func(seed uint64, length time.Duration, troubles int) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			// The logs of a round that fails stay, apart from those of other runs on this machine.
			logs, err := os.MkdirTemp("", "quetzalmount-soak")
			if err != nil {
				t.Fatal(err)
			}
			r, err := round.Play(round.Options{
				Seed: seed, Bin: bin, Dir: logs, Length: length, Troubles: troubles, Routers: 3, Engines: 3, Desks: 2, Callers: 12,
			})
			if err != nil || len(r.Broken) > 0 {
				t.Errorf("%v %v\n%s", r, err, strings.Join(r.Broken, "\n"))
			}
		})
	}
	play(1, 5*time.Second, 6)
	for _, seed := range seeds(t) {
		play(seed, 15*time.Second, 16)
	}
}
