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

// maxTableFetches limits the number of routers that are asked for their table concurrently. It covers the routers of today's
// deployment. In a larger deployment the state exchange between peers shows which routers have a newer table.
const maxTableFetches = 16

func policies() []place.Policy { return place.Policies() }

// readList reads the instance list and returns its routers and endpoints.
func (c *components) readList(ctx context.Context) ([]qm.Member, []*qm.Endpoint, error) {
	list, err := c.list.Get(ctx)
	if err == nil && list.Ignored != c.ignoredInstances {
		c.ignoredInstances = list.Ignored
		c.log.Info("unreadable instances in the instance list ignored", "Instances", list.Ignored)
	}
	return list.Routers, list.Endpoints, err
}

// readLoad reads the load report of an engine.
func (c *components) readLoad(ctx context.Context, e *qm.Endpoint) (roster.Report, error) {
	report, err := c.engines.Load(ctx, e)
	return roster.Report{
		Incarnation: report.Incarnation, Load: report.Load, Version: report.Version, Adapters: report.Adapters, Role: report.Role,
		Leaving: report.Leaving,
	}, err
}

// readEvents reads at most limit cache events of an engine, starting at sequence number from.
func (c *components) readEvents(ctx context.Context, e *qm.Endpoint, from int64, limit int) (feed.Page, error) {
	events, err := c.engines.Events(ctx, e, from, limit)
	return feed.Page{Incarnation: events.Incarnation, Next: events.Next, Gap: events.Gap, Events: events.Events}, err
}

// incarnationChanged removes the cache entries of an engine's earlier incarnations from the placer's view.
func (c *components) incarnationChanged(id qm.EndpointID, inc qm.Incarnation) {
	if c.observer != nil {
		c.observer.Forget(id, inc)
	}
}

// owns reports whether this instance performs the named control duty, such as "config". All instances that see the same live members
// choose the same owner.
func (c *components) owns(duty string) bool {
	members, _ := c.board.Members.Load()
	m, ok := advice.Home(qm.TeamID(duty), members)
	return ok && m.IsSelf
}

// tableSnapshot returns the part of the table that a peer with a table at offset after lacks, and the offset that it covers. It is
// empty if the peer is up to date or this router has no table.
func (c *components) tableSnapshot(_ context.Context, after qm.Offset) ([]byte, qm.Offset, error) {
	return c.config.Snapshot(after)
}

// lendShares handles a peer's request to borrow shares of limits.
func (c *components) lendShares(ctx context.Context, req *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	return c.limiter.Lend(ctx, req)
}

// fetchTable requests a table newer than offset after from up to maxTableFetches other routers, chosen at random, and returns the
// newest one with its offset. It returns an error only if no router answered.
func (c *components) fetchTable(ctx context.Context, after qm.Offset) ([]byte, qm.Offset, error) {
	members, _ := c.board.Members.Load()
	type response struct {
		snapshot []byte
		offset   qm.Offset
		err      error
	}
	responses := make(chan response, len(members))
	requested := 0
	for _, i := range rand.Perm(len(members)) {
		m := members[i]
		if m.IsSelf || m.PeerAddress == "" || requested == maxTableFetches {
			continue
		}
		requested++
		go func() {
			s, o, err := c.peer.FetchTableFrom(ctx, m, after)
			responses <- response{s, o, errors.WithMessagef(err, "fetch table from %s", m.Instance)}
		}()
	}
	var newest response
	for range requested {
		r := <-responses
		if r.err != nil {
			if newest.offset == 0 {
				newest.err = r.err
			}
			continue
		}
		if r.offset > newest.offset || newest.err != nil {
			newest = r
		}
	}
	return newest.snapshot, newest.offset, newest.err
}
