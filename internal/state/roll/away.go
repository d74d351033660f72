package roll

import (
	"math"
	"slices"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// maxAwayFraction is the fraction of a model's engines that may be away while there is time enough.
	maxAwayFraction = 0.4
	// busyReserve multiplies the fraction of the slots in use to give the fraction of the engines that the load needs.
	busyReserve = 1.25
	// boundReserve is the fraction of the time left to the bound that a rollout plans to use. The rest covers lost orders and a change of
	// the leader.
	boundReserve = 0.8
)

// spareEngines returns how many of a model's engines may be away at the same time, i.e. take no requests because they are drained, load,
// or have not been checked since, if there is time enough. busy is the fraction of their slots that is in use.
func spareEngines(engines int, busy float64) int {
	return max(1, int(math.Round(float64(engines)*math.Min(maxAwayFraction, 1-busyReserve*busy))))
}

// neededEngines returns how many engines must be away at the same time so that each outdated one has loaded in the time that it has left.
// away engines are away already, and each is so for the time of a cycle.
func neededEngines(away int, left []time.Duration, cycle time.Duration) int {
	slices.Sort(left)
	needed := 0
	for i, d := range left {
		if d <= 0 {
			needed = away + i + 1
			continue
		}
		needed = max(needed, int(math.Ceil(float64(away+i+1)*cycle.Seconds()/(boundReserve*d.Seconds()))))
	}
	return min(needed, away+len(left))
}

// busyFraction returns the fraction of the slots of a model's available engines that is in use.
func busyFraction(endpoints []*qm.Endpoint, model qm.ModelID) float64 {
	running, slots := 0, 0
	for _, e := range endpoints {
		if _, ok := e.Models[model]; !ok || e.State != qm.Live {
			continue
		}
		running, slots = running+e.Load.Running+e.Load.Waiting, slots+e.Load.Slots
	}
	if slots == 0 {
		return 0
	}
	return math.Min(1, float64(running)/float64(slots))
}

// timeLeft returns the time until the weights number of an engine may no longer be used, given that older weights may be used for bound
// after newer ones were set.
func timeLeft(w qm.DesiredWeights, number int64, bound time.Duration, now time.Time) time.Duration {
	replacedAt := w.SeenAt
	for _, p := range w.Previous {
		if p.Number <= number {
			break
		}
		replacedAt = p.SeenAt
	}
	return bound - now.Sub(replacedAt)
}
