package roster

import (
	"context"
	"slices"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/advice"
)

// pollRound asks the engines of one round for their load, at the same time, and takes the reports.
func (r *Roster) pollRound(ctx context.Context) {
	var wg sync.WaitGroup
	for _, v := range r.choose(time.Now()) {
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

// Report takes a load report of an endpoint.
func (r *Roster) ApplyReport(id qm.EndpointID, rep Report) {
	r.update(id, rep.Incarnation, func(e *entry) {
		e.suspect, e.failures = false, 0
		if rep.Leaving {
			r.leaving(e)
		}
		v := *e.view
		v.Load, v.Version, v.Adapters, v.Role, v.ReportedAt = rep.Load, rep.Version, rep.Adapters, rep.Role, time.Now()
		r.setEntry(e, &v)
	})
}

// choose returns the engines to poll now: those used lately, then those assigned, then all others as far as the round has room,
// the longest not polled first. Small deployments have room for all, so that every router knows the load and the weights of
// every engine.
func (r *Roster) choose(now time.Time) []*qm.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assign()
	var used, assigned, others []*entry
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

func oldestFirst(es []*entry) []*entry {
	slices.SortFunc(es, func(a, b *entry) int { return a.polledAt.Compare(b.polledAt) })
	return es
}

// assign finds the engines that rendezvous hashing gives to this router. It hashes each engine with each router, which
// takes milliseconds at the target size, so that it runs only after a change. The caller holds r.mu.
func (r *Roster) assign() {
	if !r.moved && r.assigned != nil {
		return
	}
	r.moved = false
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

// isAssigned reports whether self is one of the PollersPerEngine routers with the highest score for the endpoint.
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
