package share

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// newSingle returns a limiter that is the only member, and thus the home of every team.
func newSingle(t testing.TB, teams ...*qm.Team) *Limiter {
	b := board.New()
	b.Members.Store(qm.Members{{Instance: "r1", State: qm.Live, IsSelf: true}})
	cfg := &qm.Config{Offset: 1, Teams: map[qm.TeamID]*qm.Team{}}
	for _, tm := range teams {
		cfg.Teams[tm.ID] = tm
	}
	b.Table.Store(cfg)
	return New(t.Context(), Options{Board: b, Self: "r1"})
}

// countAdmitted sends n requests at once and returns how many are admitted.
func countAdmitted(l *Limiter, tm *qm.Team, n int) (ok int) {
	for range n {
		if _, err := l.Admit(tm, qm.Cost{}, time.Now()); err == nil {
			ok++
		}
	}
	return ok
}

// TestPausedHome guards against a home that is paused while another instance becomes home, and that then spends and lends
// the units it had before.
func TestPausedHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tm := &qm.Team{ID: "a", Limits: qm.Limits{RequestsPerMinute: 600}}
		l := newSingle(t, tm)
		defer l.Close()
		time.Sleep(time.Minute)
		synctest.Wait() // the tick of this instant would otherwise hide the pause
		ask := &peerpb.BorrowRequest{Instance: "r2", Wants: []*peerpb.BorrowItem{{Team: "a", Dimension: "Requests", Units: 5}}}
		lent := func() float64 {
			r, err := l.Lend(t.Context(), ask)
			if err != nil {
				t.Fatal(err)
			}
			return r.GetGranted()[0].GetUnits()
		}
		if got := lent(); got != 5 {
			t.Fatalf("a home with a full bucket lent %v of 5", got)
		}
		floor := 2 // 600 x 0.1 / 6 a minute, a quarter of it at once
		// The process is paused after a tick and resumes ten seconds later; requests arrive before the next tick.
		l.lastTick.Store(int64(l.now() - 10*time.Second))
		if got := lent(); got != 0 {
			t.Errorf("lent %v right after a pause", got)
		}
		if got := countAdmitted(l, tm, 20); got != floor {
			t.Errorf("admitted %d right after a pause, want the floor of %d", got, floor)
		}
		l.recordTick()
		time.Sleep(qm.LeaseTime - tickPeriod)
		if got := lent(); got != 0 {
			t.Errorf("lent %v before a lease was over", got)
		}
		time.Sleep(2 * time.Second)
		if got := lent(); got <= 0 {
			t.Error("lends nothing after the wait")
		}
	})
}

// TestEvictIdle guards against state of idle teams that is never evicted, and against a bucket that holds more after eviction.
func TestEvictIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var teams []*qm.Team
		for i := range 100 {
			teams = append(teams, &qm.Team{ID: qm.TeamID(fmt.Sprint("team", i)), Limits: qm.Limits{RequestsPerMinute: 60, Concurrency: 4}})
		}
		l := newSingle(t, teams...)
		defer l.Close()
		for _, tm := range teams {
			if got := countAdmitted(l, tm, 20); got != 0 {
				t.Fatalf("%d requests admitted at the start, when buckets are empty", got)
			}
		}
		time.Sleep(time.Minute)
		// 54 requests a minute are leasable, a tenth of them at once; the concurrency limit of 4 is lower.
		for _, tm := range teams {
			if got := countAdmitted(l, tm, 20); got != 4 {
				t.Fatalf("%d requests admitted with a full bucket, want 4", got)
			}
		}
		teamsNow, accounts := l.stateCounts()
		if len(teamsNow) != 100 || accounts != 100 {
			t.Fatalf("%d teams and %d accounts, want 100", len(teamsNow), accounts)
		}
		for id, n := range teamsNow {
			for range n {
				(&grant{l: l, team: id, admitted: l.now()}).Release(0)
			}
		}
		time.Sleep(3 * time.Minute)
		synctest.Wait()
		if left, accounts := l.stateCounts(); len(left) != 0 || accounts != 0 {
			t.Errorf("%d teams and %d accounts are left after three idle minutes", len(left), accounts)
		}
		if got := countAdmitted(l, &qm.Team{ID: "team1", Limits: qm.Limits{RequestsPerMinute: 60}}, 20); got != 5+1 {
			t.Errorf("%d requests admitted by a forgotten team, want the home's burst of 5 and the floor of 1", got)
		}
	})
}

// stateCounts returns the number of running requests of each team that has state, and the number of accounts.
func (l *Limiter) stateCounts() (teams map[qm.TeamID]int, accounts int) {
	teams = map[qm.TeamID]int{}
	for i := range l.shards {
		l.shards[i].mu.Lock()
		for id, tm := range l.shards[i].teams {
			teams[id] = tm.running.Used()
		}
		l.shards[i].mu.Unlock()
	}
	l.lender.mu.Lock()
	defer l.lender.mu.Unlock()
	return teams, len(l.lender.accounts)
}

// TestLoweredLimit guards against enforcing the old limit after it is changed in the table.
func TestLoweredLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		high := &qm.Team{ID: "a", Limits: qm.Limits{RequestsPerMinute: 6000}}
		low := &qm.Team{ID: "a", Limits: qm.Limits{RequestsPerMinute: 60}}
		l := newSingle(t, high)
		defer l.Close()
		time.Sleep(2 * time.Minute)
		if got := countAdmitted(l, high, 5); got != 5 {
			t.Fatal("a full bucket refused")
		}
		if got := countAdmitted(l, low, 100); got > 6 {
			t.Errorf("%d admitted at once under the lowered limit", got)
		}
		time.Sleep(time.Minute)
		if got := countAdmitted(l, high, 1000); got > 10 {
			t.Errorf("%d admitted at once after the limit was raised: the bucket must fill first", got)
		}
	})
}

// TestOutputReserve guards against counting unused reserved tokens against callers that set a high max_tokens, and against
// returning a reservation twice.
func TestOutputReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tm := &qm.Team{ID: "a", Limits: qm.Limits{OutputTokensPerMinute: 60000}}
		l := newSingle(t, tm)
		defer l.Close()
		time.Sleep(2 * time.Minute)
		run := func(most, used qm.Tokens) bool {
			g, err := l.Admit(tm, qm.Cost{OutputTokens: most}, time.Now())
			if err != nil {
				return false
			}
			time.Sleep(time.Millisecond)
			g.Release(used)
			g.Release(0)
			return true
		}
		for i := range 100 {
			if !run(8000, 10) {
				t.Fatalf("request %d refused: 8000 tokens reserved and 10 used each time", i)
			}
		}
		n := 0
		for range 100 {
			if run(2000, 2000) {
				n++
			}
		}
		// The home's burst of 10,800, the floor's burst of 250, and the refill during the test.
		if n > 6 {
			t.Errorf("%d requests of 2000 tokens admitted at once", n)
		}
	})
}

// TestRefusals guards the messages of refusals: callers who do not know their limits must learn from them what to do.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tm := &qm.Team{ID: "kiln", Limits: qm.Limits{RequestsPerMinute: 600, PromptTokensPerMinute: 60000, OutputTokensPerMinute: 60000, Concurrency: 2}}
		l := newSingle(t, tm)
		defer l.Close()
		time.Sleep(2 * time.Minute)
		try := func(c qm.Cost) *qm.Error {
			_, err := l.Admit(tm, c, time.Now())
			var e *qm.Error
			if err != nil && !errors.As(err, &e) {
				t.Fatalf("%T is no *Error", err)
			}
			return e
		}
		for _, c := range []struct {
			name, message string
			cost          qm.Cost
			code          qm.Code
			retry         bool
		}{
			{"prompt above the burst", "send a shorter prompt", qm.Cost{PromptTokens: 50000}, qm.CodeTooLarge, false},
			{"answer above the burst", "set max_tokens to at most that", qm.Cost{OutputTokens: 50000}, qm.CodeTooLarge, false},
			{"first", "", qm.Cost{PromptTokens: 5000}, "", false},
			{"tokens used up", "has used up its prompt tokens for now (60000 a minute, over all its scripts together): wait ", qm.Cost{PromptTokens: 5000}, qm.CodeRateLimit, true},
			{"second", "", qm.Cost{}, "", false},
			{"too many at a time", "already has as many requests running as it may (2 at a time", qm.Cost{}, qm.CodeConcurrency, true},
		} {
			e := try(c.cost)
			if c.code == "" {
				if e != nil {
					t.Errorf("%s: refused: %v", c.name, e)
				}
				continue
			}
			if e == nil || e.Code != c.code || e.Outcome != qm.OutcomeNotRun || e.RetryAfter > 0 != c.retry || !strings.Contains(e.Message, c.message) {
				t.Errorf("%s: got %+v", c.name, e)
			}
			if e != nil && c.code == qm.CodeRateLimit {
				time.Sleep(e.RetryAfter)
				if e := try(c.cost); e != nil {
					t.Errorf("%s: refused again after the advised wait: %v", c.name, e)
				} else {
					(&grant{l: l, team: "kiln", admitted: l.now()}).Release(0)
				}
			}
		}
	})
}

// TestConcurrency guards the sum of slots over all instances, the reuse of a lost instance's slots, and the slots of requests
// that run while the home changes.
func TestConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 20
		p := splitLimits(qm.Limits{Concurrency: limit}, 6, DefaultFloorFraction)
		b := lender{accounts: map[qm.TeamID]*account{}}
		a := b.accountFor("a", &p, 0, time.Minute, 3)
		item := func(want, inUse float64) *peerpb.BorrowItem {
			return &peerpb.BorrowItem{Dimension: concurrency, Units: want, InUse: inUse}
		}
		now := time.Minute
		serve := func(to qm.InstanceID, want, inUse float64, lending bool) float64 {
			a.refresh(&p, now)
			return a.apply(&p, "self", to, item(want, inUse), false, lending, now)
		}
		// 20 slots, 3 used by the home itself.
		steps := []struct {
			to          qm.InstanceID
			want, inUse float64
			lending     bool
			got         float64
		}{
			{"r2", 10, 0, true, 10}, {"r3", 10, 0, true, 7}, {"r2", 10, 0, true, 10}, {"r2", 4, 0, true, 4},
			{"r3", 20, 0, true, 13}, {"r4", 5, 0, true, 0}, {"r4", 5, 2, false, 2}, {"r4", 9, 2, true, 2},
		}
		for i, s := range steps {
			if got := serve(s.to, s.want, s.inUse, s.lending); got != s.got {
				t.Errorf("step %d: %s holds %v, want %v", i, s.to, got, s.got)
			}
		}
		now += qm.LeaseTime
		if got := serve("r4", 20, 0, true); got != 17 {
			t.Errorf("%v slots after the others' leases ran out, want 17", got)
		}
	})
}

// BenchmarkAdmit measures one Admit with its Release, from the floor and at the home of the team, with all dimensions
// limited.
func BenchmarkAdmit(b *testing.B) {
	tm := &qm.Team{ID: "a", Limits: qm.Limits{RequestsPerMinute: 1e9, PromptTokensPerMinute: 1e12, OutputTokensPerMinute: 1e12, Concurrency: 1000}}
	for _, home := range []bool{true, false} {
		name := "floor"
		if home {
			name = "home"
		}
		b.Run(name, func(b *testing.B) {
			l := newSingle(b, tm)
			defer l.Close()
			if home {
				l.start = l.start.Add(-time.Hour)
				l.recordTick()
				l.views.add(l.views.now().members, 0, true)
			}
			b.ReportAllocs()
			ok := 0
			for b.Loop() {
				if g, err := l.Admit(tm, qm.Cost{PromptTokens: 1, OutputTokens: 1}, time.Now()); err == nil {
					g.Release(1)
					ok++
				}
			}
			b.ReportMetric(float64(ok)/float64(b.N), "admitted/op")
		})
	}
}

// TestSmallReturns guards against units of a loan that are neither used nor returned, because they are too few for a message of their own.
func TestSmallReturns(t *testing.T) {
	const later = time.Minute
	p := rateSplit{limited: true, homeBurst: 160}
	for name, tt := range map[string]struct {
		units, reserve float64
		mustSend       bool
		returned       float64
	}{
		"too few":                        {2, 1, false, 0},
		"too few, with another message":  {2, 1, true, 3},
		"enough for a message":           {9, 1, false, 10},
		"no units, with another message": {0, 0, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := rateState{loans: []borrowedLoan{{tt.units, later - returnAfter, later + time.Second}}, unusedReserve: tt.reserve}
			b := &batch{req: &peerpb.BorrowRequest{}, mustSend: tt.mustSend}
			r.returnUnused(b, "team", "requests", p, later)
			returned := 0.0
			for _, i := range b.req.GetReturns() {
				returned += i.GetUnits()
			}
			kept := r.unusedReserve + r.loans[0].units
			if returned != tt.returned || returned+kept != tt.units+tt.reserve {
				t.Errorf("%v units returned and %v kept of %v", returned, kept, tt.units+tt.reserve)
			}
		})
	}
}
