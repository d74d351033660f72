// Package audit checks, from what callers sent and got and what engines saw, whether the promises to callers and operators were kept.
//
// It learns of requests before they are sent and of everything else as it happens, in any order. Promises with a time bound are checked
// only where nothing was harmed for Contact before: a router that can't be told of a change can't obey it.
package audit

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"quetzalmount.dev/quetzalmount/platform/fake"
)

// Bounds are the times and rates that are promised.
type Bounds struct {
	// Contact is how long nothing near a router must have been harmed for its bounds to hold.
	Contact time.Duration
	// Apply is when a configuration is in force, Back how far apart two requests may be handled by it in the wrong order, Drain when an
	// engine that leaves gets nothing more.
	Apply, Back, Drain time.Duration
	// RepeatRatio and RepeatExtra bound the arrivals at engines beyond the first of each request in any RepeatWindow.
	RepeatRatio, RepeatExtra float64
	RepeatWindow             time.Duration
}

// Kind is a kind of request.
type Kind string

// Kinds of requests.
const (
	// Order may run once, Look may run again, Chat is a stream that may go on at another engine.
	Order Kind = "Order"
	Look  Kind = "Look"
	Chat  Kind = "Chat"
)

// Attempt is one request as its caller sees it.
type Attempt struct {
	ID     string
	Kind   Kind
	Router string
	// Start is the number of the router's start to which it was sent.
	Start int
	// Key is the number of the configuration that brought the key.
	Key         int
	Sent, Ended time.Time
	// Status is the status of the answer, 0 if there was none. Whole tells that it is complete, Fault what is wrong with it.
	Status int
	Whole  bool
	Fault  string
	// Gone tells that the caller gave up.
	Gone bool
}

// notRun reports whether a status says that a request has not run and never will.
func notRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// record is what is known of one request.
type record struct {
	Attempt
	ended bool
	// engines are those where it ran, ran when it did first.
	engines []string
	ran     time.Time
}

// span is a time in which something was harmed; a zero end means that it lasts.
type span struct{ from, to time.Time }

// fence is the last order that an engine accepted.
type fence struct {
	number int64
	holder string
}

// proof tells that a start of a router had a configuration.
type proof struct {
	version int
	at      time.Time
}

type startOf struct {
	router string
	start  int
}

// Book collects what is seen. It is safe for concurrent use.
type Book struct {
	bounds Bounds

	mu       sync.Mutex
	records  map[string]*record
	harmed   map[string][]*span
	left     map[string]time.Time
	accepted map[int]time.Time
	written  map[int]time.Time
	fences   map[string]fence
	proofs   map[startOf]proof
	// sent and again are the times of requests, and of arrivals beyond the first of a request.
	sent, again []time.Time
	arrived     map[string]bool
	broken      []string
}

// New returns an empty book.
func New(b Bounds) *Book {
	return &Book{
		bounds: b, records: map[string]*record{}, harmed: map[string][]*span{}, left: map[string]time.Time{}, accepted: map[int]time.Time{},
		written: map[int]time.Time{}, fences: map[string]fence{}, proofs: map[startOf]proof{}, arrived: map[string]bool{},
	}
}

// Broken returns the promises that were broken, in the order in which that was found.
func (b *Book) Broken() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.broken)
}

// Fail notes a broken promise that somebody else has found.
func (b *Book) Fail(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fail(format, args...)
}

func (b *Book) fail(format string, args ...any) {
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
}

// Places of harm beside the names of routers and engines.
const (
	Store   = "store"
	callers = "callers of "
)

// CallersOf is the place of the link between callers and a router.
func CallersOf(router string) string { return callers + router }

// Harm notes that something is harmed from now on, until the function that it returns is called.
func (b *Book) Harm(place string) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &span{from: time.Now()}
	b.harmed[place] = append(b.harmed[place], s)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.to = time.Now()
	}
}

// calm reports whether none of the places was harmed from Contact before a time until another. The caller holds mu.
func (b *Book) calm(from, to time.Time, places ...string) bool {
	from = from.Add(-b.bounds.Contact)
	for _, p := range places {
		for _, s := range b.harmed[p] {
			if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
				return false
			}
		}
	}
	return true
}

// Configuring notes that the operator begins to write a configuration, Configured that the store has accepted it. Configuration n takes
// the keys n and n-1.
func (b *Book) Configuring(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.written[n] = time.Now()
}

// Configured notes that the store has accepted a configuration.
func (b *Book) Configured(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accepted[n] = time.Now()
}

// Sent notes a request that is about to be sent.
func (b *Book) Sent(a Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records[a.ID] = &record{Attempt: a}
	b.sent = append(b.sent, a.Sent)
}

// Answered notes how a request ended for its caller.
func (b *Book) Answered(a Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[a.ID]
	r.Attempt, r.ended = a, true
	if a.Fault != "" {
		b.fail("answer: %s %s at %s: %s", a.Kind, a.ID, a.Router, a.Fault)
	}
	b.checkNotRun(r)
	b.checkConfiguration(r)
}

// Engine takes an event of an engine.
func (b *Book) Engine(ev fake.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch ev.Kind {
	case fake.Wrong:
		b.fail("engine %s: request %s %s", ev.Engine, ev.Request, ev.Detail)
	case fake.Draining:
		b.left[ev.Engine] = ev.Time
	case fake.Ordered:
		b.checkOrder(ev)
	case fake.Refused:
		b.arrive(ev)
	case fake.Ran:
		b.arrive(ev)
		b.ran(ev)
	}
}

// arrive counts an arrival at an engine.
func (b *Book) arrive(ev fake.Event) {
	if b.arrived[ev.Request] {
		b.again = append(b.again, ev.Time)
	}
	b.arrived[ev.Request] = true
}

func (b *Book) ran(ev fake.Event) {
	r := b.records[ev.Request]
	if r == nil {
		b.fail("run: engine %s ran %q, which no caller sent", ev.Engine, ev.Request)
		return
	}
	r.engines = append(r.engines, ev.Engine)
	if len(r.engines) == 1 {
		r.ran = ev.Time
	}
	if r.Kind == Order && len(r.engines) > 1 {
		b.fail("run twice: %s ran on %v", r.ID, r.engines)
	}
	b.checkNotRun(r)
	if at, ok := b.left[ev.Engine]; ok && ev.Time.After(at.Add(b.bounds.Drain)) && b.calm(at, ev.Time, r.Router, ev.Engine, Store) {
		b.fail("leaving: engine %s got %s from %s %d ms after it left", ev.Engine, r.ID, r.Router, ev.Time.Sub(at).Milliseconds())
	}
}

// checkNotRun checks the promise that a request has not run.
func (b *Book) checkNotRun(r *record) {
	if r.ended && len(r.engines) > 0 && notRun(r.Status) {
		b.fail("not run: %s %s was answered %d by %s and ran on %v", r.Kind, r.ID, r.Status, r.Router, r.engines)
	}
}

// checkOrder checks that orders to one engine come from one holder at a time.
func (b *Book) checkOrder(ev fake.Event) {
	last, ok := b.fences[ev.Engine]
	switch {
	case ok && ev.Fence < last.number:
		b.fail("orders: engine %s got fence %d of %s after %d of %s", ev.Engine, ev.Fence, ev.Holder, last.number, last.holder)
	case ok && ev.Fence == last.number && ev.Holder != last.holder:
		b.fail("orders: engine %s got fence %d of %s and of %s", ev.Engine, ev.Fence, last.holder, ev.Holder)
	}
	b.fences[ev.Engine] = fence{ev.Fence, ev.Holder}
}

// Restarted notes that an engine starts again and knows nothing of before.
func (b *Book) Restarted(engine string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.fences, engine)
	delete(b.left, engine)
}

// accepts reports whether a configuration takes a key.
func accepts(version, key int) bool { return key == version || key == version-1 }

// checkConfiguration checks that a request was handled by a configuration that may be in force, and that no router goes back.
func (b *Book) checkConfiguration(r *record) {
	if r.Status == 0 {
		return
	}
	refused := r.Status == http.StatusUnauthorized
	if !refused && r.Status != http.StatusOK {
		return
	}
	least, most := 0, 0
	for n, at := range b.accepted {
		if !at.Add(b.bounds.Apply).After(r.Sent) {
			least = max(least, n)
		}
	}
	for n, at := range b.written {
		if at.Before(r.Ended) {
			most = max(most, n)
		}
	}
	if !b.calm(r.Sent, r.Ended, r.Router, Store) {
		least = 0
	}
	p := b.proofs[startOf{r.Router, r.Start}]
	from := least
	if r.Sent.After(p.at.Add(b.bounds.Back)) {
		from = max(from, p.version)
	}
	possible := from == 0
	for n := from; n <= most; n++ {
		possible = possible || accepts(n, r.Key) != refused
	}
	if !possible {
		b.fail("configuration: %s with key %d was answered %d by %s, start %d; at least %d is in force there, %d by the router's own answers",
			r.ID, r.Key, r.Status, r.Router, r.Start, least, p.version)
	}
	if !refused && r.Key > p.version {
		b.proofs[startOf{r.Router, r.Start}] = proof{r.Key, r.Ended}
	}
}

// Finish checks what can be told only once all events have come.
func (b *Book) Finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.records {
		b.checkLost(r)
	}
	b.checkRepeats()
}

// checkLost checks that a request which a sound engine ran was answered.
func (b *Book) checkLost(r *record) {
	if !r.ended || r.Gone || r.Whole || r.Status != 0 && r.Status != http.StatusOK || len(r.engines) == 0 {
		return
	}
	places := append([]string{r.Router, CallersOf(r.Router)}, r.engines...)
	if b.calm(r.Sent, r.Ended, places...) {
		b.fail("lost: %s %s ran on %v and %s cut its answer", r.Kind, r.ID, r.engines, r.Router)
	}
}

// checkRepeats checks the bound of arrivals beyond the first of each request.
func (b *Book) checkRepeats() {
	w := b.bounds.RepeatWindow
	for i, end := range b.again {
		n := 0
		for j := i; j >= 0 && b.again[j].After(end.Add(-w)); j-- {
			n++
		}
		requests := max(b.count(end.Add(-w), end), b.count(end.Add(-2*w), end.Add(-w)), b.count(end.Add(-w*3/2), end.Add(-w/2)))
		if limit := b.bounds.RepeatRatio*float64(requests) + b.bounds.RepeatExtra; float64(n) > limit {
			b.fail("repeats: %d arrivals beyond the first within %v, %d requests", n, w, requests)
			return
		}
	}
}

// count returns the number of requests that were sent between two times.
func (b *Book) count(from, to time.Time) int {
	n := 0
	for _, t := range b.sent {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}
