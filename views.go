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
	// Live members take work.
	Live MemberState = "Live"
	// Leaving members finish what they have and take no new work.
	Leaving MemberState = "Leaving"
	// Suspect members failed recently; they get work only if no live one is left.
	Suspect MemberState = "Suspect"
)

// EndpointKind tells engines from plain services and stores.
type EndpointKind string

// Kinds of members in the instance list.
const (
	KindRouter  EndpointKind = "Router"
	KindEngine  EndpointKind = "Engine"
	KindService EndpointKind = "Service"
	KindCache   EndpointKind = "Cache"
	KindWeights EndpointKind = "Weights"
)

// Member is a router as seen from this one.
type Member struct {
	Instance InstanceID
	// Address is for callers, PeerAddress for routers, AdminAddress for operators; each is host:port.
	Address, PeerAddress, AdminAddress string
	DataCentre                         DataCentre
	Region                             string
	State                              MemberState
	Incarnation                        Incarnation
	// TableOffset is the last configuration offset that the router reported, 0 if not known.
	TableOffset Offset
	// Self marks this router.
	IsSelf bool
}

// Endpoint is an engine or a process of a plain service as seen from this router. It is immutable.
type Endpoint struct {
	ID         EndpointID
	Kind       EndpointKind
	Group      GroupID
	Address    string
	DataCentre DataCentre
	State      MemberState
	// Incarnation is empty until the endpoint was reached once.
	Incarnation Incarnation
	Load        Load
	// ReportedAt is when Load was received; the report itself lags.
	ReportedAt time.Time
	// ListedAt is when the instance list named Version, Models and the slots, zero if the list names none of them.
	ListedAt time.Time
	Version  VersionID
	// Models are the weights of each model that the endpoint has, nil if it is no engine or has not said. The map is replaced, never
	// changed.
	Models   map[ModelID]VersionID
	Adapters []AdapterID
	Role     string
}

// Load is an engine's own report.
type Load struct {
	// Running and Waiting count requests, Slots is the batch size.
	Running, Waiting, Slots int
	// Once is the number of running requests that can't be continued at another engine.
	NonResumable int
	// QueuedTokens is the prompt tokens that wait for prefill.
	QueuedTokens Tokens
	// CapacityBlocks, UsedBlocks and EvictedBlocks describe the prefix cache; EvictedBlocks only grows.
	CapacityBlocks, UsedBlocks, EvictedBlocks int64
}

// Members is an immutable list of routers ordered by id.
type Members []Member

// Endpoints is an immutable list of endpoints ordered by id.
type Endpoints []*Endpoint

// JoinVersions returns one id for the weights of all models of an endpoint. It changes whenever one of them does.
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
