package exchg

import (
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// olderCost is the part of the objective that an engine with older weights than wanted must be quicker to be chosen: an answer on older
// weights is worth less, but one that is late is worth less still.
const olderCost = 0.2

// placeEngine places a request at the engine with the best expected time over all versions that may be used. It returns the version that
// the engine has.
func (t *run) placeEngine(q *qm.PlaceRequest, candidates []*qm.Endpoint, now time.Time, rnd *rand.Rand) (qm.Decision, qm.VersionID, bool) {
	weights, _ := t.r.deps.Board.Weights.Load()
	wanted := weights[t.x.Model]
	candidates = t.r.allowed(candidates, t.x.Model, wanted, now)
	var best qm.Decision
	var bestVersion qm.VersionID
	var bestCost time.Duration
	all := versions(candidates, t.x.Model)
	if t.r.deps.ManyRouters() && len(all) > 1 && !t.drawNewest(candidates, wanted, rnd) {
		all = slices.DeleteFunc(all, func(v qm.VersionID) bool { return v == wanted.Version })
	}
	for _, v := range all {
		q.Spans = spans(t.x, v)
		d, ok := t.r.deps.Engines.Place(q, having(candidates, t.x.Model, v), now, rnd)
		q.Again = true
		if !ok {
			continue
		}
		cost := d.Expected
		if v != wanted.Version {
			cost += time.Duration(olderCost * float64(t.x.Route.Objective))
		}
		if d.Endpoint.State != qm.Live {
			cost += suspectCost
		}
		if best.Endpoint == nil || cost < bestCost {
			best, bestVersion, bestCost = d, v, cost
		}
	}
	q.Spans = spans(t.x, bestVersion)
	return best, bestVersion, best.Endpoint != nil
}

// newestShare bounds the requests that are offered to the engines with the wanted weights to this many times their part of all engines.
// Many routers that know little of each other would otherwise send all requests to the first engines that have them.
const newestShare = 1.6

// drawNewest draws whether a request may go to an engine with the wanted weights.
func (t *run) drawNewest(candidates []*qm.Endpoint, wanted qm.Weights, rnd *rand.Rand) bool {
	newest, live := 0, 0
	for _, e := range candidates {
		if e.State != qm.Live {
			continue
		}
		live++
		if e.Models[t.x.Model] == wanted.Version {
			newest++
		}
	}
	return rnd.Float64()*float64(live) < newestShare*float64(newest)
}

// suspectCost keeps requests from engines that are suspect or load weights as long as there is any other.
const suspectCost = time.Minute

// versions returns the versions of a model that endpoints have.
func versions(endpoints []*qm.Endpoint, model qm.ModelID) []qm.VersionID {
	var out []qm.VersionID
	for _, e := range endpoints {
		if v, ok := e.Models[model]; ok && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}

// allowed returns the candidates whose weights are not too old to be used.
func (r *Runner) allowed(candidates []*qm.Endpoint, model qm.ModelID, wanted qm.Weights, now time.Time) []*qm.Endpoint {
	if r.deps.OldWeightsGrace <= 0 {
		return candidates
	}
	least := wanted.Least(now, r.deps.OldWeightsGrace)
	if least == 0 {
		return candidates
	}
	var out []*qm.Endpoint
	for _, e := range candidates {
		if qm.VersionNumber(e.Models[model]) >= least {
			out = append(out, e)
		}
	}
	return out
}

// having returns the candidates that have the version of the model.
func having(candidates []*qm.Endpoint, model qm.ModelID, v qm.VersionID) []*qm.Endpoint {
	var out []*qm.Endpoint
	for _, e := range candidates {
		if has, ok := e.Models[model]; ok && has == v {
			out = append(out, e)
		}
	}
	return out
}

// spans returns the keys of the prompt's steps on engines with a version.
func spans(x *qm.Exchange, v qm.VersionID) []qm.PrefixSpan {
	salt := x.Salt(v)
	out := make([]qm.PrefixSpan, 0, len(x.Steps))
	end := qm.Tokens(0)
	for _, s := range x.Steps {
		end += s.Tokens
		out = append(out, qm.PrefixSpan{Key: qm.CacheKey(x.Model, salt, s.ID), End: end})
	}
	return out
}

func isEnd(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) }

// outcomeOf names the outcome of an attempt for the log.
func outcomeOf(err error) string {
	if err == nil {
		return string(qm.Done)
	}
	e := qm.AsError(err)
	return string(e.Outcome) + " " + string(e.Code) + ": " + e.Message
}

// stall cancels an attempt that shows no progress for a time.
type stall struct {
	timer *time.Timer
	hit   func()
}

func newStall(cancel func(error)) *stall { return &stall{hit: func() { cancel(errStalled) }} }

// set starts the time anew; 0 ends it.
func (s *stall) set(d time.Duration) {
	switch {
	case d <= 0:
		s.stop()
	case s.timer == nil:
		s.timer = time.AfterFunc(d, s.hit)
	default:
		s.timer.Reset(d)
	}
}

func (s *stall) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
