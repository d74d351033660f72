package trial

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/prefix"
)

// Deployment is one customer's workload.
type Deployment struct {
	Name    string
	Model   qm.ModelID
	Engines int
	// CacheBlocks is the capacity of an engine's cache.
	CacheBlocks qm.Tokens
	// Rate is the requests a second of all teams.
	Rate float64
	// Teams are the teams' shares of the requests, in percent.
	Teams []float64
	// ContextsPerShare is the number of contexts (clubs or workshops) of a team for each percent of its share, and Plans the
	// number of plans (seasons or schedules) of each context.
	ContextsPerShare, Plans int
	// RulesTokens, ContextTokens and PlanTokens are the lengths of the three shared levels.
	RulesTokens, ContextTokens, PlanTokens qm.Tokens
	// Hot are the shares of all requests that go to the hottest plans.
	Hot []float64
}

// Deployments returns the workloads of section 1.1 of the design. At these rates the first version of the router's policy
// keeps the engines about 60% busy with prefill; they were set before the rounds on the policy and stay as they are.
func Deployments() []Deployment {
	teams := []float64{30, 22, 16, 10, 8, 6, 5, 3}
	return []Deployment{
		{
			Name: "ledgerwell", Model: "scribe", Engines: 12, CacheBlocks: 60, Rate: 38, Teams: teams,
			ContextsPerShare: 4, Plans: 3, RulesTokens: 8000, ContextTokens: 8000, PlanTokens: 4000,
			Hot: []float64{0.08, 0.05, 0.04},
		},
		{
			Name: "vatulele", Model: "tab-models", Engines: 9, CacheBlocks: 60, Rate: 31, Teams: teams,
			ContextsPerShare: 2, Plans: 4, RulesTokens: 10000, ContextTokens: 4000, PlanTokens: 6000,
			Hot: []float64{0.10, 0.06, 0.03},
		},
	}
}

const (
	// leastTail and mostTail bound the part of a prompt that is not shared, meanOutput is the mean answer, in tokens.
	leastTail, mostTail = 200, 2000
	meanOutput          = 80
	// shiftTime is the time between two changes of the popular prefixes in the case shift.
	shiftTime = 8 * time.Second
	// excessTeam sends excessFactor times its usual requests during the case excess.
	excessTeam   = 5
	excessFactor = 6
)

// request is one prompt.
type request struct {
	at     time.Duration
	team   int
	prompt qm.PlaceRequest
	output int
	router int
	number int
	// served tells that the caller has got the first token.
	served bool
}

// traffic draws requests.
type traffic struct {
	dep   Deployment
	rnd   *rand.Rand
	scope []prefix.Scope
	shift uint64
	// hot are the hottest plans, ranks the order of each team's contexts by popularity.
	hot    []plan
	ranks  [][]int
	number uint64
}

// plan names the shared part of a prompt.
type plan struct{ team, context, plan int }

func newTraffic(dep Deployment, seed uint64) *traffic {
	t := &traffic{dep: dep, rnd: rand.New(rand.NewPCG(seed, 1))}
	for i := range dep.Teams {
		t.scope = append(t.scope, prefix.Scope{
			Team: qm.TeamID("team" + strconv.Itoa(i)), Model: dep.Model, Version: "v1",
		})
	}
	t.move()
	return t
}

// move changes which contexts are popular and which plans are hot.
func (t *traffic) move() {
	t.hot, t.ranks = nil, nil
	for i := range t.dep.Teams {
		t.ranks = append(t.ranks, t.rnd.Perm(t.contexts(i)))
	}
	for range t.dep.Hot {
		team := t.team(-1)
		t.hot = append(t.hot, plan{team, t.rnd.IntN(t.contexts(team)), t.rnd.IntN(t.dep.Plans)})
	}
}

// contexts returns the number of contexts of a team.
func (t *traffic) contexts(team int) int {
	return max(4, int(t.dep.Teams[team])*t.dep.ContextsPerShare)
}

// team draws a team by share. The share of the team more, if any, is scaled by excessFactor.
func (t *traffic) team(more int) int {
	sum := 0.0
	share := func(i int) float64 {
		if i == more {
			return t.dep.Teams[i] * excessFactor
		}
		return t.dep.Teams[i]
	}
	for i := range t.dep.Teams {
		sum += share(i)
	}
	x := t.rnd.Float64() * sum
	for i := range t.dep.Teams {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return 0
}

// context draws a context of a team, the r-th popular one with a chance proportional to 1/r.
func (t *traffic) context(team int) int {
	n := t.contexts(team)
	r := int(math.Exp(t.rnd.Float64()*math.Log(float64(n)+1))) - 1
	return t.ranks[team][min(max(r, 0), n-1)]
}

// generate returns all requests of a run.
func (t *traffic) generate(c Case, length time.Duration) []*request {
	var all []*request
	next, moved := time.Duration(0), time.Duration(0)
	for {
		more, rate := -1, t.dep.Rate
		if c.Excess > 0 && next >= c.Excess {
			more = excessTeam
			rate *= 1 + t.dep.Teams[excessTeam]/100*(excessFactor-1)
		}
		next += time.Duration(t.rnd.ExpFloat64() / rate * float64(time.Second))
		if next >= length {
			return all
		}
		if c.Shift && next-moved >= shiftTime {
			moved = next
			t.move()
		}
		r := t.draw(more)
		r.at, r.number = next, len(all)
		all = append(all, r)
	}
}

// draw returns one request.
func (t *traffic) draw(more int) *request {
	p, x := plan{}, t.rnd.Float64()
	hot := false
	for i, share := range t.dep.Hot {
		if x < share {
			p, hot = t.hot[i], true
			break
		}
		x -= share
	}
	if !hot || more >= 0 && t.rnd.IntN(2) == 0 {
		team := t.team(more)
		p = plan{team, t.context(team), t.rnd.IntN(t.dep.Plans)}
	}
	t.number++
	tail := qm.Tokens(leastTail + t.rnd.IntN(mostTail-leastTail))
	r := &request{team: p.team, router: t.rnd.IntN(Routers), output: 1 + int(t.rnd.ExpFloat64()*meanOutput)}
	r.prompt = qm.PlaceRequest{Team: t.scope[p.team].Team, Model: t.dep.Model}
	r.prompt.Spans = t.spans(p, tail)
	r.prompt.PromptTokens = r.prompt.Spans[len(r.prompt.Spans)-1].End
	return r
}

// spans builds the steps of a prompt the way package prefix cuts text: at blocks and at the end of each level.
func (t *traffic) spans(p plan, tail qm.Tokens) []qm.PrefixSpan {
	levels := []struct {
		id   uint64
		size qm.Tokens
	}{
		{1, t.dep.RulesTokens}, {2 + uint64(p.context), t.dep.ContextTokens}, {2 + uint64(p.plan), t.dep.PlanTokens},
		{1<<32 + t.number, tail},
	}
	var out []qm.PrefixSpan
	key, end := t.scope[p.team].Root(), qm.Tokens(0)
	for _, l := range levels {
		stop := end + l.size
		for end < stop {
			end = min(stop, (end/qm.BlockTokens+1)*qm.BlockTokens)
			key = prefix.NextKey(key, l.id)
			out = append(out, qm.PrefixSpan{Key: key, End: end})
		}
	}
	return out
}

// sortJobs orders jobs by arrival, so that nothing depends on the order of a map.
func sortJobs(jobs []*job) {
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].req.number < jobs[j].req.number })
}
