package quetzalmount

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RouteID identifies a route.
type RouteID string

// WeightedGroup is an endpoint group that receives a part of a route's exchanges in proportion to Weight.
type WeightedGroup struct {
	Group  GroupID
	Weight int
}

// Route defines the endpoint groups, the timeouts and the retry rules for the exchanges of one host and path prefix.
type Route struct {
	ID RouteID
	// Prefix is the path prefix. It begins with a slash, and on the users' platform it ends with one. A prefix without it matches longer names
	// too: "/a" also "/ab".
	Prefix string
	Kind   ExchangeKind
	// Timeout bounds the whole exchange. LatencyObjective is the target latency of a response, 0 for none.
	Timeout, LatencyObjective time.Duration
	// MaxEventGap is the target for the longest gap between two events of a streamed response, 0 for none.
	MaxEventGap time.Duration
	Priority    int
	// MaxAttempts is the maximum number of endpoints that may run one exchange.
	MaxAttempts    int
	WeightedGroups []WeightedGroup
	// Public routes require no API key.
	Public bool
}

// RouteTeam is the configuration of a team in Routes.
type RouteTeam struct {
	ID       TeamID
	Isolated bool
	// Priority overrides that of the route unless it is nil.
	Priority *int
}

// ServiceGroup describes the endpoints of one service.
type ServiceGroup struct {
	ID GroupID
	// HealthPath is the path of the GET request that checks an endpoint's health.
	HealthPath string
	// MaxConns is the number of connections that one endpoint accepts from all routers together, 0 if not known.
	MaxConns int
	// HasEngines reports whether the endpoints are model engines.
	HasEngines bool
	// Slots is the batch size of an engine and KVCapacity the size of its KV cache in tokens, 0 if not known.
	Slots      int
	KVCapacity Tokens
	Models     []ModelID
	// CacheStore is the cache store that the service provides, nil for other services.
	CacheStore *Endpoint
}

// RequestLimits are the size and time limits for callers' requests.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Routes is the routing configuration in force. It is immutable.
type Routes struct {
	// Version is the version of the configuration. A higher version replaces a lower one.
	Version int64
	// Offset is the log offset of the configuration record.
	Offset Offset
	// Hosts maps a host to its routes, longest prefix first.
	Hosts  map[string][]*Route
	Groups map[GroupID]*ServiceGroup
	// TeamsByKey maps an API key to its team. A nil map means that no keys are required.
	TeamsByKey    map[string]*RouteTeam
	RequestLimits RequestLimits
	// Teams holds the teams with limits, by ID.
	Teams map[TeamID]*Team `json:",omitempty"`
	// SharingScope identifies the set of teams that share cache entries. It is empty if no team is isolated.
	SharingScope string
}

// SharingScopeOf returns the Routes.SharingScope of a configuration with these isolated teams. Teams that share cache entries leave those behind that
// one of them made that is isolated now, and come back to them if it is not isolated any more.
func SharingScopeOf(isolated []TeamID) string {
	if len(isolated) == 0 {
		return ""
	}
	var h xxhash.Digest
	h.Reset()
	for _, team := range slices.Sorted(slices.Values(isolated)) {
		writeValues(&h, string(team))
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Find returns the route of a host with the longest matching path prefix. The case and the port of host are ignored.
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

// CacheStoreFor returns the cache store for routers in data centre dc: the one with the lowest ID in dc, or the one with the lowest
// ID if dc has none. It returns nil if there is no cache store.
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

// ChooseGroup returns the group for a request. Groups are chosen by a hash of the request ID, so that equal IDs get the same group and
// any sample of requests is divided in proportion to the weights. It returns false if the weights sum to 0.
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

// DesiredWeights is the weights version that the engines of a model should load.
type DesiredWeights struct {
	Version VersionID
	// Number is the sequence number of the version. A higher number replaces a lower one.
	Number int64
	// Offset is the log offset of the record that set the version. SeenAt is the earliest time at which any router is known to have
	// read it.
	Offset Offset
	SeenAt time.Time
	// Previous are the earlier versions, newest first, at most maxPreviousWeights of them.
	Previous []DesiredWeights
}

// maxPreviousWeights is the maximum length of DesiredWeights.Previous. New versions are set seconds apart, and a previous one
// is relevant for about ten seconds.
const maxPreviousWeights = 16

// WithPrevious returns w with older and its previous versions as its previous versions.
func (w DesiredWeights) WithPrevious(older DesiredWeights) DesiredWeights {
	if older.Number == 0 {
		return w
	}
	previous := append([]DesiredWeights{
		{Version: older.Version, Number: older.Number, Offset: older.Offset, SeenAt: older.SeenAt},
	}, older.Previous...)
	w.Previous = previous[:min(len(previous), maxPreviousWeights)]
	return w
}

// WithFirstSeen returns a copy of w in which the version with the given number was seen no later than at. A number that w does not list
// is added to the previous versions. Numbers above w.Number and below 1 are ignored.
func (w DesiredWeights) WithFirstSeen(number int64, at time.Time) DesiredWeights {
	switch {
	case number > w.Number || number <= 0:
	case number == w.Number:
		if at.Before(w.SeenAt) {
			w.SeenAt = at
		}
	default:
		previous := slices.Clone(w.Previous)
		i := slices.IndexFunc(previous, func(b DesiredWeights) bool { return b.Number <= number })
		switch {
		case i >= 0 && previous[i].Number == number:
			if at.Before(previous[i].SeenAt) {
				previous[i].SeenAt = at
			}
		case i >= 0:
			previous = slices.Insert(previous, i, DesiredWeights{Number: number, SeenAt: at})
		default:
			previous = append(previous, DesiredWeights{Number: number, SeenAt: at})
		}
		w.Previous = previous[:min(len(previous), maxPreviousWeights)]
	}
	return w
}

// MinUsableNumber returns the lowest version number that may be used at time now, given that a version may be used for age after a newer
// one was first seen. It returns 0 if all versions may be used.
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

// VersionNumber returns the sequence number of a version whose ID is a decimal number, and 0 for other IDs.
func VersionNumber(v VersionID) int64 {
	n, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
