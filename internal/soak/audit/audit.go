// Package audit checks the guarantees to callers and operators against the requests and responses of callers and the events of engines.
//
// Requests are recorded before they are sent; all other events may be recorded in any order. Guarantees with a time bound are checked only
// where there was no fault for the time Guarantees.Recovery: a router that cannot receive a change cannot apply it.
package audit

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"quetzalmount.dev/quetzalmount/platform/fake"
)

// Guarantees are the guaranteed times and rates.
type Guarantees struct {
	// Recovery is how long a router and its connections must have been free of faults for its time bounds to hold.
	Recovery time.Duration
	// Apply is the time after which a configuration is in force. MaxReordering is the time after a response from which on a router must
	// handle new requests by the same or a newer configuration. Drain is the time after which a draining engine gets no more requests.
	Apply, MaxReordering, Drain time.Duration
	// RepeatRatio and RepeatExtra limit the duplicate arrivals of requests at the engines of a service in any RepeatWindow: RepeatRatio times the
	// number of requests for the service, plus RepeatExtra.
	RepeatRatio, RepeatExtra float64
	RepeatWindow             time.Duration
	// LossSlack is the time after the last byte of a request after which a connection that ends without a response has lost the request. Earlier,
	// the request may have crossed the end of an idle connection.
	LossSlack time.Duration
	// Grace is the time that a router that stops has for the open requests. LastGrace is the end of it, in which it may break off responses.
	Grace, LastGrace time.Duration
}

// Kind is a kind of request.
type Kind string

// Kinds of requests, named after the routes of the configuration.
const (
	// Order is a non-idempotent call, Look an idempotent one, Chat a stream that can be resumed at another engine, and Note one that can't.
	Order Kind = "Order"
	Look  Kind = "Look"
	Chat  Kind = "Chat"
	Note  Kind = "Note"
)

// IsRepeatable reports whether a request of this kind may run more than once.
func (k Kind) IsRepeatable() bool { return k == Look || k == Chat }

// IsStreamed reports whether the response is an event stream.
func (k Kind) IsStreamed() bool { return k == Chat || k == Note }

// Kinds lists all kinds.
var Kinds = []Kind{Order, Look, Chat, Note}

// PathPrefix returns the beginning of the path of requests of this kind.
func (k Kind) PathPrefix() string { return "/" + strings.ToLower(string(k)) + "/" }

// Services returns the services that may run requests of this kind. The first one does unless a configuration says otherwise.
func (k Kind) Services() []string {
	first := fake.PlainService
	if k.IsStreamed() {
		first = fake.ModelService
	}
	return []string{first, SecondService(first)}
}

// SecondService returns the name of the service that configurations may use in place of service.
func SecondService(service string) string { return service + "-b" }

// Sections is the number of sections of the paths of a kind. Configurations may have routes of their own for all but section 0.
const Sections = 3

// SectionPath returns the beginning of the path of requests in a section.
func SectionPath(prefix string, section int) string {
	if section == 0 {
		return prefix
	}
	return fmt.Sprintf("%s%d/", prefix, section)
}

// Target is what a configuration has a rule for: the requests of a kind in a section.
type Target struct {
	Kind    Kind
	Section int
}

// Rule is what a configuration says of a target: the time-out and the services of its route.
type Rule struct {
	Timeout  time.Duration
	Services []string
}

// Attempt is one request from the caller's view.
type Attempt struct {
	ID string
	Target
	// Padding is the number of bytes that make the body of the request long, 0 if it is short.
	Padding int
	Router  string
	// Incarnation is the number of times that the router had been started when the request was sent.
	Incarnation int
	// KeyVersion is the version of the configuration that introduced the key.
	KeyVersion int
	// Written is when the last byte of the request was written, zero if it wasn't.
	Sent, Written, Ended time.Time
	// Status is the HTTP status of the response, 0 if there was none. Complete reports whether the whole body was received. Mismatch
	// describes a wrong response and is empty for a correct one.
	Status   int
	Complete bool
	Mismatch string
	// CallerGaveUp reports whether the caller's deadline passed.
	CallerGaveUp bool
}

// Refused reports whether the caller was told to come back, since the request has not run and will not run.
func (a *Attempt) Refused() bool {
	return a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
}

// meansNotRun reports whether a status guarantees that the request has not run and will not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// record is the recorded state of one request.
type record struct {
	Attempt
	ended bool
	// engines lists the engines that ran the request, runTimes the times at which they began.
	engines  []string
	runTimes []time.Time
	// spoiled is true if the engine wrote a copy of another response before its response to the request.
	spoiled bool
	// promises are the earlier sends of the request, after which the caller came back with the same ID.
	promises []promise
}

// promise is a send of a request that was answered as not run.
type promise struct {
	// sent is when the request was sent, next when it was sent again, zero if it wasn't.
	sent, next time.Time
	status     int
	router     string
}

// send identifies one of the sends of a request with the same ID, which are numbered from 0.
type send struct {
	id     string
	number int
}

// interval is the time of a fault. A zero end means that the fault is still present.
type interval struct{ from, to time.Time }

// fence is the fencing token and the holder of the last order that an engine accepted.
type fence struct {
	number int64
	holder string
}

// observation is the newest configuration version that the responses of a router prove to have been in force, and when.
type observation struct {
	version int
	at      time.Time
}

// routerRun identifies one process of a router.
type routerRun struct {
	router      string
	incarnation int
}

// Checker records requests, events and faults and collects the violations of the guarantees. It is safe for concurrent use.
type Checker struct {
	guarantees Guarantees

	mu            sync.Mutex
	records       map[string]*record
	faults        map[string][]*interval
	drainingSince map[string]time.Time
	acceptedAt    map[int]time.Time
	submittedAt   map[int]time.Time
	// rules holds the rules by the version of the configuration.
	rules map[int]map[Target]Rule
	// copies holds the times at which engines wrote copies of responses, and stops those at which routers were told to stop.
	copies, stops map[string][]time.Time
	// services holds the services of all engines that were started, by ID.
	services map[string]string
	fences   map[string]fence
	observed map[routerRun]observation
	// arrivals holds the arrivals by service.
	arrivals   map[string]*arrivalTimes
	arrived    map[send]bool
	violations []string
}

// arrivalTimes are the times of all requests for a service, and of the arrivals at its engines after the first one of the same request.
type arrivalTimes struct{ sent, duplicate []time.Time }

// New returns a checker without records.
func New(g Guarantees) *Checker {
	return &Checker{
		guarantees: g, records: map[string]*record{}, faults: map[string][]*interval{}, drainingSince: map[string]time.Time{}, acceptedAt: map[int]time.Time{},
		submittedAt: map[int]time.Time{}, fences: map[string]fence{}, observed: map[routerRun]observation{}, arrived: map[send]bool{},
		rules: map[int]map[Target]Rule{}, copies: map[string][]time.Time{}, stops: map[string][]time.Time{}, services: map[string]string{},
		arrivals: map[string]*arrivalTimes{},
	}
}

// Violations returns the violations of the guarantees in the order of their detection.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// AddViolation records a violation that was detected outside this package.
func (c *Checker) AddViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

// addViolation records a violation. The caller must hold mu.
func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Targets of faults, besides the names of routers and engines.
const (
	Store         = "store"
	callersPrefix = "callers of "
	storePrefix   = "store of "
	silencePrefix = "silence of "
)

// StoreOf returns the fault target for the connections between a router and the store.
func StoreOf(router string) string { return storePrefix + router }

// SilenceOf returns the fault target for the pauses of an engine. A pause excuses no lost request.
func SilenceOf(engine string) string { return silencePrefix + engine }

// CallersOf returns the fault target for the connections between callers and a router.
func CallersOf(router string) string { return callersPrefix + router }

// BeginFault records that target has a fault from now until the returned function is called.
func (c *Checker) BeginFault(target string) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &interval{from: time.Now()}
	c.faults[target] = append(c.faults[target], s)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.to = time.Now()
	}
}

// faultFree reports whether none of the targets had a fault in the period that begins Recovery before from and ends at to. The caller must
// hold mu.
func (c *Checker) faultFree(from, to time.Time, targets ...string) bool {
	from = from.Add(-c.guarantees.Recovery)
	for _, target := range targets {
		for _, s := range c.faults[target] {
			if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
				return false
			}
		}
	}
	return true
}

// ConfigurationSubmitted records that the operator starts to write configuration version n, which accepts the keys n and n-1, and its rules.
func (c *Checker) ConfigurationSubmitted(n int, rules map[Target]Rule) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submittedAt[n], c.rules[n] = time.Now(), rules
}

// EngineAdded records that an engine of a service is started.
func (c *Checker) EngineAdded(engine, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services[engine] = service
}

// RouterStopping records that a router is told to stop.
func (c *Checker) RouterStopping(router string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops[router] = append(c.stops[router], time.Now())
}

// ConfigurationAccepted records that the store has accepted configuration version n.
func (c *Checker) ConfigurationAccepted(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acceptedAt[n] = time.Now()
}

// RequestSent records a request. It must be called before the request is sent. A request that was answered as not run may be sent again with
// the same ID.
func (c *Checker) RequestSent(a Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &record{Attempt: a}
	if old := c.records[a.ID]; old != nil {
		r.engines, r.runTimes, r.spoiled = old.engines, old.runTimes, old.spoiled
		r.promises = append(old.promises, promise{sent: old.Sent, next: a.Sent, status: old.Status, router: old.Router})
	}
	c.records[a.ID] = r
	for _, s := range a.Kind.Services() {
		t := c.arrivalsAt(s)
		t.sent = append(t.sent, a.Sent)
	}
}

// RequestEnded records how a request ended for its caller, and checks its response.
func (c *Checker) RequestEnded(a Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[a.ID]
	r.Attempt, r.ended = a, true
	if a.Mismatch != "" {
		c.addViolation("answer: %s %s at %s: %s", a.Kind, a.ID, a.Router, a.Mismatch)
	}
	c.checkNotRun(r)
	c.checkConfiguration(r)
}

// EngineEvent records and checks an event of an engine.
func (c *Checker) EngineEvent(ev fake.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch ev.Kind {
	case fake.Wrong:
		c.addViolation("engine %s: request %s %s", ev.Engine, ev.Request, ev.Detail)
	case fake.Draining:
		c.drainingSince[ev.Engine] = ev.Time
	case fake.Ordered:
		c.checkOrder(ev)
	case fake.Copied:
		if r := c.records[ev.Request]; r != nil {
			r.spoiled = true
		}
		c.copies[ev.Engine] = append(c.copies[ev.Engine], ev.Time)
	case fake.Refused:
		c.countArrival(ev)
	case fake.Ran:
		c.countArrival(ev)
		c.checkRun(ev)
	}
}

// countArrival records the arrival of a request at an engine.
func (c *Checker) countArrival(ev fake.Event) {
	r := c.records[ev.Request]
	if r == nil {
		return // checkRun reports a run that no caller asked for
	}
	s := send{id: ev.Request}
	for _, p := range r.promises {
		if !ev.Time.Before(p.next) {
			s.number++
		}
	}
	if c.arrived[s] {
		service, ok := c.services[ev.Engine]
		if !ok {
			service = r.Kind.Services()[0]
		}
		t := c.arrivalsAt(service)
		t.duplicate = append(t.duplicate, ev.Time)
	}
	c.arrived[s] = true
}

// arrivalsAt returns the arrivals at a service. Which of its services a configuration chose for a request is not known, so the requests of a kind
// count at all of them. The caller must hold mu.
func (c *Checker) arrivalsAt(service string) *arrivalTimes {
	if c.arrivals[service] == nil {
		c.arrivals[service] = &arrivalTimes{}
	}
	return c.arrivals[service]
}

// checkRun records a run of a request and checks that the engine was allowed to run it.
func (c *Checker) checkRun(ev fake.Event) {
	r := c.records[ev.Request]
	if r == nil {
		c.addViolation("run: engine %s ran %q, which no caller sent", ev.Engine, ev.Request)
		return
	}
	r.engines, r.runTimes = append(r.engines, ev.Engine), append(r.runTimes, ev.Time)
	if !r.Kind.IsRepeatable() && len(r.engines) > 1 {
		c.addViolation("run twice: %s ran on %v", r.ID, r.engines)
	}
	c.checkNotRun(r)
	if at, ok := c.drainingSince[ev.Engine]; ok && ev.Time.After(at.Add(c.guarantees.Drain)) && c.faultFree(at, ev.Time, r.Router, ev.Engine, SilenceOf(ev.Engine), Store, StoreOf(r.Router)) {
		c.addViolation("leaving: engine %s got %s from %s %d ms after it left", ev.Engine, r.ID, r.Router, ev.Time.Sub(at).Milliseconds())
	}
}

// checkNotRun checks that no send of a request was followed by a run if its status guarantees that. A run after a request was sent again
// counts for the later send.
func (c *Checker) checkNotRun(r *record) {
	promises := r.promises
	if r.ended && meansNotRun(r.Status) {
		promises = append(slices.Clone(promises), promise{sent: r.Sent, status: r.Status, router: r.Router})
	}
	for _, p := range promises {
		for i, at := range r.runTimes {
			if !at.Before(p.sent) && (p.next.IsZero() || at.Before(p.next)) {
				c.addViolation("not run: %s %s was answered %d by %s and ran on %v", r.Kind, r.ID, p.status, p.router, r.engines[i])
			}
		}
	}
}

// checkOrder checks that the fencing tokens of the orders to an engine never decrease and that each belongs to one holder.
func (c *Checker) checkOrder(ev fake.Event) {
	last, ok := c.fences[ev.Engine]
	switch {
	case ok && ev.Fence < last.number:
		c.addViolation("orders: engine %s got fence %d of %s after %d of %s", ev.Engine, ev.Fence, ev.Holder, last.number, last.holder)
	case ok && ev.Fence == last.number && ev.Holder != last.holder:
		c.addViolation("orders: engine %s got fence %d of %s and of %s", ev.Engine, ev.Fence, last.holder, ev.Holder)
	}
	c.fences[ev.Engine] = fence{ev.Fence, ev.Holder}
}

// EngineRestarted discards the fencing token and the drain time of an engine, which loses them when it restarts.
func (c *Checker) EngineRestarted(engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fences, engine)
	delete(c.drainingSince, engine)
}

// acceptsKey reports whether the configuration version accepts a key.
func acceptsKey(version, key int) bool { return key == version || key == version-1 }

// possibleVersions returns the oldest and the newest version of the configuration that may have been in force for a request. The oldest one is 0
// if none is known to be.
func (c *Checker) possibleVersions(r *record) (oldest, newest int) {
	if c.faultFree(r.Sent, r.Ended, r.Router, Store, StoreOf(r.Router)) {
		for n, at := range c.acceptedAt {
			if !at.Add(c.guarantees.Apply).After(r.Sent) {
				oldest = max(oldest, n)
			}
		}
	}
	for n, at := range c.submittedAt {
		if at.Before(r.Ended) {
			newest = max(newest, n)
		}
	}
	return oldest, newest
}

// checkConfiguration checks that the response fits a configuration that may have been in force, and that the router process did not return
// to an older configuration than its earlier responses prove.
func (c *Checker) checkConfiguration(r *record) {
	if r.Status == 0 {
		return
	}
	if r.Status >= http.StatusMultipleChoices && r.Status < http.StatusInternalServerError && r.Status != http.StatusUnauthorized && !meansNotRun(r.Status) {
		c.addViolation("denied: %s %s was answered %d by %s, start %d", r.Kind, r.ID, r.Status, r.Router, r.Incarnation)
	}
	refused := r.Status == http.StatusUnauthorized
	if !refused && r.Status != http.StatusOK {
		return
	}
	oldest, newest := c.possibleVersions(r)
	p := c.observed[routerRun{r.Router, r.Incarnation}]
	first := oldest
	if r.Sent.After(p.at.Add(c.guarantees.MaxReordering)) {
		first = max(first, p.version)
	}
	possible := first == 0
	for n := first; n <= newest; n++ {
		possible = possible || acceptsKey(n, r.KeyVersion) != refused
	}
	if !possible {
		c.addViolation("configuration: %s with key %d was answered %d by %s, start %d; at least %d is in force there, %d by the router's own answers",
			r.ID, r.KeyVersion, r.Status, r.Router, r.Incarnation, oldest, p.version)
	}
	if !refused && r.KeyVersion > p.version {
		c.observed[routerRun{r.Router, r.Incarnation}] = observation{r.KeyVersion, r.Ended}
	}
}

// Finish makes the checks that need all events. It must be called after the last event.
func (c *Checker) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.records {
		c.checkLost(r)
		c.checkServices(r)
	}
	c.checkRetryLimit()
}

// checkLost checks that a request that a router read got a complete answer or a refusal, unless there is an excuse: the deadline of the caller or
// the time-out of the route was reached, the router or its link to callers had a fault, the router had used up its grace, or its engine failed.
// Neither a pause of an engine nor a fault of the store is an excuse.
func (c *Checker) checkLost(r *record) {
	answered := r.Complete && r.Status != http.StatusBadGateway && r.Status != http.StatusGatewayTimeout
	if !r.ended || r.CallerGaveUp || answered || r.spoiled || c.isTimedOut(r) || c.isGraceUsed(r) || !c.faultFree(r.Sent, r.Ended, r.Router, CallersOf(r.Router)) {
		return
	}
	if len(r.engines) == 0 {
		// A connection that ends at once may have been closed before the router read the request.
		if r.Status == 0 && (r.Written.IsZero() || r.Ended.Sub(r.Written) < c.guarantees.LossSlack) {
			return
		}
		// Which engine got the request is not known.
		if engines := c.possibleEngines(r); c.faultFree(r.Sent, r.Ended, engines...) && !c.isCopied(r, engines) {
			c.addViolation("lost: %s %s at %s ran nowhere and got status %d after %v, at %s", r.Kind, r.ID, r.Router, r.Status, r.Ended.Sub(r.Sent), r.Ended.Format(time.RFC3339Nano))
		}
		return
	}
	if c.faultFree(r.Sent, r.Ended, r.engines...) {
		c.addViolation("lost: %s %s at %s ran on %v and got status %d and complete %v after %v, at %s", r.Kind, r.ID, r.Router, r.engines, r.Status,
			r.Complete, r.Ended.Sub(r.Sent), r.Ended.Format(time.RFC3339Nano))
	}
}

// timeoutTolerance is how much earlier than the time-out of its route a request may end that has timed out: the router counts in milliseconds.
const timeoutTolerance = 5 * time.Millisecond

// isTimedOut reports whether a request lasted for the shortest time-out that its route may have had.
func (c *Checker) isTimedOut(r *record) bool {
	for _, rule := range c.possibleRules(r) {
		if r.Ended.Sub(r.Sent) >= rule.Timeout-timeoutTolerance {
			return true
		}
	}
	return false
}

// possibleRules returns the rules for a request of all configurations that may have been in force.
func (c *Checker) possibleRules(r *record) (rules []Rule) {
	oldest, newest := c.possibleVersions(r)
	for n := oldest; n <= newest; n++ {
		if rule, ok := c.rules[n][r.Target]; ok {
			rules = append(rules, rule)
		}
	}
	return rules
}

// possibleEngines returns the engines of all services that may have got a request.
func (c *Checker) possibleEngines(r *record) (engines []string) {
	for _, rule := range c.possibleRules(r) {
		for e, s := range c.services {
			if slices.Contains(rule.Services, s) {
				engines = append(engines, e)
			}
		}
	}
	return engines
}

// checkServices checks that a request that was sent once ran on engines of the services to which a configuration that may have been in force sends
// it.
func (c *Checker) checkServices(r *record) {
	rules := c.possibleRules(r)
	if len(rules) == 0 || !r.ended || len(r.promises) > 0 {
		return
	}
	for _, e := range r.engines {
		if !slices.ContainsFunc(rules, func(rule Rule) bool { return slices.Contains(rule.Services, c.services[e]) }) {
			c.addViolation("service: %s %s of section %d from %s ran on %s", r.Kind, r.ID, r.Section, r.Router, e)
		}
	}
}

// isGraceUsed reports whether a request ended in the last part of the grace of its router, or after it.
func (c *Checker) isGraceUsed(r *record) bool {
	for _, at := range c.stops[r.Router] {
		if !r.Sent.After(at.Add(c.guarantees.Grace)) && r.Ended.After(at.Add(c.guarantees.Grace-c.guarantees.LastGrace)) {
			return true
		}
	}
	return false
}

// isCopied reports whether one of the engines wrote a copy of another response while a request was open.
func (c *Checker) isCopied(r *record, engines []string) bool {
	for _, e := range engines {
		for _, at := range c.copies[e] {
			if at.After(r.Sent) && at.Before(r.Ended) {
				return true
			}
		}
	}
	return false
}

// checkRetryLimit checks the limit on duplicate arrivals of requests at the engines of each service.
func (c *Checker) checkRetryLimit() {
	w := c.guarantees.RepeatWindow
	for _, t := range c.arrivals {
		for i, end := range t.duplicate {
			n := 0
			for j := i; j >= 0 && t.duplicate[j].After(end.Add(-w)); j-- {
				n++
			}
			requests := max(t.countSent(end.Add(-w), end), t.countSent(end.Add(-2*w), end.Add(-w)), t.countSent(end.Add(-w*3/2), end.Add(-w/2)))
			if limit := c.guarantees.RepeatRatio*float64(requests) + c.guarantees.RepeatExtra; float64(n) > limit {
				c.addViolation("repeats: %d arrivals beyond the first within %v, %d requests", n, w, requests)
				break
			}
		}
	}
}

// countSent returns the number of requests that were sent after from, up to and including to.
func (t *arrivalTimes) countSent(from, to time.Time) int {
	n := 0
	for _, at := range t.sent {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}
