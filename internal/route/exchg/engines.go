package exchg

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// newerWeight is how much likelier an engine with the wanted weights is chosen than one with older ones while a version rolls out:
// answers on older weights are worth less, but a few engines can't carry the load of all.
const newerWeight = 3

// version chooses the weights for an attempt among those that the candidates have.
func (r *Runner) version(x *qm.Exchange, candidates []*qm.Endpoint, rnd *rand.Rand) qm.VersionID {
	weights, _ := r.deps.Board.Weights.Load()
	wanted := weights[x.Model].Version
	var total int
	var chosen qm.VersionID
	for _, e := range candidates {
		v, ok := e.Models[x.Model]
		if !ok || e.State != qm.Live {
			continue
		}
		w := 1
		if v == wanted {
			w = newerWeight
		}
		total += w
		if rnd.IntN(total) < w {
			chosen = v
		}
	}
	if total == 0 {
		for _, e := range candidates {
			if v, ok := e.Models[x.Model]; ok {
				return v
			}
		}
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

// spans returns the keys of the prompt's steps. They cover the model, the weights and, for isolated teams, the team, so that equal
// keys mean cache entries that may be shared.
func spans(x *qm.Exchange, v qm.VersionID) []qm.PrefixSpan {
	h := xxhash.New()
	write := func(s string) {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	write(string(x.Model))
	write(string(v))
	if x.Isolated {
		write(string(x.Team))
	}
	out := make([]qm.PrefixSpan, 0, len(x.Steps))
	end := qm.Tokens(0)
	for _, s := range x.Steps {
		write(s.ID)
		end += s.Tokens
		out = append(out, qm.PrefixSpan{Key: qm.PrefixKey(h.Sum64()), End: end})
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
