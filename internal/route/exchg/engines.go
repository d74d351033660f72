package exchg

import (
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/lane"
)

// oldVersionPenalty is the fraction of the objective by which an engine with other weights than the desired ones must be faster to be
// selected. A response from older weights is worth less, but a late one is worth less still.
const oldVersionPenalty = 0.2

// placeEngine places a request in its lane, or among the engines for overflow if its first token would be late in the lane and is expected
// earlier there. It returns the placement, the engine's version, and false if no engine can take the request.
func (t *task) placeEngine(q *qm.PlaceRequest, candidates []*qm.Endpoint, now time.Time, rnd *rand.Rand) (qm.Placement, qm.VersionID, bool) {
	if t.runner.deps.Lanes == nil {
		return t.placeVersions(q, candidates, now, rnd)
	}
	all, _ := t.runner.deps.Board.Endpoints.Load()
	slots := 0
	if routes, ok := t.runner.deps.Board.Routes.Load(); ok && routes.Groups[t.x.Group] != nil {
		slots = routes.Groups[t.x.Group].Slots
	}
	c := t.runner.deps.Lanes.Choose(lane.Request{Group: t.x.Group, Route: t.x.Route.ID, PromptTokens: t.x.PromptTokens, Slots: slots}, all, candidates, now)
	q.Lane = c.Lane
	d, version, ok := t.placeVersions(q, c.Engines, now, rnd)
	if ok && d.Endpoint.State == qm.Live && !c.IsLate(d.ExpectedTTFT, t.x.Route.LatencyObjective) || len(c.Overflow) == 0 {
		return d, version, ok
	}
	spans := q.Spans
	other, otherVersion, otherOK := t.placeVersions(q, c.Overflow, now, rnd)
	if otherOK && (!ok || d.Endpoint.State != qm.Live && other.Endpoint.State == qm.Live || other.ExpectedTTFT < d.ExpectedTTFT) {
		return other, otherVersion, true
	}
	q.Spans = spans
	return d, version, ok
}

// placeVersions selects the engine with the lowest cost over all weights versions that may be used: the expected time to first token plus
// penalties.
func (t *task) placeVersions(q *qm.PlaceRequest, candidates []*qm.Endpoint, now time.Time, rnd *rand.Rand) (qm.Placement, qm.VersionID, bool) {
	weights, _ := t.runner.deps.Board.Weights.Load()
	desired := weights[t.x.Model]
	candidates = t.runner.withRecentWeights(candidates, t.x.Model, desired, now)
	var best qm.Placement
	var bestVersion qm.VersionID
	var bestCost time.Duration
	usableVersions := versions(candidates, t.x.Model)
	if t.runner.deps.ManyRouters() && len(usableVersions) > 1 && !t.sampleDesired(candidates, desired, rnd) {
		usableVersions = slices.DeleteFunc(usableVersions, func(v qm.VersionID) bool { return v == desired.Version })
	}
	for _, v := range usableVersions {
		q.Spans = prefixSpans(t.x, v)
		d, ok := t.runner.deps.Engines.Place(q, withVersion(candidates, t.x.Model, v), now, rnd)
		q.PlacedBefore = true
		if !ok || t.startsTooLate(v, desired, d, now) {
			continue
		}
		cost := d.ExpectedTTFT
		if v != desired.Version {
			cost += time.Duration(oldVersionPenalty * float64(t.x.Route.LatencyObjective))
		}
		if d.Endpoint.State != qm.Live {
			cost += suspectPenalty
		}
		if best.Endpoint == nil || cost < bestCost {
			best, bestVersion, bestCost = d, v, cost
		}
	}
	q.Spans = prefixSpans(t.x, bestVersion)
	return best, bestVersion, best.Endpoint != nil
}

// startsTooLate reports whether a request that is sent to an engine with older weights may wait there until they may no longer be used.
func (t *task) startsTooLate(v qm.VersionID, desired qm.DesiredWeights, d qm.Placement, now time.Time) bool {
	if t.runner.deps.OldWeightsGrace <= 0 || v == desired.Version {
		return false
	}
	grace := t.runner.deps.OldWeightsGrace
	usual := min(slowEngineFactor*t.x.Route.LatencyObjective, time.Duration(maxStartFraction*float64(grace)))
	start := now.Add(max(startMargin*d.ExpectedTTFT, startMargin*usual))
	return qm.VersionNumber(v) < desired.MinUsableNumber(start, grace)
}

// startMargin multiplies the expected time to the first token, or the time that a slow engine takes if that is longer, to give the time by which a
// request has begun to run.
const startMargin = 2

// slowEngineFactor times the objective is the time within which an engine that is slower than expected begins a request. Behind a burst, requests
// that were expected at once began four objectives later.
const slowEngineFactor = 3

// maxStartFraction bounds the objective that startMargin multiplies, as a fraction of OldWeightsGrace. Otherwise a route with a long objective
// could not use older weights at all.
const maxStartFraction = 1.0 / 12

// desiredShareFactor times the fraction of live engines with the desired weights is the fraction of requests that may go to them. Many
// routers that know little of each other's load would otherwise send all requests to the first engines that have the new weights.
const desiredShareFactor = 1.6

// sampleDesired randomly decides whether a request may go to an engine with the desired weights.
func (t *task) sampleDesired(candidates []*qm.Endpoint, desired qm.DesiredWeights, rnd *rand.Rand) bool {
	onDesired, live := 0, 0
	for _, e := range candidates {
		if e.State != qm.Live {
			continue
		}
		live++
		if e.Models[t.x.Model] == desired.Version {
			onDesired++
		}
	}
	return rnd.Float64()*float64(live) < desiredShareFactor*float64(onDesired)
}

// suspectPenalty keeps requests away from engines that are suspect or loading weights while another engine is available.
const suspectPenalty = time.Minute

// versions returns the distinct weights versions of a model at the endpoints.
func versions(endpoints []*qm.Endpoint, model qm.ModelID) []qm.VersionID {
	var out []qm.VersionID
	for _, e := range endpoints {
		if v, ok := e.Models[model]; ok && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}

// withRecentWeights returns the candidates whose weights may still be used under OldWeightsGrace.
func (r *Runner) withRecentWeights(candidates []*qm.Endpoint, model qm.ModelID, desired qm.DesiredWeights, now time.Time) []*qm.Endpoint {
	if r.deps.OldWeightsGrace <= 0 {
		return candidates
	}
	oldest := desired.MinUsableNumber(now, r.deps.OldWeightsGrace)
	if oldest == 0 {
		return candidates
	}
	var out []*qm.Endpoint
	for _, e := range candidates {
		if qm.VersionNumber(e.Models[model]) >= oldest {
			out = append(out, e)
		}
	}
	return out
}

// withVersion returns the candidates that have version v of the model.
func withVersion(candidates []*qm.Endpoint, model qm.ModelID, v qm.VersionID) []*qm.Endpoint {
	var out []*qm.Endpoint
	for _, e := range candidates {
		if has, ok := e.Models[model]; ok && has == v {
			out = append(out, e)
		}
	}
	return out
}

// prefixSpans returns the prefix spans of the prompt, with their cache keys at engines with version v.
func prefixSpans(x *qm.Exchange, v qm.VersionID) []qm.PrefixSpan {
	salt := x.CacheSalt(v)
	out := make([]qm.PrefixSpan, 0, len(x.Segments))
	end := qm.Tokens(0)
	for _, s := range x.Segments {
		end += s.Tokens
		out = append(out, qm.PrefixSpan{Key: qm.CacheKey(x.Model, salt, s.ID), End: end})
	}
	return out
}

// isCleanEnd reports whether err marks the end of a stream between two events.
func isCleanEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// outcomeText describes the result of an attempt for the log.
func outcomeText(err error) string {
	if err == nil {
		return string(qm.OutcomeDone)
	}
	e := qm.AsError(err)
	return string(e.Outcome) + " " + string(e.Code) + ": " + e.Message
}
