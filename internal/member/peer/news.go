package peer

import (
	"slices"
	"sync"
	"time"

	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// item is one piece of news that is passed on a bounded number of times.
type item[T any] struct {
	key   string
	value T
	at    time.Time
	left  int
}

// queue holds news, newest last, at most one item for each key.
type queue[T any] []item[T]

func (q *queue[T]) add(key string, v T, passes int) {
	*q = slices.DeleteFunc(*q, func(i item[T]) bool { return i.key == key })
	if len(*q) >= newsKept {
		*q = slices.Delete(*q, 0, 1)
	}
	*q = append(*q, item[T]{key, v, time.Now(), passes})
}

// take returns at most n items, newest first, without those that the receiver has, and drops what was passed on enough.
func (q *queue[T]) take(n int, has map[string]bool) []item[T] {
	var out []item[T]
	for i := len(*q) - 1; i >= 0 && len(out) < n; i-- {
		if it := &(*q)[i]; !has[it.key] {
			it.left--
			out = append(out, *it)
		}
	}
	*q = slices.DeleteFunc(*q, func(i item[T]) bool { return i.left <= 0 })
	return out
}

// news is what a router passes on to its peers.
type news struct {
	// maxHints bounds the hints in a message.
	maxHints int

	mu     sync.Mutex
	states queue[*peerpb.InstanceState]
	hints  queue[roster.Hint]
}

func (n *news) addState(s *peerpb.InstanceState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	passes := passState
	if s.GetLeaving() {
		passes = passUrgent
	}
	n.states.add(s.GetInstance(), s, passes)
}

func (n *news) addHint(h roster.Hint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hints.add(string(h.Endpoint), h, passUrgent)
}

// take returns the news for one message to a receiver that has some of it.
func (n *news) take(has map[string]bool) (others []*peerpb.InstanceState, hints []*peerpb.EndpointHint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range n.states.take(MaxStates, has) {
		others = append(others, i.value)
	}
	for _, i := range n.hints.take(n.maxHints, has) {
		h := i.value
		if h.Age += time.Since(i.at); h.Age < roster.HintValidity {
			hints = append(hints, toWire(h))
		}
	}
	return others, hints
}

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
