// Package plan generates the faults of one soak round from a seed.
package plan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or operation.
type Kind string

// Kinds of faults and operations. Those of one router or engine select it by Step.Target modulo the number of running ones.
const (
	RouterKill   Kind = "RouterKill"
	RouterStop   Kind = "RouterStop"
	RouterFreeze Kind = "RouterFreeze"
	RouterReload Kind = "RouterReload"
	// RoutersRoll restarts the routers one after the other; RoutersKill kills all at once.
	RoutersRoll Kind = "RoutersRoll"
	RoutersKill Kind = "RoutersKill"
	// EngineKill kills an engine and starts a new one in its place; EngineRestart kills it and starts it again with the same ID.
	EngineKill    Kind = "EngineKill"
	EngineRestart Kind = "EngineRestart"
	EngineDrain   Kind = "EngineDrain"
	EngineFreeze  Kind = "EngineFreeze"
	EngineFault   Kind = "EngineFault"
	// EnginesOverload makes all engines refuse most requests. See WithOverload.
	EnginesOverload Kind = "EnginesOverload"
	// EngineSilence makes one engine, or all, fall silent at any byte of some exchanges and go on. See WithSilence.
	EngineSilence Kind = "EngineSilence"
	StoreOutage   Kind = "StoreOutage"
	StoreTrim     Kind = "StoreTrim"
	// StoreRestore makes the store return from a copy that is as old as the step's duration. See WithRestores.
	StoreRestore Kind = "StoreRestore"
	// StoreLink is a network fault between one router and the store, EngineLink between all routers and one engine, CallerLink between
	// callers and one router.
	StoreLink  Kind = "StoreLink"
	EngineLink Kind = "EngineLink"
	CallerLink Kind = "CallerLink"
	Configure  Kind = "Configure"
	Weights    Kind = "Weights"
)

// Modes of network faults.
const (
	Delayed  = "Delayed"
	Reset    = "Reset"
	CutUp    = "CutUp"
	CutDown  = "CutDown"
	Silenced = "Silenced"
	Refused  = "Refused"
)

// Modes of EngineSilence.
const (
	OneEngine  = "OneEngine"
	AllEngines = "AllEngines"
)

var linkModes = []string{Delayed, Reset, CutUp, CutDown, Silenced, Refused}

// kinds lists each kind with its weight and its modes. Durations are drawn from durationRange/20 up to 21/20 of durationRange; 0 means
// that the fault has no duration.
var kinds = []struct {
	kind          Kind
	weight        int
	modes         []string
	durationRange time.Duration
	// maxSeries is the largest number of repetitions in a row.
	maxSeries int
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
	{StoreLink, 4, linkModes, 6 * time.Second, 2},
	{EngineLink, 4, linkModes, 4 * time.Second, 2},
	{CallerLink, 2, linkModes, 2 * time.Second, 1},
	{Configure, 6, nil, 0, 4},
	{Weights, 3, nil, 0, 2},
}

// An overload lasts from minOverload to minOverload plus overloadRange.
const (
	minOverload   = time.Second
	overloadRange = 4 * time.Second
)

// A round has 1 to maxSilences times with pauses of engines, each from minSilence to minSilence plus silenceRange long.
const (
	maxSilences  = 3
	minSilence   = 2 * time.Second
	silenceRange = 8 * time.Second
)

// A round has 1 to maxRestores returns of the store from a copy, each minCopyAge to minCopyAge plus copyAgeRange old.
const (
	maxRestores  = 3
	minCopyAge   = 200 * time.Millisecond
	copyAgeRange = 6 * time.Second
)

// Modes of StoreRestore: the reads that wait are cut off, or get no response.
const (
	ReadsCut      = "Cut"
	ReadsSilenced = "Silence"
)

// maxConfigurations is the largest number of changes that WithConfigurations adds.
const maxConfigurations = 8

// maxSeriesGap is the longest time between the starts of two faults of a series.
const maxSeriesGap = 1500 * time.Millisecond

// Step is one fault or operation of a plan.
type Step struct {
	At     time.Duration
	Kind   Kind
	Target int
	// Duration is how long the fault lasts, or the time before a process that was ended is started again.
	Duration time.Duration
	Mode     string
}

// String returns one line for the log of the plan.
func (s Step) String() string {
	return fmt.Sprintf("%6d ms %s %d %s for %d ms", s.At.Milliseconds(), s.Kind, s.Target, s.Mode, s.Duration.Milliseconds())
}

// minFaults is the smallest number of faults of a round. Guarantees with a time bound hold only in the absence of other faults, so rounds
// with few faults check guarantees that rounds with many faults cannot.
const minFaults = 2

// New generates the steps of a round in order of time. They begin within duration, except for the later steps of a series. There are at
// most maxFaults; a series counts once. The same seed and limits always give the same steps.
func New(seed uint64, duration time.Duration, maxFaults int) []Step {
	rnd := rand.New(rand.NewPCG(seed, seed))
	maxFaults = min(maxFaults, minFaults+rnd.IntN(max(1, maxFaults)))
	totalWeight := 0
	for _, k := range kinds {
		totalWeight += k.weight
	}
	var steps []Step
	for range maxFaults {
		n, i := rnd.IntN(totalWeight), 0
		for ; n >= kinds[i].weight; i++ {
			n -= kinds[i].weight
		}
		k := kinds[i]
		at := time.Duration(rnd.Int64N(int64(duration)))
		for range 1 + rnd.IntN(k.maxSeries) {
			s := Step{At: at, Kind: k.kind, Target: rnd.IntN(1 << 16)}
			if k.durationRange > 0 {
				s.Duration = k.durationRange/20 + time.Duration(rnd.Int64N(int64(k.durationRange)))
			}
			if len(k.modes) > 0 {
				s.Mode = k.modes[rnd.IntN(len(k.modes))]
			}
			steps = append(steps, s)
			at += time.Duration(rnd.Int64N(int64(maxSeriesGap)))
		}
	}
	return inOrder(steps)
}

// WithOverload returns steps with an overload of all engines in addition. The plan of New has none, so that known seeds keep theirs.
func WithOverload(steps []Step, seed uint64, duration time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, ^seed))
	return inOrder(append(steps, Step{
		At: time.Duration(rnd.Int64N(int64(duration))), Kind: EnginesOverload, Duration: minOverload + time.Duration(rnd.Int64N(int64(overloadRange))),
	}))
}

// WithSilence returns steps with some times in addition in which engines pause. The plan of New has none, for the same reason.
func WithSilence(steps []Step, seed uint64, duration time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(^seed, seed))
	for range 1 + rnd.IntN(maxSilences) {
		steps = append(steps, Step{
			At: time.Duration(rnd.Int64N(int64(duration))), Kind: EngineSilence, Target: rnd.IntN(1 << 16),
			Duration: minSilence + time.Duration(rnd.Int64N(int64(silenceRange))), Mode: []string{OneEngine, AllEngines}[rnd.IntN(2)],
		})
	}
	return inOrder(steps)
}

// WithConfigurations returns steps with some more changes of the configuration.
func WithConfigurations(steps []Step, seed uint64, duration time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(^seed, ^seed))
	for range 1 + rnd.IntN(maxConfigurations) {
		steps = append(steps, Step{At: time.Duration(rnd.Int64N(int64(duration))), Kind: Configure})
	}
	return inOrder(steps)
}

// WithRestores returns steps with some returns of the store from a copy in addition.
func WithRestores(steps []Step, seed uint64, duration time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed+1, ^seed))
	for range 1 + rnd.IntN(maxRestores) {
		steps = append(steps, Step{
			At: time.Duration(rnd.Int64N(int64(duration))), Kind: StoreRestore, Target: rnd.IntN(1 << 16),
			Duration: minCopyAge + time.Duration(rnd.Int64N(int64(copyAgeRange))), Mode: []string{ReadsCut, ReadsSilenced}[rnd.IntN(2)],
		})
	}
	return inOrder(steps)
}

func inOrder(steps []Step) []Step {
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
