package quetzalmount

import "time"

// KeyHash is the SHA-256 of a caller's key.
type KeyHash [32]byte

// Config is the configuration in force, built from the table. It is immutable.
type Config struct {
	// Offset is the position of the last log record that the table contains.
	Offset   Offset
	Teams    map[TeamID]*Team
	Models   map[ModelID]*Model
	Versions map[VersionID]*Version
	Groups   map[GroupID]*Group
	Services map[ServiceID]*Service
	// Keys finds a team by the hash of its key.
	TeamsByKey map[KeyHash]TeamID
}

// Limits are the limits of a team over all instances. Zero means no limit.
type Limits struct {
	RequestsPerMinute     float64
	PromptTokensPerMinute float64
	OutputTokensPerMinute float64
	Concurrency           int
	QueueLength           int
	MaxPromptTokens       Tokens
}

// Team is a customer.
type Team struct {
	ID     TeamID
	Key    KeyHash
	Weight float64
	Limits Limits
}

// Model is what callers ask for.
type Model struct {
	ID       ModelID
	Group    GroupID
	Version  VersionID
	Adapters []AdapterID
	// Continue tells that an engine can continue an answer from its first part.
	CanContinue bool
}

// Version is a set of weights in the weight store.
type Version struct {
	ID    VersionID
	Model ModelID
}

// Group is a set of engines.
type Group struct {
	ID GroupID
	// Engines is the expected number of engines.
	EngineCount int
	// Fences tells that the engines refuse commands with stale fencing tokens.
	SupportsFencing bool
	// Role is the work that the engines do: mixed, prefill or decode.
	Role string
}

// Service is a plain service.
type Service struct {
	ID ServiceID
	// Repeatable lists the calls that may be repeated.
	RepeatableCalls []string
	// Fences tells that the service refuses stale fencing tokens.
	SupportsFencing bool
	// Dedupes tells that the service runs calls with the same idempotency key once.
	SupportsIdempotencyKeys bool
	Timeout                 time.Duration
}

// IsRepeatable reports whether call may be repeated.
func (s *Service) IsRepeatable(call string) bool {
	for _, r := range s.RepeatableCalls {
		if r == call {
			return true
		}
	}
	return false
}
