package roster

import (
	"context"
	"slices"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/advice"
)

// pollRound polls the engines of one round concurrently and applies their reports.
func (r *Roster) pollRound(ctx context.Context) {
	var wg sync.WaitGroup
	for _, v := range r.selectPolls(time.Now()) {
		wg.Go(func() {
			cctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
			defer cancel()
			rep, err := r.opts.FetchReport(cctx, v)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				r.MarkFailed(v.ID)
				return
			}
			r.ApplyReport(v.ID, rep)
		})
	}
	wg.Wait()
}

// ApplyReport applies a load report of an endpoint.
func (r *Roster) ApplyReport(id qm.EndpointID, rep Report) {
	r.update(id, rep.Incarnation, func(e *endpoint) {
		e.suspect, e.failures = false, 0
		if rep.Leaving {
			r.setLeaving(e)
		}
		v := *e.view
		v.Load, v.Version, v.Adapters, v.Role, v.ReportedAt = rep.Load, rep.Version, rep.Adapters, rep.Role, time.Now()
		r.setEndpoint(e, &v)
	})
}

// selectPolls returns at most Options.PollsPerRound engines to poll now: first those used recently, then those assigned to this router,
// then all others, each in the order of their last poll. In small deployments a round covers all engines, so that every router knows the
// load and the weights of every engine.
func (r *Roster) selectPolls(now time.Time) []*qm.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assignEngines()
	var used, assigned, others []*endpoint
	for id, e := range r.endpoints {
		switch {
		case e.view.Kind != qm.KindEngine:
		case !e.usedAt.IsZero() && now.Sub(e.usedAt) < r.opts.RecentUse:
			used = append(used, e)
		case r.assigned[id]:
			assigned = append(assigned, e)
		default:
			others = append(others, e)
		}
	}
	order := slices.Concat(oldestFirst(used), oldestFirst(assigned), oldestFirst(others))
	order = order[:min(len(order), r.opts.PollsPerRound)]
	out := make([]*qm.Endpoint, len(order))
	for i, e := range order {
		e.polledAt = now
		out[i] = e.view
	}
	return out
}

// oldestFirst sorts endpoints in place by the time of their last poll.
func oldestFirst(es []*endpoint) []*endpoint {
	slices.SortFunc(es, func(a, b *endpoint) int { return a.polledAt.Compare(b.polledAt) })
	return es
}

// assignEngines finds the engines that rendezvous hashing assigns to this router. It scores each engine with each router, which takes
// milliseconds at the target size, so it runs only after a change. The caller holds r.mu.
func (r *Roster) assignEngines() {
	if !r.assignmentStale && r.assigned != nil {
		return
	}
	r.assignmentStale = false
	r.assigned = map[qm.EndpointID]bool{}
	self := advice.Hash(string(r.opts.Self.Instance))
	others := make([]uint64, 0, len(r.members))
	for id, m := range r.members {
		if id != r.opts.Self.Instance && m.state() == qm.Live {
			others = append(others, advice.Hash(string(id)))
		}
	}
	for id, e := range r.endpoints {
		if e.view.Kind == qm.KindEngine && isAssigned(advice.Hash(string(id)), self, others) {
			r.assigned[id] = true
		}
	}
}

// isAssigned reports whether self is one of the PollersPerEngine routers with the highest scores for the endpoint. All arguments are
// hashes.
func isAssigned(endpoint, self uint64, others []uint64) bool {
	own, above := advice.Combine(endpoint, self), 0
	for _, o := range others {
		if advice.Combine(endpoint, o) > own {
			if above++; above >= PollersPerEngine {
				return false
			}
		}
	}
	return true
}
