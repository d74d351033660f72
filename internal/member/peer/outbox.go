package peer

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/fatal"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// update is a state or a hint that is passed on in a bounded number of messages.
type update[T any] struct {
	key        string
	value      T
	queuedAt   time.Time
	copiesLeft int
}

// queue holds updates, newest last, at most one per key and at most maxQueued.
type queue[T any] []update[T]

// add queues v for the given number of messages. It replaces an update with the same key.
func (q *queue[T]) add(key string, v T, copies int) {
	*q = slices.DeleteFunc(*q, func(u update[T]) bool { return u.key == key })
	if len(*q) >= maxQueued {
		*q = slices.Delete(*q, 0, 1)
	}
	*q = append(*q, update[T]{key, v, time.Now(), copies})
}

// take returns at most n updates for one message, except those whose key is in has: those with the most copies left first, newest first
// among equals, so that many updates that come back from failed calls don't keep out the others. It drops updates without copies left.
func (q *queue[T]) take(n int, has map[string]bool) []update[T] {
	var order []*update[T]
	for i := len(*q) - 1; i >= 0; i-- {
		if u := &(*q)[i]; !has[u.key] {
			order = append(order, u)
		}
	}
	slices.SortStableFunc(order, func(a, b *update[T]) int { return cmp.Compare(b.copiesLeft, a.copiesLeft) })
	var out []update[T]
	for _, u := range order[:min(n, len(order))] {
		u.copiesLeft--
		out = append(out, *u)
	}
	*q = slices.DeleteFunc(*q, func(i update[T]) bool { return i.copiesLeft <= 0 })
	return out
}

// giveBack returns one copy of each of the given updates, except those that a newer update with their key has replaced.
func (q *queue[T]) giveBack(given []update[T]) {
	for _, u := range given {
		i := slices.IndexFunc(*q, func(x update[T]) bool { return x.key == u.key })
		switch {
		case i >= 0 && (*q)[i].queuedAt.Equal(u.queuedAt):
			(*q)[i].copiesLeft++
		case i < 0 && len(*q) < maxQueued:
			u.copiesLeft = 1
			*q = slices.Insert(*q, 0, u)
		}
	}
}

// outbox holds the updates that a router passes on to its peers. It is safe for concurrent use.
type outbox struct {
	// maxHints bounds the hints in a message.
	maxHints int

	mu     sync.Mutex
	states queue[*peerpb.InstanceState]
	hints  queue[roster.Hint]
	// reports is keyed by reportKey.
	reports queue[fatal.Report]
}

func (o *outbox) addState(s *peerpb.InstanceState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	copies := stateCopies
	if s.GetLeaving() {
		copies = urgentCopies
	}
	o.states.add(s.GetInstance(), s, copies)
}

// addHint queues a hint. At most one is queued per endpoint: the newest, or the one that the endpoint leaves.
func (o *outbox) addHint(h roster.Hint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := string(h.Endpoint)
	if i := slices.IndexFunc(o.hints, func(u update[roster.Hint]) bool { return u.key == key }); i >= 0 && outranks(o.hints[i], h) {
		return
	}
	o.hints.add(key, h, urgentCopies)
}

// outranks reports whether a hint about an endpoint is worth more than a later one, since the endpoint leaves and the later hint is about the
// same process: leaving ends only with the process.
func outranks(u update[roster.Hint], later roster.Hint) bool {
	return u.value.Kind == roster.HintLeaving && later.Kind != roster.HintLeaving &&
		(later.Incarnation == "" || later.Incarnation == u.value.Incarnation) && u.value.Age+time.Since(u.queuedAt) < roster.HintValidity
}

func (o *outbox) addReport(r fatal.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reports.add(reportKey(r), r, urgentCopies)
}

// reportKey returns the key of a report. All ends of engines that a request is accused of are passed on, and the newest report of another
// kind.
func reportKey(r fatal.Report) string {
	return fmt.Sprintf("%x %d %s %s %s", r.Fingerprints, r.Kind, r.Run.Endpoint, r.Run.Incarnation, r.Request)
}

// kindsOfReports maps the kinds of reports to those on the wire.
var kindsOfReports = map[fatal.ReportKind]peerpb.RequestReport_Kind{
	fatal.ReportEnded: peerpb.RequestReport_ENDED, fatal.ReportCompleted: peerpb.RequestReport_COMPLETED,
	fatal.ReportConvicted: peerpb.RequestReport_CONVICTED,
}

func reportToWire(r fatal.Report) *peerpb.RequestReport {
	var fps []uint64
	for _, fp := range r.Fingerprints {
		fps = append(fps, uint64(fp))
	}
	var completions []int32
	for _, n := range r.Completions {
		completions = append(completions, int32(n))
	}
	return &peerpb.RequestReport{
		Fingerprint: fps[0], Parts: fps[1:], Kind: kindsOfReports[r.Kind], AgeMs: r.Age.Milliseconds(), ForMs: r.For.Milliseconds(),
		Endpoint: string(r.Run.Endpoint), Incarnation: string(r.Run.Incarnation), Request: string(r.Request),
		RanMs: r.Ran.Milliseconds(), Completions: completions,
	}
}

// reportFromWire returns a report with kind 0 if the wire's kind is unknown.
func reportFromWire(w *peerpb.RequestReport) fatal.Report {
	r := fatal.Report{
		Fingerprints: []qm.Fingerprint{qm.Fingerprint(w.GetFingerprint())}, Age: time.Duration(w.GetAgeMs()) * time.Millisecond,
		For: time.Duration(w.GetForMs()) * time.Millisecond, Request: qm.RequestID(w.GetRequest()),
		Ran: time.Duration(w.GetRanMs()) * time.Millisecond,
		Run: fatal.EndpointRun{Endpoint: qm.EndpointID(w.GetEndpoint()), Incarnation: qm.Incarnation(w.GetIncarnation())},
	}
	for _, n := range w.GetCompletions() {
		r.Completions = append(r.Completions, int(n))
	}
	for _, fp := range w.GetParts() {
		r.Fingerprints = append(r.Fingerprints, qm.Fingerprint(fp))
	}
	for k, wire := range kindsOfReports {
		if wire == w.GetKind() {
			r.Kind = k
		}
	}
	return r
}

// batch holds the updates of one message.
type batch struct {
	states  []update[*peerpb.InstanceState]
	hints   []update[roster.Hint]
	reports []update[fatal.Report]
}

// take returns the updates for one message. has holds the IDs of the instances and endpoints to leave out because the receiver has their
// updates.
func (o *outbox) take(has map[string]bool) batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return batch{o.states.take(MaxStates, has), o.hints.take(o.maxHints, has), o.reports.take(maxReports, nil)}
}

// giveBack queues the updates of a message that may not have arrived again.
func (o *outbox) giveBack(b batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.states.giveBack(b.states)
	for _, u := range b.hints {
		// A later hint was queued while the last copy of this one was under way.
		o.hints = slices.DeleteFunc(o.hints, func(x update[roster.Hint]) bool { return x.key == u.key && outranks(u, x.value) })
	}
	o.hints.giveBack(b.hints)
	o.reports.giveBack(b.reports)
}

// wire returns the updates as they are sent, without hints that are too old.
func (b batch) wire() (states []*peerpb.InstanceState, hints []*peerpb.EndpointHint, reports []*peerpb.RequestReport) {
	for _, u := range b.states {
		states = append(states, u.value)
	}
	for _, u := range b.hints {
		h := u.value
		if h.Age += time.Since(u.queuedAt); h.Age < roster.HintValidity {
			hints = append(hints, toWire(h))
		}
	}
	for _, u := range b.reports {
		r := u.value
		r.Age += time.Since(u.queuedAt)
		reports = append(reports, reportToWire(r))
	}
	return states, hints, reports
}

// toWire returns the wire message of a hint.
func toWire(h roster.Hint) *peerpb.EndpointHint {
	k := peerpb.EndpointHint_FAILED
	switch h.Kind {
	case roster.HintLeaving:
		k = peerpb.EndpointHint_LEAVING
	case roster.HintLoading:
		k = peerpb.EndpointHint_LOADING
	case roster.HintWeights:
		k = peerpb.EndpointHint_WEIGHTS
	}
	return &peerpb.EndpointHint{
		Model: string(h.Model), Version: string(h.Version),
		Endpoint: string(h.Endpoint), Incarnation: string(h.Incarnation), Kind: k, AgeMs: h.Age.Milliseconds(),
	}
}
