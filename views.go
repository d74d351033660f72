package quetzalmount

import (
	"slices"
	"strings"
	"time"
)

// MemberState is the state of a router or an endpoint.
type MemberState string

// Member states.
const (
	// Live members accept requests.
	Live MemberState = "Live"
	// Leaving members finish their requests and accept no new ones.
	Leaving MemberState = "Leaving"
	// Suspect members failed recently. They get requests only if no live member is left.
	Suspect MemberState = "Suspect"
)

// EndpointKind is the type of a process in the instance list.
type EndpointKind string

// Endpoint kinds.
const (
	KindRouter  EndpointKind = "Router"
	KindEngine  EndpointKind = "Engine"
	KindService EndpointKind = "Service"
	KindCache   EndpointKind = "Cache"
	KindWeights EndpointKind = "Weights"
)

// Member is this router's view of a router.
type Member struct {
	Instance InstanceID
	// Address serves callers, PeerAddress routers and AdminAddress operators. Each is host:port.
	Address, PeerAddress, AdminAddress string
	DataCentre                         DataCentre
	Region                             string
	State                              MemberState
	Incarnation                        Incarnation
	// TableOffset is the last configuration offset that the router reported, 0 if unknown.
	TableOffset Offset
	// IsSelf is true for this router.
	IsSelf bool
	// Unlisted is true if the last list of members lacks the router. The router has ended, or the list is incomplete after an outage.
	Unlisted bool
}

// Endpoint is this router's view of an engine or of a process of a plain service. It is immutable.
type Endpoint struct {
	ID         EndpointID
	Kind       EndpointKind
	Group      GroupID
	Address    string
	DataCentre DataCentre
	State      MemberState
	// Incarnation is empty until the endpoint was first reached.
	Incarnation Incarnation
	Load        Load
	// ReportedAt is when Load was received; the values may be older.
	ReportedAt time.Time
	// ListedAt is when Version, Models and the slots were read from the instance list, zero if the list doesn't have them.
	ListedAt time.Time
	Version  VersionID
	// Models are the weights version of each model that the endpoint has loaded, nil if it is not an engine or has not reported
	// them. The map is not modified after publication.
	Models   map[ModelID]VersionID
	Adapters []AdapterID
	Role     string
}

// Load is the load of an engine, as reported by it or counted by the routers.
type Load struct {
	// Running and Waiting are numbers of requests. Slots is the batch size.
	Running, Waiting, Slots int
	// NonResumable is the number of running requests that can't be continued at another engine.
	NonResumable int `json:"Once"`
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens Tokens
	// Slowness is how many times as long as the median engine this one takes, 0 if it takes as long or that is not known.
	Slowness float64 `json:",omitempty"`
	// CapacityBlocks, UsedBlocks and EvictedBlocks are numbers of prefix cache blocks. EvictedBlocks is a monotonic counter.
	CapacityBlocks, UsedBlocks, EvictedBlocks int64
}

// Members is an immutable list of routers, sorted by ID.
type Members []Member

// Endpoints is an immutable list of endpoints, sorted by ID.
type Endpoints []*Endpoint

// Find returns the endpoint with an ID, nil if there is none.
func (e Endpoints) Find(id EndpointID) *Endpoint {
	for _, known := range e {
		if known.ID == id {
			return known
		}
	}
	return nil
}

// IsExpected reports whether the process that was seen as e should still be running by what is known of the endpoint now, nil if it is not
// listed any more: it is neither leaving nor replaced.
func (e *Endpoint) IsExpected(known *Endpoint) bool {
	return known != nil && known.State != Leaving && known.Incarnation == e.Incarnation
}

// JoinVersions returns one ID for the weights of all models of an endpoint: the version of a single model, or a sorted list of
// model=version pairs.
func JoinVersions(models map[ModelID]VersionID) VersionID {
	if len(models) == 1 {
		for _, v := range models {
			return v
		}
	}
	parts := make([]string, 0, len(models))
	for m, v := range models {
		parts = append(parts, string(m)+"="+string(v))
	}
	slices.Sort(parts)
	return VersionID(strings.Join(parts, ","))
}
