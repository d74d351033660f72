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
	// Quota is enforced besides the limits a minute.
	Quota Quota `json:",omitzero"`
}

// QuotaUnit is what a quota counts.
type QuotaUnit string

// Units of quotas.
const (
	QuotaRequests QuotaUnit = "Requests"
	QuotaTokens   QuotaUnit = "Tokens"
)

// Quota is a rate a second with a burst, summed over all instances. A rate of 0 means no quota.
type Quota struct {
	PerSecond, Burst float64
	Unit             QuotaUnit
	// PlainTokens is the number of tokens that a request without token counts is charged.
	PlainTokens Tokens
}

// IsLimited reports whether there is a quota.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Charge returns the units that a request is charged. tokens is the sum of its prompt and the most that it may generate, 0 if it states neither.
func (q Quota) Charge(tokens Tokens) float64 {
	switch {
	case q.Unit != QuotaTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(q.PlainTokens)
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
