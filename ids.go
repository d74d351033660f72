package quetzalmount

import "time"

// Identifiers.
type (
	// TeamID identifies a team, the unit of limits, API keys and cache isolation.
	TeamID string
	// ModelID is the model name in callers' requests.
	ModelID string
	// VersionID identifies one set of weights of a model.
	VersionID string
	// AdapterID identifies an adapter that an engine loads on top of the weights, such as a LoRA adapter.
	AdapterID string
	// GroupID identifies a group of endpoints: engines that serve the same models, or the endpoints of one service.
	GroupID string
	// ServiceID identifies a plain service.
	ServiceID string
	// EndpointID identifies one engine or one process of a plain service.
	EndpointID string
	// InstanceID identifies one router process.
	InstanceID string
	// DataCentre is an availability zone; a region has several.
	DataCentre string
	// RequestID identifies one request that a router accepts.
	RequestID string
	// OperationID identifies a call to a plain service; it is the same for all retries by the caller.
	OperationID string
	// AttemptID identifies one attempt to append a record to the log.
	AttemptID string
	// Incarnation is a random value that a process chooses at startup, so that restarts can be detected.
	Incarnation string
	// StreamID identifies a stream of the log service.
	StreamID string
)

// Units.
type (
	// Offset is the position of a record in a stream of the log. The first record has offset 1; 0 means none.
	Offset int64
	// Era numbers the histories of a log. It rises when the log returns from an older copy and gives out offsets again. Logs without eras
	// have era 0, and the first era may be 0 too.
	Era int64
	// Fingerprint identifies what an endpoint is asked to do; see Exchange.Fingerprint. 0 means none.
	Fingerprint uint64
	// Tokens is a number of tokens of a prompt or of a response.
	Tokens int64
)

const (
	// BlockTokens is the block size of the engines' prefix caches, as specified by the users.
	BlockTokens Tokens = 4000
	// BytesPerToken is the estimated text size of a token, used until an engine has tokenized a prompt.
	BytesPerToken = 4
	// LeaseTime is the lease duration of borrowed units of a limit and of the ownership of an endpoint.
	LeaseTime = 2 * time.Second
)

// EstimateTokens returns the estimated number of tokens in n bytes of text, rounded up.
func EstimateTokens(n int) Tokens {
	return Tokens((n + BytesPerToken - 1) / BytesPerToken)
}
