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
	// RequestsPerSecond is the mean request rate of all teams together.
	RequestsPerSecond float64
	// TeamPercents are the teams' shares of the requests, in percent.
	TeamPercents []float64
	// ContextsPerPercent is the number of contexts (clubs or workshops) of a team for each percent of its share.
	// PlansPerContext is the number of plans (seasons or schedules) of each context.
	ContextsPerPercent, PlansPerContext int
	// RulesTokens, ContextTokens and PlanTokens are the lengths of the three parts of a prompt that other prompts share.
	// They precede the unshared tail, in this order.
	RulesTokens, ContextTokens, PlanTokens qm.Tokens
	// HotPlanShares are the fractions of all requests that go to the hottest plans.
	HotPlanShares []float64
}

// Deployments returns the workloads of section 1.1 of docs/design.md. The request rates keep the engines about 60% busy
// with prefill under the first version of the router's policy. They don't change with the policy, so that its versions
// are compared under the same load.
func Deployments() []Deployment {
	teams := []float64{30, 22, 16, 10, 8, 6, 5, 3}
	return []Deployment{
		{
			Name: "ledgerwell", Model: "scribe", Engines: 12, CacheBlocks: 60, RequestsPerSecond: 38, TeamPercents: teams,
			ContextsPerPercent: 4, PlansPerContext: 3, RulesTokens: 8000, ContextTokens: 8000, PlanTokens: 4000,
			HotPlanShares: []float64{0.08, 0.05, 0.04},
		},
		{
			Name: "vatulele", Model: "tab-models", Engines: 9, CacheBlocks: 60, RequestsPerSecond: 31, TeamPercents: teams,
			ContextsPerPercent: 2, PlansPerContext: 4, RulesTokens: 10000, ContextTokens: 4000, PlanTokens: 6000,
			HotPlanShares: []float64{0.10, 0.06, 0.03},
		},
	}
}

const (
	// minTailTokens and maxTailTokens bound the part of a prompt that is not shared. meanOutputTokens is the mean length
	// of an answer.
	minTailTokens, maxTailTokens = 200, 2000
	meanOutputTokens             = 80
	// shiftInterval is the time between two changes of the popular prefixes in the case shift.
	shiftInterval = 8 * time.Second
	// excessTeam is the index of the team that sends excessFactor times its usual requests in the case excess.
	excessTeam   = 5
	excessFactor = 6
)

// request is one caller's request. Its index is its position in the order of arrival, router the index of its router.
type request struct {
	arrival      time.Duration
	team         int
	prompt       qm.PlaceRequest
	outputTokens int
	router       int
	index        int
	// served reports whether the first token was sent.
	served bool
}

// traffic generates random requests.
type traffic struct {
	deployment Deployment
	rnd        *rand.Rand
	scopes     []prefix.Scope
	shift      uint64
	// hotPlans are the plans that get the deployment's HotPlanShares.
	hotPlans []plan
	// contextsByRank lists the contexts of each team, the most popular one first.
	contextsByRank [][]int
	numRequests    uint64
}

// plan identifies the shared part of a prompt. Its fields are indexes.
type plan struct{ team, context, plan int }

func newTraffic(deployment Deployment, seed uint64) *traffic {
	t := &traffic{deployment: deployment, rnd: rand.New(rand.NewPCG(seed, 1))}
	for i := range deployment.TeamPercents {
		t.scopes = append(t.scopes, prefix.Scope{
			Team: qm.TeamID("team" + strconv.Itoa(i)), Model: deployment.Model, Version: "v1",
		})
	}
	t.changePopularity()
	return t
}

// changePopularity draws anew which contexts are popular and which plans are hot.
func (t *traffic) changePopularity() {
	t.hotPlans, t.contextsByRank = nil, nil
	for i := range t.deployment.TeamPercents {
		t.contextsByRank = append(t.contextsByRank, t.rnd.Perm(t.numContexts(i)))
	}
	for range t.deployment.HotPlanShares {
		team := t.sampleTeam(-1)
		t.hotPlans = append(t.hotPlans, plan{team, t.rnd.IntN(t.numContexts(team)), t.rnd.IntN(t.deployment.PlansPerContext)})
	}
}

func (t *traffic) numContexts(team int) int {
	return max(4, int(t.deployment.TeamPercents[team])*t.deployment.ContextsPerPercent)
}

// sampleTeam draws a team with probabilities proportional to TeamPercents. The share of the team boosted is multiplied
// by excessFactor; -1 boosts none.
func (t *traffic) sampleTeam(boosted int) int {
	sum := 0.0
	weight := func(i int) float64 {
		if i == boosted {
			return t.deployment.TeamPercents[i] * excessFactor
		}
		return t.deployment.TeamPercents[i]
	}
	for i := range t.deployment.TeamPercents {
		sum += weight(i)
	}
	x := t.rnd.Float64() * sum
	for i := range t.deployment.TeamPercents {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return 0
}

// sampleContext draws a context of a team, the one of popularity rank r with a probability about proportional to 1/r.
func (t *traffic) sampleContext(team int) int {
	n := t.numContexts(team)
	r := int(math.Exp(t.rnd.Float64()*math.Log(float64(n)+1))) - 1
	return t.contextsByRank[team][min(max(r, 0), n-1)]
}

// generate returns the requests of a run in the order of arrival. Arrivals are a Poisson process.
func (t *traffic) generate(c Case, length time.Duration) []*request {
	var all []*request
	arrival, lastChange := time.Duration(0), time.Duration(0)
	for {
		boosted, rate := -1, t.deployment.RequestsPerSecond
		if c.ExcessFrom > 0 && arrival >= c.ExcessFrom {
			boosted = excessTeam
			rate *= 1 + t.deployment.TeamPercents[excessTeam]/100*(excessFactor-1)
		}
		arrival += time.Duration(t.rnd.ExpFloat64() / rate * float64(time.Second))
		if arrival >= length {
			return all
		}
		if c.ShiftPopularity && arrival-lastChange >= shiftInterval {
			lastChange = arrival
			t.changePopularity()
		}
		r := t.sampleRequest(boosted)
		r.arrival, r.index = arrival, len(all)
		all = append(all, r)
	}
}

// sampleRequest returns a random request without arrival and index. If boosted isn't -1, sampleTeam picks the team of
// half of the requests that would otherwise use a hot plan.
func (t *traffic) sampleRequest(boosted int) *request {
	p, rest := plan{}, t.rnd.Float64()
	hot := false
	for i, share := range t.deployment.HotPlanShares {
		if rest < share {
			p, hot = t.hotPlans[i], true
			break
		}
		rest -= share
	}
	if !hot || boosted >= 0 && t.rnd.IntN(2) == 0 {
		team := t.sampleTeam(boosted)
		p = plan{team, t.sampleContext(team), t.rnd.IntN(t.deployment.PlansPerContext)}
	}
	t.numRequests++
	tail := qm.Tokens(minTailTokens + t.rnd.IntN(maxTailTokens-minTailTokens))
	r := &request{
		team: p.team, router: t.rnd.IntN(NumRouters), outputTokens: 1 + int(t.rnd.ExpFloat64()*meanOutputTokens),
	}
	r.prompt = qm.PlaceRequest{Team: t.scopes[p.team].Team, Model: t.deployment.Model}
	r.prompt.Spans = t.spans(p, tail)
	r.prompt.PromptTokens = r.prompt.Spans[len(r.prompt.Spans)-1].End
	return r
}

// spans returns the prefixes of a prompt, cut as package prefix cuts text: at each multiple of a cache block and at the
// end of each part.
func (t *traffic) spans(p plan, tail qm.Tokens) []qm.PrefixSpan {
	parts := []struct {
		id     uint64
		tokens qm.Tokens
	}{
		{1, t.deployment.RulesTokens}, {2 + uint64(p.context), t.deployment.ContextTokens},
		{2 + uint64(p.plan), t.deployment.PlanTokens}, {1<<32 + t.numRequests, tail},
	}
	var out []qm.PrefixSpan
	key, end := t.scopes[p.team].Root(), qm.Tokens(0)
	for _, part := range parts {
		partEnd := end + part.tokens
		for end < partEnd {
			end = min(partEnd, (end/qm.BlockTokens+1)*qm.BlockTokens)
			key = prefix.NextKey(key, part.id)
			out = append(out, qm.PrefixSpan{Key: key, End: end})
		}
	}
	return out
}

// sortJobs sorts jobs by arrival, so that no result depends on the iteration order of a map.
func sortJobs(jobs []*job) {
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].req.index < jobs[j].req.index })
}
