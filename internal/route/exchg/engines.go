package exchg

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// newerWait is the part of the objective up to which a request waits longer for an engine with the wanted weights than for one with
// older ones: an answer on older weights is worth less, but one that is late is worth less still.
const newerWait = 0.5

// placeEngine places a request at an engine with the wanted weights if one is expected to be quick enough, else at any engine. It
// returns the version that the engine has.
func (t *run) placeEngine(q *qm.PlaceRequest, candidates []*qm.Endpoint, now time.Time, rnd *rand.Rand) (qm.Decision, qm.VersionID, bool) {
	weights, _ := t.r.deps.Board.Weights.Load()
	wanted := weights[t.x.Model]
	candidates = t.r.allowed(candidates, t.x.Model, wanted, now)
	newest := having(candidates, t.x.Model, wanted.Version)
	if len(newest) > 0 {
		q.Spans = spans(t.x, wanted.Version)
		d, ok := t.r.deps.Engines.Place(q, newest, now, rnd)
		limit := time.Duration(newerWait * float64(t.x.Route.Objective))
		if ok && (d.Endpoint.State == qm.Live && d.Expected <= limit || len(newest) == len(candidates)) {
			return d, wanted.Version, true
		}
	}
	v := pickVersion(candidates, t.x.Model, rnd)
	q.Spans = spans(t.x, v)
	d, ok := t.r.deps.Engines.Place(q, having(candidates, t.x.Model, v), now, rnd)
	return d, v, ok
}

// allowed returns the candidates whose weights are not too old to be used.
func (r *Runner) allowed(candidates []*qm.Endpoint, model qm.ModelID, wanted qm.Weights, now time.Time) []*qm.Endpoint {
	if r.deps.OldWeights <= 0 {
		return candidates
	}
	least := wanted.Least(now, r.deps.OldWeights)
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

// pickVersion returns the version of a random engine, of one that takes work if there is any, so that versions get requests in
// proportion to their engines.
func pickVersion(candidates []*qm.Endpoint, model qm.ModelID, rnd *rand.Rand) qm.VersionID {
	var chosen, spare qm.VersionID
	total := 0
	for _, e := range candidates {
		v, ok := e.Models[model]
		switch {
		case !ok:
		case e.State != qm.Live:
			spare = v
		default:
			if total++; rnd.IntN(total) == 0 {
				chosen = v
			}
		}
	}
	if total == 0 {
		return spare
	}
	return chosen
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

func readAll(a *qm.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, pool.MaxAnswer+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > pool.MaxAnswer {
		return nil, errors.Errorf("answer exceeds %d bytes", pool.MaxAnswer)
	}
	return body, nil
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
