package quetzalmount

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says how an exchange is answered and whether it may run again.
type ExchangeKind string

// Kinds of exchanges.
const (
	// Idempotent exchanges have one whole answer and may run more than once.
	Idempotent ExchangeKind = "Idempotent"
	// NonIdempotent exchanges have one whole answer and run at most once.
	NonIdempotent ExchangeKind = "NonIdempotent"
	// Streaming exchanges are answered by events and run at most once.
	Streaming ExchangeKind = "Streaming"
	// Resumable exchanges are answered by events; another run may go on after the last event that was delivered.
	Resumable ExchangeKind = "Resumable"
)

// Repeats reports whether an exchange of this kind may run again after it may have run.
func (k ExchangeKind) IsRepeatable() bool { return k == Idempotent || k == Resumable }

// Streams reports whether the answer is a stream of events.
func (k ExchangeKind) IsStreamed() bool { return k == Streaming || k == Resumable }

// PromptStep is one part of a prompt, which other prompts may share as long as all steps before it are the same.
type PromptSegment struct {
	ID     string
	Tokens Tokens
}

// Exchange is one request that is forwarded without being understood: its method, target and body reach the endpoint unchanged.
type Exchange struct {
	Request RequestID
	Route   *Route
	// Group is the group of endpoints that the route chose for this exchange.
	Group GroupID
	Team  TeamID
	// Isolated tells that the team shares no cache entries with other teams.
	Isolated bool
	// Priority is the rank of the exchange, 0 first.
	Priority int
	Model    ModelID
	// Steps are the parts of the prompt, in order. The last one belongs to this exchange alone.
	Segments                   []PromptSegment
	PromptTokens, OutputTokens Tokens

	// Received is when the exchange was read, Deadline when its caller stops waiting, and GiveUp when the route's time is up as
	// well, whichever is first.
	Received, CallerDeadline, EffectiveDeadline time.Time

	Method, Host string
	Target       *url.URL
	Header       http.Header
	Body         []byte
	// LastEvent is the id of the last event that the caller already has, empty for the whole answer.
	LastEventID string
}

// Salt returns the text under which engines keep cache entries of the exchange that were made with a version. Entries of other
// versions, and for isolated teams those of other teams, are under other texts, so that none of them is ever used.
func (x *Exchange) CacheSalt(v VersionID) string {
	if x.Isolated {
		return string(v) + "/" + string(x.Team)
	}
	return string(v)
}

// CacheKey returns the key of one part of a prompt in the cache of an engine. The id of a part names it together with all parts
// before it.
func CacheKey(model ModelID, salt, part string) PrefixKey {
	var h xxhash.Digest
	h.Reset()
	for _, s := range []string{string(model), salt, part} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return PrefixKey(h.Sum64())
}

// Offer is one attempt to have an exchange run.
type ExchangeAttempt struct {
	Endpoint *Endpoint
	// Version is the weights version that the endpoint must have, empty if any will do.
	Version VersionID
	// LastEvent is the id of the last event that was delivered; the run goes on behind it.
	LastEventID string
	// Source is another endpoint from whose cache the endpoint fetches what it lacks of the prompt, nil for none.
	CacheSource *Endpoint
	// Store is the cache store to which the endpoint sends what it reads of the prompt, nil for none.
	CacheStore *Endpoint
	// Urgency is the rank that the endpoint gives the exchange, from 0 to 9, 0 first.
	EndpointPriority int
}

// Answer is the answer of an endpoint to an offer. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Version is the weights version that the endpoint named, empty if none.
	Version VersionID
}

// Carrier sends offers to endpoints. If the error is an *Error with outcome NotRun, the endpoint did not run the exchange and
// will not: its code tells whether the endpoint was not reached (CodeUnreached), refused for lack of room (CodeEndpointFull) or is
// another one than expected (CodeMisdirected). After any other error the exchange may have run.
type ExchangeClient interface {
	Send(ctx context.Context, x *Exchange, o ExchangeAttempt) (*Response, error)
}
