package quetzalmount

import "time"

// KeyHash is the SHA-256 hash of a caller's API key.
type KeyHash [32]byte

// Config is the active configuration, built from the configuration table. It is immutable.
type Config struct {
	// Offset is the log offset of the last record that is included in the table.
	Offset   Offset
	Teams    map[TeamID]*Team
	Models   map[ModelID]*Model
	Versions map[VersionID]*Version
	Groups   map[GroupID]*Group
	Services map[ServiceID]*Service
	// TeamsByKey maps the hash of an API key to its team.
	TeamsByKey map[KeyHash]TeamID
}

// Limits are the limits of a team, summed over all instances. Zero means no limit.
type Limits struct {
	RequestsPerMinute     float64
	PromptTokensPerMinute float64
	OutputTokensPerMinute float64
	Concurrency           int
	QueueLength           int
	MaxPromptTokens       Tokens
}

// Team is a tenant. It is the unit of limits, API keys and fair scheduling by Weight.
type Team struct {
	ID     TeamID
	Key    KeyHash
	Weight float64
	Limits Limits
}

// Model is a model that callers request by ID, with the group of engines and the weights that serve it.
type Model struct {
	ID       ModelID
	Group    GroupID
	Version  VersionID
	Adapters []AdapterID
	// CanContinue reports whether an engine can continue a response that another engine began.
	CanContinue bool
}

// Version is one set of a model's weights in the weight store.
type Version struct {
	ID    VersionID
	Model ModelID
}

// Group is a set of engines that serve the same models.
type Group struct {
	ID GroupID
	// EngineCount is the expected number of engines.
	EngineCount int
	// SupportsFencing reports whether the engines reject commands with stale fencing tokens.
	SupportsFencing bool
	// Role is the inference phase that the engines run: mixed, prefill or decode.
	Role string
}

// Service is a plain service: a back end other than a model engine, whose calls have JSON bodies.
type Service struct {
	ID ServiceID
	// RepeatableCalls lists the names of the calls that are safe to run more than once.
	RepeatableCalls []string
	// SupportsFencing reports whether the service rejects calls with stale fencing tokens.
	SupportsFencing bool
	// SupportsIdempotencyKeys reports whether the service runs calls with the same idempotency key only once.
	SupportsIdempotencyKeys bool
	Timeout                 time.Duration
}

// IsRepeatable reports whether the named call is safe to run more than once.
func (s *Service) IsRepeatable(call string) bool {
	for _, r := range s.RepeatableCalls {
		if r == call {
			return true
		}
	}
	return false
}
