package peer

import (
	"slices"
	"sync"
	"time"

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

// take returns at most n updates for one message, newest first, except those whose key is in has. It drops updates without copies left.
func (q *queue[T]) take(n int, has map[string]bool) []update[T] {
	var out []update[T]
	for i := len(*q) - 1; i >= 0 && len(out) < n; i-- {
		if u := &(*q)[i]; !has[u.key] {
			u.copiesLeft--
			out = append(out, *u)
		}
	}
	*q = slices.DeleteFunc(*q, func(i update[T]) bool { return i.copiesLeft <= 0 })
	return out
}

// outbox holds the updates that a router passes on to its peers. It is safe for concurrent use.
type outbox struct {
	// maxHints bounds the hints in a message.
	maxHints int

	mu     sync.Mutex
	states queue[*peerpb.InstanceState]
	hints  queue[roster.Hint]
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

func (o *outbox) addHint(h roster.Hint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hints.add(string(h.Endpoint), h, urgentCopies)
}

// take returns the updates for one message. has holds the IDs of the instances and endpoints to leave out because the receiver has their
// updates.
func (o *outbox) take(has map[string]bool) (others []*peerpb.InstanceState, hints []*peerpb.EndpointHint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, u := range o.states.take(MaxStates, has) {
		others = append(others, u.value)
	}
	for _, u := range o.hints.take(o.maxHints, has) {
		h := u.value
		if h.Age += time.Since(u.queuedAt); h.Age < roster.HintValidity {
			hints = append(hints, toWire(h))
		}
	}
	return others, hints
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
