package quetzalmount

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RouteID names a route.
type RouteID string

// Share is a part of a route's exchanges that goes to a group of endpoints.
type WeightedGroup struct {
	Group  GroupID
	Weight int
}

// Route tells where the exchanges of a host and a path prefix go and how they may be treated.
type Route struct {
	ID RouteID
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   ExchangeKind
	// Timeout is the longest time that a caller is kept waiting, Objective the time within which an answer is worth the most.
	Timeout, LatencyObjective time.Duration
	// Pause is the longest pause between two events of an answer that is on time, 0 if there is no such bound.
	MaxEventGap time.Duration
	Priority    int
	// Attempts is the largest number of endpoints that one exchange may run on.
	MaxAttempts    int
	WeightedGroups []WeightedGroup
	// Public routes need no key.
	Public bool
}

// RouteTeam is a team as the routes know it.
type RouteTeam struct {
	ID       TeamID
	Isolated bool
	// Priority goes before that of the route if it is set.
	Priority *int
}

// ServiceGroup describes the endpoints of one service.
type ServiceGroup struct {
	ID GroupID
	// HealthPath is asked with GET to learn whether an endpoint is well.
	HealthPath string
	// MaxConns is the number of connections that one endpoint takes from all routers together, 0 if not known.
	MaxConns int
	// Engines tells that the endpoints are model engines.
	HasEngines bool
	// Slots is the batch size of an engine, Memory the tokens that it can hold, 0 if not known.
	Slots      int
	KVCapacity Tokens
	Models     []ModelID
	// Store is the cache store that the service is, nil for other services.
	CacheStore *Endpoint
}

// Bounds limit what a caller may send.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Routes is the routing configuration in force. It is immutable.
type Routes struct {
	// Version is that of the configuration; a higher one replaces a lower one.
	Version int64
	// Offset is the position of its record in the log.
	Offset Offset
	// Hosts maps a host to its routes, longest prefix first.
	Hosts  map[string][]*Route
	Groups map[GroupID]*ServiceGroup
	// Keys finds the team of a caller's key. A nil map means that no keys are needed.
	TeamsByKey    map[string]*RouteTeam
	RequestLimits RequestLimits
}

// Find returns the route for a host and a path: the one with the longest prefix of the path. A port in the host is ignored.
func (r *Routes) Find(host, path string) (*Route, bool) {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	for _, route := range r.Hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Store returns the cache store to use in a data centre: one that is there if there is any, else the first by id, nil if there is
// none.
func (r *Routes) CacheStoreFor(dc DataCentre) *Endpoint {
	var best *Endpoint
	for _, g := range r.Groups {
		switch s := g.CacheStore; {
		case s == nil:
		case best == nil, s.DataCentre == dc && best.DataCentre != dc, (s.DataCentre == dc) == (best.DataCentre == dc) && s.ID < best.ID:
			best = s
		}
	}
	return best
}

// Choose returns the group for a request in proportion to the weights of the shares. It is the same for the same id, and the shares
// hold for any sample of requests.
func (r *Route) ChooseGroup(id RequestID) (GroupID, bool) {
	total := 0
	for _, s := range r.WeightedGroups {
		total += s.Weight
	}
	if total <= 0 {
		return "", false
	}
	at := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, s := range r.WeightedGroups {
		if at < s.Weight {
			return s.Group, true
		}
		at -= s.Weight
	}
	return "", false
}

// Weights names the weights that the engines of a model should have.
type DesiredWeights struct {
	Version VersionID
	// Number orders versions; a higher one replaces a lower one.
	Number int64
	// Offset is the position of the record that named them, SeenAt when this router read it.
	Offset Offset
	SeenAt time.Time
	// Before are the weights that were named earlier, newest first, at most keptWeights of them.
	Previous []DesiredWeights
}

// keptWeights bounds the earlier weights that are remembered. They are named seconds apart and matter for some ten seconds.
const maxPreviousWeights = 16

// After returns the weights that replace w, with w remembered.
func (w DesiredWeights) WithPrevious(older DesiredWeights) DesiredWeights {
	if older.Number == 0 {
		return w
	}
	before := append([]DesiredWeights{{Version: older.Version, Number: older.Number, Offset: older.Offset, SeenAt: older.SeenAt}}, older.Previous...)
	w.Previous = before[:min(len(before), maxPreviousWeights)]
	return w
}

// SeenBefore returns w with the knowledge that the version with a number was named at a time or earlier.
func (w DesiredWeights) WithFirstSeen(number int64, at time.Time) DesiredWeights {
	switch {
	case number > w.Number || number <= 0:
	case number == w.Number:
		if at.Before(w.SeenAt) {
			w.SeenAt = at
		}
	default:
		before := slices.Clone(w.Previous)
		i := slices.IndexFunc(before, func(b DesiredWeights) bool { return b.Number <= number })
		switch {
		case i >= 0 && before[i].Number == number:
			if at.Before(before[i].SeenAt) {
				before[i].SeenAt = at
			}
		case i >= 0:
			before = slices.Insert(before, i, DesiredWeights{Number: number, SeenAt: at})
		default:
			before = append(before, DesiredWeights{Number: number, SeenAt: at})
		}
		w.Previous = before[:min(len(before), maxPreviousWeights)]
	}
	return w
}

// Least returns the number of the oldest weights that may still be used when older ones may be used for age after new ones were named.
func (w DesiredWeights) MinUsableNumber(now time.Time, age time.Duration) int64 {
	if now.Sub(w.SeenAt) > age {
		return w.Number
	}
	for _, b := range w.Previous {
		if now.Sub(b.SeenAt) > age {
			return b.Number
		}
	}
	return 0
}

// VersionNumber returns the order of a version whose id is a number, 0 for others.
func VersionNumber(v VersionID) int64 {
	n, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
