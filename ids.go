package quetzalmount

import "time"

// Ids of the things that the configuration and the platform name.
type (
	// TeamID names a team, the unit of limits, keys and cache isolation.
	TeamID string
	// ModelID is the model name that callers send.
	ModelID string
	// VersionID names one set of weights of a model.
	VersionID string
	// AdapterID names an adapter that an engine loads on top of the weights.
	AdapterID string
	// GroupID names a group of engines that serve the same models.
	GroupID string
	// ServiceID names a plain service.
	ServiceID string
	// EndpointID names one engine or one process of a plain service.
	EndpointID string
	// InstanceID names one router.
	InstanceID string
	// DataCentre is one failure domain; a region has several.
	DataCentre string
	// RequestID is unique for each request that a router accepts.
	RequestID string
	// OperationID names a call to a plain service across the retries of its caller.
	OperationID string
	// AttemptID is unique for each record that a writer tries to append.
	AttemptID string
	// Incarnation is chosen at random by a process when it starts.
	Incarnation string
	// StreamID names a stream of the log service.
	StreamID string
)

// Units.
type (
	// Offset is the position of a record in a stream of the log. The first record has offset 1; 0 means none.
	Offset int64
	// Tokens counts tokens of a prompt or of an answer.
	Tokens int64
)

const (
	// BlockTokens is the size of the cache blocks that engines keep, from the users' brief.
	BlockTokens Tokens = 4000
	// BytesPerToken is the estimate used for prompts before an engine has counted their tokens.
	BytesPerToken = 4
	// LeaseTime is the validity of a leased share of a limit and of the ownership of an endpoint.
	LeaseTime = 2 * time.Second
)

// EstimateTokens returns the estimated number of tokens of n bytes of text, at least 1 for any text.
func EstimateTokens(n int) Tokens {
	return Tokens((n + BytesPerToken - 1) / BytesPerToken)
}
