package exchg_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/exchg"
	"quetzalmount.dev/quetzalmount/internal/route/retry"
)

// TestStreamLostToRefusals guards against a stream that is broken off because its endpoint has ended it, as after an order to load weights, and
// for the moment all others refuse it or the retry budget is used up.
func TestStreamLostToRefusals(t *testing.T) {
	type step = func(context.Context) (*qm.Response, error)
	full, rest := failWith(qm.Refuse(qm.CodeEndpointFull, "send", "full")), answerWith(http.StatusOK, event2+event3, nil)
	unreached := failWith(qm.Refuse(qm.CodeEndpointUnreached, "connect", "refused"))
	broken := answerWith(http.StatusOK, event1, errors.New("reset"))
	refusals := func(n int) []step { return slices.Repeat([]step{full}, n) }
	for name, test := range map[string]struct {
		kind  qm.ExchangeKind
		steps []step
		// budget is the number of retries that the budget has at first, deadline the time for the exchange.
		budget   float64
		deadline time.Duration
		// took is the time to the end of the stream, or until it is broken off if lost is set; attempts the number of attempts.
		took     time.Duration
		lost     bool
		attempts int
	}{
		"goes on at once":                 {qm.Resumable, []step{broken, rest}, 50, 4 * time.Second, 0, false, 2},
		"others are full once":            {qm.Resumable, slices.Concat([]step{broken}, refusals(3), []step{rest}), 50, 4 * time.Second, 200 * time.Millisecond, false, 5},
		"others are full for a second":    {qm.Resumable, slices.Concat([]step{broken}, refusals(7), []step{rest}), 50, 4 * time.Second, time.Second, false, 9},
		"others can't be reached at once": {qm.Resumable, slices.Concat([]step{broken}, slices.Repeat([]step{unreached}, 4), []step{rest}), 50, 4 * time.Second, 200 * time.Millisecond, false, 6},
		"others are full for good":        {qm.Resumable, slices.Concat([]step{broken}, refusals(40)), 50, 4 * time.Second, 2200 * time.Millisecond, true, 15},
		"no time left":                    {qm.Resumable, slices.Concat([]step{broken}, refusals(40)), 50, 700 * time.Millisecond, 600 * time.Millisecond, true, 7},
		"no unit in the budget":           {qm.Resumable, []step{broken, rest}, 0, 4 * time.Second, 2200 * time.Millisecond, true, 1},
		"runs used up":                    {qm.Resumable, []step{broken, answerWith(http.StatusOK, event2, errors.New("reset")), rest}, 50, 4 * time.Second, 0, true, 2},
		"must not be resumed":             {qm.Streaming, []step{broken, rest}, 50, 4 * time.Second, 0, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, w := &scriptedClient{steps: test.steps}, &recorder{}
				deps := newDeps(t, s)
				deps.RetryBudget = retry.NewGroupBudget(retry.GroupBudgetOptions{Extra: test.budget, Window: 10 * time.Second, UsableFraction: 1, Routers: func() int { return 1 }})
				x := exchange(test.kind)
				x.EffectiveDeadline = x.Received.Add(test.deadline)
				start := time.Now()
				err := exchg.New(deps).Run(t.Context(), x, w)
				if lost := errors.Is(err, exchg.ErrIncomplete); lost != test.lost || !lost && (w.text.String() != event1+event2+event3 || !w.ended) {
					t.Errorf("the caller got %q, ended %v, error %v", w.text.String(), w.ended, err)
				}
				if took := time.Since(start); took != test.took || len(s.attempts) != test.attempts {
					t.Errorf("took %v and %d attempts, want %v and %d", took, len(s.attempts), test.took, test.attempts)
				}
			})
		})
	}
}

// recordingPlacer records which attempts count as runs that nothing can go on with.
type recordingPlacer struct {
	qm.Placer
	nonResumable []bool
}

// Place implements quetzalmount.Placer.
func (p *recordingPlacer) Place(r *qm.PlaceRequest, endpoints []*qm.Endpoint, now time.Time, rnd *rand.Rand) (qm.Placement, bool) {
	p.nonResumable = append(p.nonResumable, r.NonResumable)
	return p.Placer.Place(r, endpoints, now, rnd)
}

// TestLastRunCutByOrder guards against an order to load weights that resets streams because their kind can be resumed, although their route
// allows no further run.
func TestLastRunCutByOrder(t *testing.T) {
	type step = func(context.Context) (*qm.Response, error)
	broken, full := answerWith(http.StatusOK, event1, errors.New("reset")), failWith(qm.Refuse(qm.CodeEndpointFull, "send", "full"))
	rest := answerWith(http.StatusOK, event2+event3, nil)
	for name, test := range map[string]struct {
		kind  qm.ExchangeKind
		runs  int
		steps []step
		want  []bool
	}{
		"only run":             {qm.Resumable, 1, []step{answerWith(http.StatusOK, event1, nil)}, []bool{true}},
		"first and last run":   {qm.Resumable, 2, []step{broken, rest}, []bool{false, true}},
		"refusals are no runs": {qm.Resumable, 2, []step{full, broken, rest}, []bool{false, false, true}},
		"three runs":           {qm.Resumable, 3, []step{broken, rest}, []bool{false, false}},
		"must not be resumed":  {qm.Streaming, 3, []step{answerWith(http.StatusOK, event1, nil)}, []bool{true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				deps := newDeps(t, &scriptedClient{steps: test.steps})
				placer := &recordingPlacer{Placer: deps.Services}
				deps.Services = placer
				x := exchange(test.kind)
				x.Route.MaxAttempts = test.runs
				if err := exchg.New(deps).Run(t.Context(), x, &recorder{}); err != nil {
					t.Error(err)
				}
				if diff := cmp.Diff(test.want, placer.nonResumable); diff != "" {
					t.Errorf("runs that nothing can go on with (-want +got):\n%s", diff)
				}
			})
		})
	}
}
