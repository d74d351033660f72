package place

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/sketch"
)

// Options are the parameters of the Expected policy. docs/PLACEMENT.md has the measurements behind the defaults.
type Options struct {
	// TableSize is the number of recent prefixes that the router remembers, at 80 bytes each. It is rounded up to a
	// power of two.
	TableSize int
	// ReplicationFactor scales the number of homes of a prefix: a prefix with a share s of the group's requests has
	// ReplicationFactor*s*n homes on n engines, rounded up.
	ReplicationFactor float64
	// MinRequests is the decayed number of requests of a group from which on the homes are selected by the shares of
	// its prefixes. Below it, for example after a restart, they are selected by plain rendezvous hashing.
	MinRequests float64
	// HashShare is the part of a prompt, from 0 to 1, whose prefix is the key of plain rendezvous hashing.
	HashShare float64
	// MinCoverage is the part of the engines' caches, from 0 to 1, that cache events must cover for homes to be
	// selected by shares. With less, routers would disagree on the shares and move more prefixes between engines than
	// plain hashing does.
	MinCoverage float64
	// OffHomePenalty scales the cost of tokens that are prefilled at an engine that is not a home of the prefix: the
	// extra copy takes cache memory and causes later misses of other prefixes.
	OffHomePenalty float64
	// NoEventsPenalty is added to OffHomePenalty in proportion to the part of the caches that events do not cover,
	// since other routers never learn of copies there and cannot use them.
	NoEventsPenalty float64
	// RecomputePenalty scales the cost of tokens that are prefilled although another engine is expected to hold them.
	RecomputePenalty float64
	// Engines whose scores exceed the lowest by at most TieTolerance, or by at most the fraction RelativeTieTolerance
	// of the lowest, count as equal.
	TieTolerance         time.Duration
	RelativeTieTolerance float64
	// LoadFactor bounds the requests at one engine relative to the mean. MinLoadBound is the lowest bound, in
	// requests.
	LoadFactor   float64
	MinLoadBound int
	// HotCounters is the number of counters for frequent prefixes, HotHalfLife the half-life of a count.
	HotCounters int
	HotHalfLife time.Duration
	// MinRetained is the assumed lower bound of the share of old blocks that requests of other routers keep in a
	// cache.
	MinRetained float64
	// EventTimeout is the time without events after which the table entries of an engine are judged by age alone.
	EventTimeout time.Duration
	// LongestPrefixHomes selects the homes by the longest shared prefix alone, so that routers that see few requests
	// agree on them.
	LongestPrefixHomes bool
	// RandomCandidates is the number of engines, besides homes and holders, that are considered for a request. They
	// are drawn at random if more than twice as many engines can take the request, because routers with outdated
	// knowledge of each other would all choose the same idle engine. 0 means all.
	RandomCandidates int
	// AssumeHomeHits applies to requests without a cache store. It takes the first home of a prompt to hold the
	// shared part, and names a likely holder as the source of a transfer if no engine is known to hold the whole
	// shared part.
	AssumeHomeHits bool
	// OnSpeed receives, for a first token that waited behind little else, the time that it took as a multiple of the expected one; nil for nothing.
	OnSpeed func(id qm.EndpointID, ratio float64, now time.Time)
	// EventLag is the assumed delay of cache events.
	EventLag time.Duration
}

// Defaults returns the default parameters.
func Defaults() Options {
	return Options{
		TableSize: 1 << 15, ReplicationFactor: 2, MinRequests: 60, HashShare: HashShare, MinCoverage: 0.8,
		OffHomePenalty: 0.5, NoEventsPenalty: 6, RecomputePenalty: 2, TieTolerance: 5 * time.Millisecond,
		LoadFactor: 4, MinLoadBound: 8, HotCounters: 128, HotHalfLife: 30 * time.Second,
		MinRetained: 0.2, EventTimeout: 3 * time.Second, EventLag: 500 * time.Millisecond,
	}
}

// Expected places a request at the engine with the lowest expected time to first token, after penalties for extra
// copies of cached prefixes.
type Expected struct {
	opt Options

	mu    sync.Mutex
	fleet *fleet
	table *sketch.Table
	hot   *sketch.HeavyHitters
	// decisionID numbers the decisions. The hit of an engine is valid only if its decisionID is the same.
	decisionID uint32
	homes      homes
	// backlog is the model of the backlog that requests meet, laneBacklogs those of the lanes, where they are separated.
	backlog      backlogModel
	laneBacklogs map[qm.Lane]*backlogModel
	// backlogBase and backlogSlope are the coefficients that turn a reported backlog into the expected one.
	backlogBase, backlogSlope float64
	// times is the expected time to first token at each engine in the list, in seconds, or +Inf if the engine may not
	// be chosen. scores is the same with the penalties added.
	times, scores []float64
}

var (
	_ qm.Placer        = (*Expected)(nil)
	_ qm.CacheObserver = (*Expected)(nil)
)

// New returns a placer without any state.
func New(opt Options) *Expected {
	return &Expected{
		opt: opt, fleet: newFleet(), table: sketch.New(opt.TableSize),
		hot: sketch.NewHeavyHitters(opt.HotCounters, opt.HotHalfLife), backlog: newBacklogModel(),
		laneBacklogs: map[qm.Lane]*backlogModel{},
	}
}

// Place implements quetzalmount.Placer.
func (p *Expected) Place(
	r *qm.PlaceRequest, engines []*qm.Endpoint, now time.Time, rnd *rand.Rand,
) (qm.Placement, bool) {
	state, n := candidateState(engines, r.Exclude)
	if n == 0 {
		return qm.Placement{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.sync(engines, now)
	tick := p.fleet.tick(now)
	group := qm.PrefixKey(xxhash.Sum64String(string(engines[0].Group)))
	if !r.PlacedBefore {
		p.countPrefixes(r, group, tick)
	}
	p.estimateHits(r, tick)
	best := p.scoreEngines(r, engines, state, n, group, tick, rnd)
	at, reason := p.choose(best, rnd)
	e := p.fleet.engineAt(at)
	d := qm.Placement{
		Endpoint: engines[at], Incarnation: engines[at].Incarnation, Reason: reason,
		ExpectedTTFT: seconds(p.times[at]), QueueDelay: seconds(p.times[at] - p.uncachedTokens(r, e)*e.cost()),
	}
	if e.decisionID == p.decisionID {
		d.CachedTokens = qm.Tokens(e.hit)
	}
	d.CacheSource = p.fetchSource(engines, at, d.CachedTokens, rnd)
	if p.assumesHomeHits(r) && (d.CacheSource == nil || p.fleet.hit(d.CacheSource.ID)+minFetchTokens <= float64(sharedTokens(r))) {
		if g := p.likelyHolder(r, engines, at); g != nil {
			d.CacheSource = g
		}
	}
	if r.CacheStore != nil {
		p.useStore(r, &d, tick)
	}
	return d, true
}

// likelyHolder returns the live engine that most probably holds what the chosen engine, given by its position, lacks.
// That is the home of the longest shared prefix. If the chosen engine is the home itself, it is the home of the
// shortest prefix, which many prompts share, or, if the chosen engine is known to hold that prefix, the engine that was
// the home before the chosen one joined or loaded its weights.
func (p *Expected) likelyHolder(r *qm.PlaceRequest, engines []*qm.Endpoint, chosen int) *qm.Endpoint {
	if len(r.Spans) == 0 {
		return nil
	}
	key := longestSharedKey(r)
	if first := r.Spans[0].Key; p.homes.n > 0 && p.homes.positions[0] == chosen {
		if _, holds := p.lastSeen(first, p.fleet.indexes[chosen], p.fleet.engineAt(chosen).epoch); !holds {
			key = first
		}
	}
	var best *qm.Endpoint
	var most uint64
	for i, e := range engines {
		if i == chosen || e.State != qm.Live {
			continue
		}
		if w := rendezvousWeight(key, p.fleet.engineAt(i).hash); best == nil || w > most {
			best, most = e, w
		}
	}
	return best
}

// longestSharedKey returns the key of the longest prefix that other prompts may share, 0 if the prompt has no spans.
func longestSharedKey(r *qm.PlaceRequest) qm.PrefixKey {
	s := sharedSpans(r)
	if len(s) == 0 {
		return 0
	}
	return s[len(s)-1].Key
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// useStore sets the store as the source of a transfer if it is expected to hold at least minFetchTokens more of the
// prompt than the chosen engine and the current source. It requests a save if the store is expected to lack at least
// that much of the shared part.
func (p *Expected) useStore(r *qm.PlaceRequest, d *qm.Placement, now sketch.Tick) {
	index := p.fleet.indexOf(r.CacheStore.ID, now)
	s := &p.fleet.engines[index]
	s.lastSeen = now
	if s.incarnation != r.CacheStore.Incarnation {
		s.startEpoch(r.CacheStore.Incarnation, "")
	}
	held := 0.0
	if s.decisionID == p.decisionID {
		held = s.hit
	}
	most := float64(d.CachedTokens)
	if d.CacheSource != nil {
		most = math.Max(most, p.fleet.hit(d.CacheSource.ID))
	}
	if held >= most+minFetchTokens {
		d.CacheSource = r.CacheStore
	}
	d.SaveToStore = float64(sharedTokens(r)) >= held+minFetchTokens
}

// sharedTokens returns the length of the part of the prompt that others may share.
func sharedTokens(r *qm.PlaceRequest) qm.Tokens {
	if n := len(r.Spans); n > 1 {
		return r.Spans[n-2].End
	}
	return 0
}

// minFetchTokens is the minimum number of tokens that another engine must be expected to hold beyond those of the
// chosen one for a transfer to pay off.
const minFetchTokens = 64

// fetchSource returns the live engine that is expected to hold the most of the prompt, nil if none holds at least
// minFetchTokens more than the chosen engine, which is given by its position. Ties are broken at random, so that the
// transfers of a hot prefix do not all use the links of one engine.
func (p *Expected) fetchSource(engines []*qm.Endpoint, chosen int, hit qm.Tokens, rnd *rand.Rand) *qm.Endpoint {
	var best *qm.Endpoint
	most, ties := float64(hit)+minFetchTokens, 0
	for i, ep := range engines {
		e := p.fleet.engineAt(i)
		switch {
		case i == chosen || ep.State != qm.Live || e.decisionID != p.decisionID || e.hit < most:
		case e.hit > most:
			best, most, ties = ep, e.hit, 1
		default:
			if ties++; rnd.IntN(ties) == 0 {
				best = ep
			}
		}
	}
	return best
}

// estimateHits computes the expected hit of every engine that the table lists for the prompt. An engine that holds a
// prefix also holds the shorter ones, so the prefixes are visited from the longest to the shortest.
func (p *Expected) estimateHits(r *qm.PlaceRequest, now sketch.Tick) {
	p.decisionID++
	for i := len(r.Spans) - 1; i >= 0; i-- {
		for _, h := range p.table.Get(r.Spans[i].Key) {
			if h.Epoch == 0 || int(h.Engine) >= len(p.fleet.engines) {
				continue
			}
			e := &p.fleet.engines[h.Engine]
			if h.Epoch != e.epoch {
				continue
			}
			if e.decisionID != p.decisionID {
				e.decisionID, e.hit, e.hitConfidence = p.decisionID, 0, 0
			}
			if c := p.confidence(e, h, now); c > e.hitConfidence {
				e.hit += float64(r.Spans[i].End) * (c - e.hitConfidence)
				e.hitConfidence = c
			}
		}
	}
}

// confidence returns the probability that a holder still has the prefix. Caches evict the least recently used block,
// so by age alone it is near 1 until the age reaches the residence time of unused blocks, and then falls. While
// events arrive it does not fall below the share of blocks that requests of other routers keep, and the absence of an
// eviction event raises it: to 1 if no event was lost since the prefix was last seen.
func (p *Expected) confidence(e *engine, h sketch.Holder, now sketch.Tick) float64 {
	age := time.Duration(now-h.Seen) * sketch.TickTime
	x := age.Seconds() / math.Max(e.residence, 0.001)
	x *= x
	c := 1 / (1 + x*x)
	switch {
	case e.lastEvent == 0 || time.Duration(now-e.lastEvent)*sketch.TickTime > p.opt.EventTimeout:
		return c
	case h.Seen >= e.lastGap:
		return 1
	}
	c = math.Max(c, p.opt.MinRetained)
	return c / (c + (1-c)*e.lossRate)
}

// countPrefixes counts the request for its group and for each of its shared prefixes, whose shares are relative to
// the group. The whole prompt is hardly ever repeated, so it is counted only if it is a single span.
func (p *Expected) countPrefixes(r *qm.PlaceRequest, group qm.PrefixKey, now sketch.Tick) {
	p.hot.Decay(now)
	p.hot.Add(group)
	for _, s := range sharedSpans(r) {
		p.hot.Add(s.Key)
	}
}

// sharedSpans returns the prefix spans that other prompts may have in common with this one.
func sharedSpans(r *qm.PlaceRequest) []qm.PrefixSpan {
	if len(r.Spans) > 1 {
		return r.Spans[:len(r.Spans)-1]
	}
	return r.Spans
}

// findHomes selects the homes of the prompt: by the shares of its prefixes if enough requests were counted and events
// cover enough of the caches, else by plain rendezvous hashing. A hot prefix has several homes in both cases.
func (p *Expected) findHomes(r *qm.PlaceRequest, group qm.PrefixKey, n int, coverage float64) {
	p.homes.reset()
	requests := math.Max(1, p.hot.Count(group))
	var key qm.PrefixKey
	switch {
	case p.opt.LongestPrefixHomes:
		key = longestSharedKey(r)
	case requests >= p.opt.MinRequests && coverage >= p.opt.MinCoverage:
		p.narrowHomes(r, requests, n)
		return
	default:
		key = affinityKey(r, p.opt.HashShare)
	}
	want := 1
	if requests >= p.opt.MinRequests {
		want = p.homeCount(key, requests, n)
	}
	p.selectHomes(key, min(want, maxHomes, n))
}

// narrowHomes visits the shared prefixes from the shortest to the longest. At each it keeps as many engines as the
// share of the prefix requires, those with the highest rendezvous weights among the engines kept so far. A large team
// is thereby spread over several engines by its contexts, a small one stays on one engine, and a hot prefix keeps
// several homes. No level of the prompt has to be configured as the key, and the first levels, which many prompts
// share, take memory on few engines only.
func (p *Expected) narrowHomes(r *qm.PlaceRequest, requests float64, n int) {
	for _, s := range sharedSpans(r) {
		want := p.homeCount(s.Key, requests, n)
		if want > maxHomes || want >= p.homes.remaining(n) {
			continue
		}
		if p.homes.selected() {
			p.homes.narrow(s.Key, want, p.fleet)
			continue
		}
		p.selectHomes(s.Key, want)
	}
}

// homeCount returns the number of homes that the share of a prefix requires. The current request is already counted,
// so it is subtracted.
func (p *Expected) homeCount(key qm.PrefixKey, requests float64, n int) int {
	return max(1, int(math.Ceil(p.opt.ReplicationFactor*float64(n)*(p.hot.Count(key)-1)/requests)))
}

// selectHomes selects the homes of a prompt among all engines that may be chosen.
func (p *Expected) selectHomes(key qm.PrefixKey, want int) {
	p.homes.begin(want)
	for at, t := range p.times {
		if !math.IsInf(t, 1) {
			e := p.fleet.engineAt(at)
			p.homes.add(speedWeight(rendezvousWeight(key, e.hash), e.slowness), at)
		}
	}
}

// scoreEngines computes the expected times, the homes and the scores, and returns the lowest score.
func (p *Expected) scoreEngines(
	r *qm.PlaceRequest, engines []*qm.Endpoint, state qm.MemberState, n int,
	group qm.PrefixKey, now sketch.Tick, rnd *rand.Rand,
) float64 {
	total := 0
	p.times, p.scores = p.times[:0], p.scores[:0]
	for i, ep := range engines {
		p.times = append(p.times, math.Inf(1))
		p.scores = append(p.scores, math.Inf(1))
		if usable(ep, state, r.Exclude) {
			total += p.fleet.engineAt(i).load()
			p.times[i] = 0
		}
	}
	bound := p.loadBound(total, n)
	coverage := p.coverage(now)
	penalty := p.opt.OffHomePenalty + p.opt.NoEventsPenalty*(1-coverage)
	if p.assumesHomeHits(r) {
		penalty = assumedHitsPenalty
	}
	p.backlogBase, p.backlogSlope = p.backlogOf(r).coefficients(now)
	for i := range engines {
		e := p.fleet.engineAt(i)
		if p.times[i] != 0 {
			continue
		}
		if e.load()+1 > bound {
			p.times[i] = math.Inf(1)
			continue
		}
		p.times[i] = p.expectedTTFT(r, e)
		p.scores[i] = p.times[i] + penalty*p.uncachedTokens(r, e)*e.cost()
	}
	if r.Lane == qm.LaneShort && p.scorePair(r) {
		return p.bestScore()
	}
	p.findHomes(r, group, n, coverage)
	p.assumeHomeHit(r)
	p.homes.waivePenalty(p.scores, p.times)
	p.addRecomputeCost(r)
	p.sampleCandidates(n, rnd)
	return p.bestScore()
}

func (p *Expected) bestScore() float64 {
	best := math.Inf(1)
	for _, s := range p.scores {
		best = math.Min(best, s)
	}
	return best
}

// assumedHitsPenalty replaces OffHomePenalty and NoEventsPenalty while home hits are assumed. Other routers do not
// learn of a copy away from home, so the home has to prefill the prefix as well, which costs more than a slightly
// later answer.
const assumedHitsPenalty = 0.5

// assumesHomeHits reports whether the home of a request is assumed to hold what no event or dispatch shows.
func (p *Expected) assumesHomeHits(r *qm.PlaceRequest) bool {
	return p.opt.AssumeHomeHits && r.CacheStore == nil
}

// homeHitProbability is the assumed probability that the home of a prefix holds it if this router has no other
// knowledge: other routers send the same prefixes there.
const homeHitProbability = 0.8

// assumeHomeHit takes the first home of a prompt to hold its shared part if assumesHomeHits says so.
func (p *Expected) assumeHomeHit(r *qm.PlaceRequest) {
	if !p.assumesHomeHits(r) || p.homes.n == 0 {
		return
	}
	at := p.homes.positions[0]
	e := p.fleet.engineAt(at)
	if e.decisionID != p.decisionID {
		e.decisionID, e.hit, e.hitConfidence = p.decisionID, 0, 0
	}
	e.hit = math.Max(e.hit, homeHitProbability*float64(sharedTokens(r)))
	p.times[at] = p.expectedTTFT(r, e)
	p.scores[at] = p.times[at]
}

// sampleCandidates excludes engines that neither are homes nor hold any of the prompt, drawn at random, until
// RandomCandidates of them are left.
func (p *Expected) sampleCandidates(n int, rnd *rand.Rand) {
	if p.opt.RandomCandidates == 0 || n <= 2*p.opt.RandomCandidates {
		return
	}
	var others []int
	for i := range p.scores {
		if e := p.fleet.engineAt(i); !math.IsInf(p.scores[i], 1) && !p.homes.contains(i) &&
			(e.decisionID != p.decisionID || e.hit == 0) {
			others = append(others, i)
		}
	}
	rnd.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, i := range others[min(len(others), p.opt.RandomCandidates):] {
		p.scores[i] = math.Inf(1)
	}
}

// backlogOf returns the model of the backlog that a request meets.
func (p *Expected) backlogOf(r *qm.PlaceRequest) *backlogModel {
	if r.Lane == qm.LaneNone {
		return &p.backlog
	}
	if p.laneBacklogs[r.Lane] == nil {
		m := newBacklogModel()
		m.maxSlope = maxLaneSlope
		p.laneBacklogs[r.Lane] = &m
	}
	return p.laneBacklogs[r.Lane]
}

// coverage returns the part of the caches of the usable engines that events cover, from 0 to 1.
func (p *Expected) coverage(now sketch.Tick) float64 {
	seen, n := 0.0, 0.0
	for i, t := range p.times {
		if !math.IsInf(t, 1) {
			seen += p.fleet.engineAt(i).coverage(now, p.opt.EventTimeout)
			n++
		}
	}
	return seen / n
}

// addRecomputeCost adds the cost of prefilling again what another engine is expected to hold. The homes of a hot
// prefix are exempt, since each of them needs a copy.
func (p *Expected) addRecomputeCost(r *qm.PlaceRequest) {
	least := math.Inf(1)
	for i, t := range p.times {
		if !math.IsInf(t, 1) {
			least = math.Min(least, p.uncachedTokens(r, p.fleet.engineAt(i)))
		}
	}
	for i, t := range p.times {
		if e := p.fleet.engineAt(i); !math.IsInf(t, 1) && !p.homes.replicated(i) {
			p.scores[i] += p.opt.RecomputePenalty * (p.uncachedTokens(r, e) - least) * e.cost()
		}
	}
}

// loadBound returns the number of requests that no engine may exceed while total requests run on n engines. It is
// above the mean, so at least one engine is below it.
func (p *Expected) loadBound(total, n int) int {
	mean := float64(total+1) / float64(n)
	return max(p.opt.MinLoadBound, int(math.Ceil(mean*p.opt.LoadFactor)))
}

// expectedTTFT returns the expected time to first token at an engine, in seconds.
func (p *Expected) expectedTTFT(r *qm.PlaceRequest, e *engine) float64 {
	tokens := e.pendingTokens + math.Max(0, p.backlogBase+p.backlogSlope*e.otherBacklog()) + p.uncachedTokens(r, e)
	wait := 0.0
	if over := e.load() + 1 - e.slots; over > 0 && e.slots > 0 {
		wait = float64(over) * e.serviceTime / float64(e.slots)
	}
	return tokens*e.cost() + wait
}

// uncachedTokens returns the number of tokens that the engine is expected to prefill.
func (p *Expected) uncachedTokens(r *qm.PlaceRequest, e *engine) float64 {
	if e.decisionID != p.decisionID {
		return float64(r.PromptTokens)
	}
	return math.Max(0, float64(r.PromptTokens)-e.hit)
}

// choose returns the position of the chosen engine and the reason. A home whose score is within the tolerance of the
// lowest is preferred. Otherwise one of the engines within the tolerance is drawn at random, so that routers with the
// same reports do not all choose the same engine.
func (p *Expected) choose(best float64, rnd *rand.Rand) (int, string) {
	limit := best + math.Max(p.opt.TieTolerance.Seconds(), p.opt.RelativeTieTolerance*best)
	if at := p.homes.best(p.scores); at >= 0 && p.scores[at] <= limit {
		if p.homes.n > 1 {
			return at, reasonSpread
		}
		return at, reasonHome
	}
	at, ties := 0, 0
	for i, s := range p.scores {
		if s <= limit {
			if ties++; rnd.IntN(ties) == 0 {
				at = i
			}
		}
	}
	if e := p.fleet.engineAt(at); e.decisionID == p.decisionID && e.hit > 0 {
		return at, reasonHolder
	}
	return at, reasonFree
}
