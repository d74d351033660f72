package server

import (
	"context"
	"math/rand/v2"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/advice"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/route/feed"
	"quetzalmount.dev/quetzalmount/internal/route/place"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// maxFetches bounds the routers that are asked for their table at the same time. It covers all routers of today; at the target
// size the exchange names a router that is ahead.
const maxFetches = 16

func policies() []place.Policy { return place.Policies() }

// readList returns the instance list.
func (p *parts) readList(ctx context.Context) ([]qm.Member, []*qm.Endpoint, error) {
	l, err := p.list.Get(ctx)
	return l.Routers, l.Endpoints, err
}

// readLoad returns the load report of an engine.
func (p *parts) readLoad(ctx context.Context, e *qm.Endpoint) (roster.Report, error) {
	r, err := p.engines.Load(ctx, e)
	return roster.Report{
		Incarnation: r.Incarnation, Load: r.Load, Version: r.Version, Adapters: r.Adapters, Role: r.Role, Leaving: r.Leaving,
	}, err
}

// readEvents returns cache events of an engine.
func (p *parts) readEvents(ctx context.Context, e *qm.Endpoint, from int64, limit int) (feed.Page, error) {
	r, err := p.engines.Events(ctx, e, from, limit)
	return feed.Page{Incarnation: r.Incarnation, Next: r.Next, Gap: r.Gap, Events: r.Events}, err
}

// incarnationChanged drops what was known of an engine's cache.
func (p *parts) incarnationChanged(id qm.EndpointID, inc qm.Incarnation) {
	if p.observer != nil {
		p.observer.Forget(id, inc)
	}
}

// owns reports whether this instance is the one that does a control duty.
func (p *parts) owns(duty string) bool {
	members, _ := p.board.Members.Load()
	m, ok := advice.Home(qm.TeamID(duty), members)
	return ok && m.IsSelf
}

// tableSnapshot gives the table to a peer.
func (p *parts) tableSnapshot(_ context.Context, after qm.Offset) ([]byte, qm.Offset, error) {
	return p.config.Snapshot(after)
}

// grant lends shares of limits to a peer.
func (p *parts) grant(ctx context.Context, q *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	return p.limiter.Lend(ctx, q)
}

// fetchTable asks the other routers for a newer table and returns the newest one that any of them has.
func (p *parts) fetchTable(ctx context.Context, after qm.Offset) ([]byte, qm.Offset, error) {
	members, _ := p.board.Members.Load()
	type answer struct {
		snapshot []byte
		offset   qm.Offset
		err      error
	}
	answers := make(chan answer, len(members))
	asked := 0
	for _, i := range rand.Perm(len(members)) {
		m := members[i]
		if m.IsSelf || m.PeerAddress == "" || asked == maxFetches {
			continue
		}
		asked++
		go func() {
			s, o, err := p.peer.FetchTableFrom(ctx, m, after)
			answers <- answer{s, o, errors.WithMessagef(err, "fetch table from %s", m.Instance)}
		}()
	}
	var best answer
	for range asked {
		a := <-answers
		if a.err != nil {
			if best.offset == 0 {
				best.err = a.err
			}
			continue
		}
		if a.offset > best.offset || best.err != nil {
			best = a
		}
	}
	return best.snapshot, best.offset, best.err
}
