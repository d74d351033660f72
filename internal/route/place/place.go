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

// Options are the parameters of the policy. docs/PLACEMENT.md has the measurements behind the defaults.
type Options struct {
	// Prefixes bounds the table of recent prefixes, at 80 bytes each.
	Prefixes int
	// Width is the number of engines that serve a prefix for each engine's worth of the router's requests that it makes up.
	Width float64
	// Sample is the number of requests of a group from which on the shares of prefixes select the homes. Before that, as after
	// a restart, the home is that of plain hashing.
	Sample float64
	// HomeShare is the part of a prompt whose prefix selects the home by plain hash.
	HomeShare float64
	// LeastSight is the part of the caches that events must show for it: by shares, routers that see little move more prefixes
	// between them than the hash does.
	LeastSight float64
	// Stray scales the cost of tokens that are prefilled at an engine that is not a home of the prefix: the copy takes memory
	// and makes other prefixes miss later.
	Stray float64
	// Blind is added to Stray in full if no events arrive: copies that other routers do not learn of are of no use to them.
	Blind float64
	// Again scales the cost of tokens that are prefilled although another engine is expected to hold them.
	Again float64
	// Near is the difference in expected time within which engines count as equal, NearShare the same relative to the best.
	Near      time.Duration
	NearShare float64
	// LoadFactor bounds the requests of an engine relative to the mean, LoadFloor is the least bound.
	LoadFactor float64
	LoadFloor  int
	// HotKeys is the number of counters for hot prefixes, HotMemory the half-life of a count.
	HotKeys   int
	HotMemory time.Duration
	// Kept is the least share of old blocks that the requests of other routers are assumed to keep in a cache.
	Kept float64
	// EventSilence is the time without events after which an engine's entries are judged by age alone.
	EventSilence time.Duration
	// Direct selects the homes by the longest shared prefix alone, so that routers that see few requests agree on them.
	Direct bool
	// Blindly is the number of engines beside the homes and the holders that are looked at, drawn by lot, when there are more of them:
	// routers whose knowledge of each other is old would all choose the same idle engine. 0 means all.
	Blindly int
	// Guess names a source for what no engine is known to hold, if there is no store: the engine that was the home before the chosen
	// one.
	Guess bool
	// EventLag is the assumed delay of cache events.
	EventLag time.Duration
}

// Defaults returns the parameters in use.
func Defaults() Options {
	return Options{
		Prefixes: 1 << 15, Width: 2, Sample: 60, HomeShare: HashShare, LeastSight: 0.8, Stray: 0.5, Blind: 6, Again: 2,
		Near: 5 * time.Millisecond, LoadFactor: 4, LoadFloor: 8, HotKeys: 128, HotMemory: 30 * time.Second,
		Kept: 0.2, EventSilence: 3 * time.Second, EventLag: 500 * time.Millisecond,
	}
}

// Expected places a request where its first token is expected soonest.
type Expected struct {
	opt Options

	mu    sync.Mutex
	fleet *fleet
	table *sketch.Table
	hot   *sketch.Hot
	stamp uint32
	homes homes
	trust trust
	// base and slope turn a reported backlog into the expected one.
	base, slope float64
	// times is the expected time of each engine in the list, in seconds, or +Inf if it may not be chosen. scores is the same
	// with the cost of copies.
	times, scores []float64
}

var (
	_ qm.Placer        = (*Expected)(nil)
	_ qm.CacheObserver = (*Expected)(nil)
)

// New returns a placer without any state.
func New(opt Options) *Expected {
	return &Expected{
		opt: opt, fleet: newFleet(), table: sketch.New(opt.Prefixes), hot: sketch.NewHot(opt.HotKeys, opt.HotMemory),
		trust: newTrust(),
	}
}

// Place implements quetzalmount.Placer.
func (p *Expected) Place(
	r *qm.PlaceRequest, engines []*qm.Endpoint, now time.Time, rnd *rand.Rand,
) (qm.Placement, bool) {
	state, n := tier(engines, r.Exclude)
	if n == 0 {
		return qm.Placement{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.sync(engines, now)
	tick := p.fleet.tick(now)
	group := qm.PrefixKey(xxhash.Sum64String(string(engines[0].Group)))
	if !r.PlacedBefore {
		p.count(r, group, tick)
	}
	p.trace(r, tick)
	best := p.score(r, engines, state, n, group, tick, rnd)
	at, reason := p.choose(best, rnd)
	e := p.fleet.at(at)
	d := qm.Placement{
		Endpoint: engines[at], Incarnation: engines[at].Incarnation, Reason: reason,
		ExpectedTTFT: seconds(p.times[at]), QueueDelay: seconds(p.times[at] - p.missing(r, e)*e.cost),
	}
	if e.stamp == p.stamp {
		d.CachedTokens = qm.Tokens(e.hit)
	}
	d.CacheSource = p.source(engines, at, d.CachedTokens, rnd)
	if p.guesses(r) && (d.CacheSource == nil || p.fleet.hit(d.CacheSource.ID)+leastFetch <= float64(sharedEnd(r))) {
		if g := p.guess(r, engines, at); g != nil {
			d.CacheSource = g
		}
	}
	if r.CacheStore != nil {
		p.useStore(r, &d, tick)
	}
	return d, true
}

// guess returns the live engine that is likeliest to hold what the chosen one at a position lacks: the home of the longest shared prefix;
// if that is the chosen one, the home of the first step, which many prompts share, or, if the chosen one was seen to hold that, the
// engine that was the home before the chosen one came or got its weights.
func (p *Expected) guess(r *qm.PlaceRequest, engines []*qm.Endpoint, chosen int) *qm.Endpoint {
	if len(r.Spans) == 0 {
		return nil
	}
	key := lastShared(r)
	if first := r.Spans[0].Key; p.homes.n > 0 && p.homes.places[0] == chosen {
		if _, holds := p.seen(first, p.fleet.list[chosen], p.fleet.at(chosen).epoch); !holds {
			key = first
		}
	}
	var best *qm.Endpoint
	var most uint64
	for i, e := range engines {
		if i == chosen || e.State != qm.Live {
			continue
		}
		if w := weigh(key, p.fleet.at(i).hash); best == nil || w > most {
			best, most = e, w
		}
	}
	return best
}

// lastShared returns the key of the longest prefix that other prompts may share.
func lastShared(r *qm.PlaceRequest) qm.PrefixKey {
	s := shared(r)
	if len(s) == 0 {
		return 0
	}
	return s[len(s)-1].Key
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// useStore fetches from the store what no engine is expected to hold, and saves to it what it lacks.
func (p *Expected) useStore(r *qm.PlaceRequest, d *qm.Placement, now sketch.Tick) {
	slot := p.fleet.slot(r.CacheStore.ID, now)
	s := &p.fleet.engines[slot]
	s.seen = now
	if s.inc != r.CacheStore.Incarnation {
		s.renew(r.CacheStore.Incarnation, "")
	}
	held := 0.0
	if s.stamp == p.stamp {
		held = s.hit
	}
	most := float64(d.CachedTokens)
	if d.CacheSource != nil {
		most = math.Max(most, p.fleet.hit(d.CacheSource.ID))
	}
	if held >= most+leastFetch {
		d.CacheSource = r.CacheStore
	}
	d.SaveToStore = float64(sharedEnd(r)) >= held+leastFetch
}

// sharedEnd returns the tokens of the part of the prompt that others may share.
func sharedEnd(r *qm.PlaceRequest) qm.Tokens {
	if n := len(r.Spans); n > 1 {
		return r.Spans[n-2].End
	}
	return 0
}

// leastFetch is the number of tokens that another engine must be expected to hold beyond those of the chosen one to be worth a
// transfer.
const leastFetch = 64

// source returns the live engine that is expected to hold the most of the prompt, if that is more than the chosen one at a position
// holds. Equal ones are chosen by lot, so that the links of one engine do not carry all transfers of a hot prefix.
func (p *Expected) source(engines []*qm.Endpoint, chosen int, hit qm.Tokens, rnd *rand.Rand) *qm.Endpoint {
	var best *qm.Endpoint
	most, ties := float64(hit)+leastFetch, 0
	for i, ep := range engines {
		e := p.fleet.at(i)
		switch {
		case i == chosen || ep.State != qm.Live || e.stamp != p.stamp || e.hit < most:
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

// trace computes the expected hit of every engine that the table names for the prompt. An engine that holds a step holds
// the steps before it too, so the steps are walked from the longest on.
func (p *Expected) trace(r *qm.PlaceRequest, now sketch.Tick) {
	p.stamp++
	for i := len(r.Spans) - 1; i >= 0; i-- {
		for _, h := range p.table.Get(r.Spans[i].Key) {
			if h.Epoch == 0 || int(h.Engine) >= len(p.fleet.engines) {
				continue
			}
			e := &p.fleet.engines[h.Engine]
			if h.Epoch != e.epoch {
				continue
			}
			if e.stamp != p.stamp {
				e.stamp, e.hit, e.conf = p.stamp, 0, 0
			}
			if c := p.confidence(e, h, now); c > e.conf {
				e.hit += float64(r.Spans[i].End) * (c - e.conf)
				e.conf = c
			}
		}
	}
}

// confidence returns the chance that a holder still has the prefix. By age alone it is near 1 until the age reaches the time
// that unused blocks stay, since caches evict the least recently used block, and falls to the share of blocks that the
// requests of other routers keep. That no eviction was reported makes the chance better, and certain if no event is lost.
func (p *Expected) confidence(e *engine, h sketch.Holder, now sketch.Tick) float64 {
	age := time.Duration(now-h.Seen) * sketch.TickTime
	x := age.Seconds() / math.Max(e.stay, 0.001)
	x *= x
	c := 1 / (1 + x*x)
	switch {
	case e.heard == 0 || time.Duration(now-e.heard)*sketch.TickTime > p.opt.EventSilence:
		return c
	case h.Seen >= e.gap:
		return 1
	}
	c = math.Max(c, p.opt.Kept)
	return c / (c + (1-c)*e.loss)
}

// count counts the prefixes of the prompt and the requests of the group, of which they have a share. The whole prompt, which
// hardly ever comes again, counts only if it is one step.
func (p *Expected) count(r *qm.PlaceRequest, group qm.PrefixKey, now sketch.Tick) {
	p.hot.Decay(now)
	p.hot.Add(group)
	for _, s := range shared(r) {
		p.hot.Add(s.Key)
	}
}

// shared returns the steps that other prompts may have in common with this one.
func shared(r *qm.PlaceRequest) []qm.PrefixSpan {
	if len(r.Spans) > 1 {
		return r.Spans[:len(r.Spans)-1]
	}
	return r.Spans
}

// settle finds the homes of the prompt: by share while the router knows the shares and sees the caches, else by plain hash.
// A hot prefix has several homes either way.
func (p *Expected) settle(r *qm.PlaceRequest, group qm.PrefixKey, n int, sight float64) {
	p.homes.reset()
	total := math.Max(1, p.hot.Count(group))
	var key qm.PrefixKey
	switch {
	case p.opt.Direct:
		key = lastShared(r)
	case total >= p.opt.Sample && sight >= p.opt.LeastSight:
		p.narrow(r, total, n)
		return
	default:
		key = affinity(r, p.opt.HomeShare)
	}
	want := 1
	if total >= p.opt.Sample {
		want = p.width(key, total, n)
	}
	p.selectHomes(key, min(want, maxHomes, n))
}

// narrow walks from the shortest prefix on and keeps as many engines as the share of the prefix among the requests needs,
// chosen by weight among those kept before. So a large team is spread over several engines by its contexts, a small one stays
// on one engine, and a hot prefix keeps several to the end. No fixed level of the prompt has to be named, and the common first
// levels take memory on few engines only.
func (p *Expected) narrow(r *qm.PlaceRequest, total float64, n int) {
	for _, s := range shared(r) {
		want := p.width(s.Key, total, n)
		if want > maxHomes || want >= p.homes.size(n) {
			continue
		}
		if p.homes.full() {
			p.homes.narrow(s.Key, want, p.fleet)
			continue
		}
		p.selectHomes(s.Key, want)
	}
}

// width returns the number of engines that the share of a prefix needs. The request itself is one of those counted.
func (p *Expected) width(key qm.PrefixKey, total float64, n int) int {
	return max(1, int(math.Ceil(p.opt.Width*float64(n)*(p.hot.Count(key)-1)/total)))
}

// selectHomes selects the first homes of a prompt among all engines that may be used.
func (p *Expected) selectHomes(key qm.PrefixKey, want int) {
	p.homes.begin(want)
	for at, t := range p.times {
		if !math.IsInf(t, 1) {
			p.homes.offer(weigh(key, p.fleet.at(at).hash), at)
		}
	}
}

// score fills in the expected times, the homes and the scores, and returns the least score.
func (p *Expected) score(
	r *qm.PlaceRequest, engines []*qm.Endpoint, state qm.MemberState, n int,
	group qm.PrefixKey, now sketch.Tick, rnd *rand.Rand,
) float64 {
	total := 0
	p.times, p.scores = p.times[:0], p.scores[:0]
	for i, ep := range engines {
		p.times = append(p.times, math.Inf(1))
		p.scores = append(p.scores, math.Inf(1))
		if usable(ep, state, r.Exclude) {
			total += p.fleet.at(i).load()
			p.times[i] = 0
		}
	}
	bound := p.bound(total, n)
	sight := p.sight(now)
	stray := p.opt.Stray + p.opt.Blind*(1-sight)
	if p.guesses(r) {
		stray = strayUnknown
	}
	p.base, p.slope = p.trust.line(now)
	for i := range engines {
		e := p.fleet.at(i)
		if p.times[i] != 0 {
			continue
		}
		if e.load()+1 > bound {
			p.times[i] = math.Inf(1)
			continue
		}
		p.times[i] = p.expect(r, e)
		p.scores[i] = p.times[i] + stray*p.missing(r, e)*e.cost
	}
	p.settle(r, group, n, sight)
	p.assume(r)
	p.homes.refund(p.scores, p.times)
	p.charge(r)
	p.thin(n, rnd)
	best := math.Inf(1)
	for _, s := range p.scores {
		best = math.Min(best, s)
	}
	return best
}

// strayUnknown is Stray where routers know too little of each other: a copy that the others do not learn of is read once more at the
// home, which costs more than an answer that is a little late.
const strayUnknown = 0.5

// guesses reports whether this router takes homes to hold what it does not know.
func (p *Expected) guesses(r *qm.PlaceRequest) bool { return p.opt.Guess && r.CacheStore == nil }

// homeHit is the chance that the home of a prefix holds it, as far as this router knows nothing else: other routers send the same
// prefixes there.
const homeHit = 0.8

// assume takes the first home of a prompt to hold its shared part when routers know too little of each other to tell.
func (p *Expected) assume(r *qm.PlaceRequest) {
	if !p.guesses(r) || p.homes.n == 0 {
		return
	}
	at := p.homes.places[0]
	e := p.fleet.at(at)
	if e.stamp != p.stamp {
		e.stamp, e.hit, e.conf = p.stamp, 0, 0
	}
	e.hit = math.Max(e.hit, homeHit*float64(sharedEnd(r)))
	p.times[at] = p.expect(r, e)
	p.scores[at] = p.times[at]
}

// thin takes engines out of the choice that are neither homes nor hold anything, until Blindly of them are left.
func (p *Expected) thin(n int, rnd *rand.Rand) {
	if p.opt.Blindly == 0 || n <= 2*p.opt.Blindly {
		return
	}
	var others []int
	for i := range p.scores {
		if e := p.fleet.at(i); !math.IsInf(p.scores[i], 1) && !p.homes.has(i) && (e.stamp != p.stamp || e.hit == 0) {
			others = append(others, i)
		}
	}
	rnd.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, i := range others[min(len(others), p.opt.Blindly):] {
		p.scores[i] = math.Inf(1)
	}
}

// sight returns the part of the caches of the usable engines that events show.
func (p *Expected) sight(now sketch.Tick) float64 {
	seen, n := 0.0, 0.0
	for i, t := range p.times {
		if !math.IsInf(t, 1) {
			seen += p.fleet.at(i).sight(now, p.opt.EventSilence)
			n++
		}
	}
	return seen / n
}

// charge adds the cost of prefilling again what another engine is expected to hold. The homes of a hot prefix do not pay it,
// since the prefix needs a copy at each of them.
func (p *Expected) charge(r *qm.PlaceRequest) {
	least := math.Inf(1)
	for i, t := range p.times {
		if !math.IsInf(t, 1) {
			least = math.Min(least, p.missing(r, p.fleet.at(i)))
		}
	}
	for i, t := range p.times {
		if e := p.fleet.at(i); !math.IsInf(t, 1) && !p.homes.hot(i) {
			p.scores[i] += p.opt.Again * (p.missing(r, e) - least) * e.cost
		}
	}
}

// bound returns the number of requests that no engine may exceed while total requests run on n engines. It is above the
// mean, so at least one engine is below it.
func (p *Expected) bound(total, n int) int {
	mean := float64(total+1) / float64(n)
	return max(p.opt.LoadFloor, int(math.Ceil(mean*p.opt.LoadFactor)))
}

// expect returns the expected time to first token at an engine, in seconds.
func (p *Expected) expect(r *qm.PlaceRequest, e *engine) float64 {
	tokens := e.pending + math.Max(0, p.base+p.slope*e.others()) + p.missing(r, e)
	wait := 0.0
	if over := e.load() + 1 - e.slots; over > 0 && e.slots > 0 {
		wait = float64(over) * e.service / float64(e.slots)
	}
	return tokens*e.cost + wait
}

// missing returns the tokens that the engine is expected to prefill.
func (p *Expected) missing(r *qm.PlaceRequest, e *engine) float64 {
	if e.stamp != p.stamp {
		return float64(r.PromptTokens)
	}
	return math.Max(0, float64(r.PromptTokens)-e.hit)
}

// choose returns the position of the engine to use. A home that is as good as the best engine comes first, then one of the
// near-equal engines by lot, so that routers with the same reports do not all choose the same engine.
func (p *Expected) choose(best float64, rnd *rand.Rand) (int, string) {
	limit := best + math.Max(p.opt.Near.Seconds(), p.opt.NearShare*best)
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
	if e := p.fleet.at(at); e.stamp == p.stamp && e.hit > 0 {
		return at, reasonHolder
	}
	return at, reasonFree
}
