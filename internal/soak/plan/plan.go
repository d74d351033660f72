// Package plan draws what goes wrong in one round of the soak from a seed.
package plan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of trouble.
type Kind string

// Kinds of trouble. Those of routers and engines name one by its number, which is counted around among those that run.
const (
	RouterKill   Kind = "RouterKill"
	RouterStop   Kind = "RouterStop"
	RouterFreeze Kind = "RouterFreeze"
	RouterReload Kind = "RouterReload"
	// RoutersRoll stops and starts all routers in turn, RoutersKill kills all at once.
	RoutersRoll Kind = "RoutersRoll"
	RoutersKill Kind = "RoutersKill"
	// EngineKill kills an engine, in whose place another one comes; EngineRestart starts it again under its name.
	EngineKill    Kind = "EngineKill"
	EngineRestart Kind = "EngineRestart"
	EngineDrain   Kind = "EngineDrain"
	EngineFreeze  Kind = "EngineFreeze"
	EngineFault   Kind = "EngineFault"
	StoreOutage   Kind = "StoreOutage"
	StoreTrim     Kind = "StoreTrim"
	// StoreLink, EngineLink and CallerLink harm the link of one router to the store, of all to one engine, and of callers to one router.
	StoreLink  Kind = "StoreLink"
	EngineLink Kind = "EngineLink"
	CallerLink Kind = "CallerLink"
	Configure  Kind = "Configure"
	Weights    Kind = "Weights"
)

// Ways in which a link is harmed.
const (
	Delayed  = "Delayed"
	Reset    = "Reset"
	CutUp    = "CutUp"
	CutDown  = "CutDown"
	Silenced = "Silenced"
	Refused  = "Refused"
)

var harms = []string{Delayed, Reset, CutUp, CutDown, Silenced, Refused}

// kinds lists each kind with its weight, the ways in which it comes and its longest time; 0 for one that takes no time.
var kinds = []struct {
	kind   Kind
	weight int
	ways   []string
	most   time.Duration
	// series is the most times that it comes in a row.
	series int
}{
	{RouterKill, 4, nil, time.Second, 2},
	{RouterStop, 4, nil, 0, 2},
	{RouterFreeze, 4, nil, 4 * time.Second, 2},
	{RouterReload, 2, nil, 0, 4},
	{RoutersRoll, 1, nil, time.Second, 1},
	{RoutersKill, 1, nil, time.Second, 1},
	{EngineKill, 3, nil, time.Second, 1},
	{EngineRestart, 2, nil, time.Second, 1},
	{EngineDrain, 4, nil, time.Second, 2},
	{EngineFreeze, 2, nil, 3 * time.Second, 1},
	{EngineFault, 4, []string{"Refuses", "Loses", "Cuts", "Hangs", "Spoils"}, 4 * time.Second, 1},
	{StoreOutage, 4, []string{"Down", "Slow", "Lost"}, 6 * time.Second, 2},
	{StoreTrim, 1, nil, 0, 1},
	{StoreLink, 4, harms, 6 * time.Second, 2},
	{EngineLink, 4, harms, 4 * time.Second, 2},
	{CallerLink, 2, harms, 2 * time.Second, 1},
	{Configure, 6, nil, 0, 4},
	{Weights, 3, nil, 0, 2},
}

// seriesGap is the longest time between two troubles of a series.
const seriesGap = 1500 * time.Millisecond

// Step is one trouble.
type Step struct {
	At     time.Duration
	Kind   Kind
	Target int
	// For is how long it lasts, or the pause before what was ended starts again.
	For time.Duration
	How string
}

// String describes the step in one line.
func (s Step) String() string {
	return fmt.Sprintf("%6d ms %s %d %s for %d ms", s.At.Milliseconds(), s.Kind, s.Target, s.How, s.For.Milliseconds())
}

// least is the least number of troubles of a round. Promises with a time bound hold only where nothing else is wrong, so that rounds with
// few troubles check what those with many can't.
const least = 2

// New draws the troubles of a round that lasts for length, at most count of them. Series count once.
func New(seed uint64, length time.Duration, count int) []Step {
	rnd := rand.New(rand.NewPCG(seed, seed))
	count = min(count, least+rnd.IntN(max(1, count)))
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	var out []Step
	for range count {
		n, i := rnd.IntN(total), 0
		for ; n >= kinds[i].weight; i++ {
			n -= kinds[i].weight
		}
		k := kinds[i]
		at := time.Duration(rnd.Int64N(int64(length)))
		for range 1 + rnd.IntN(k.series) {
			s := Step{At: at, Kind: k.kind, Target: rnd.IntN(1 << 16)}
			if k.most > 0 {
				s.For = k.most/20 + time.Duration(rnd.Int64N(int64(k.most)))
			}
			if len(k.ways) > 0 {
				s.How = k.ways[rnd.IntN(len(k.ways))]
			}
			out = append(out, s)
			at += time.Duration(rnd.Int64N(int64(seriesGap)))
		}
	}
	slices.SortStableFunc(out, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return out
}
