package quetzalmount

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ExchangeKind determines how an exchange is answered and whether it may run more than once.
type ExchangeKind string

// Exchange kinds.
const (
	// Idempotent exchanges have a single response and may run more than once.
	Idempotent ExchangeKind = "Idempotent"
	// NonIdempotent exchanges have a single response and run at most once.
	NonIdempotent ExchangeKind = "NonIdempotent"
	// Streaming exchanges are answered by an event stream and run at most once.
	Streaming ExchangeKind = "Streaming"
	// Resumable exchanges are answered by an event stream, which another run may resume after the last delivered event.
	Resumable ExchangeKind = "Resumable"
)

// IsRepeatable reports whether an exchange of this kind may be sent again although it may have run.
func (k ExchangeKind) IsRepeatable() bool { return k == Idempotent || k == Resumable }

// IsStreamed reports whether the response is an event stream.
func (k ExchangeKind) IsStreamed() bool { return k == Streaming || k == Resumable }

// PromptSegment is one part of a prompt. Prompts share a segment if all segments before it are equal too.
type PromptSegment struct {
	ID     string
	Tokens Tokens
}

// Exchange is a request whose body is not parsed: its method, target and body are forwarded to the endpoint unchanged.
type Exchange struct {
	Request RequestID
	Route   *Route
	// Group is the endpoint group that Route.ChooseGroup selected.
	Group GroupID
	Team  TeamID
	// Isolated reports whether the team shares no cache entries with other teams.
	Isolated bool
	// SharingScope identifies the set of teams that share cache entries; see Routes.SharingScope.
	SharingScope string
	// Priority is the scheduling priority; 0 is the highest.
	Priority int
	Model    ModelID
	// Segments are the parts of the prompt, in order. The last one is not shared with other exchanges.
	Segments                   []PromptSegment
	PromptTokens, OutputTokens Tokens

	// Received is the time the exchange was read. CallerDeadline is the deadline that the caller set, or that of the route's
	// timeout if the caller set none. EffectiveDeadline is the earlier of the route's and the caller's deadline.
	Received, CallerDeadline, EffectiveDeadline time.Time

	Method, Host string
	Target       *url.URL
	Header       http.Header
	Body         []byte
	// ReleaseBody is called once Body isn't needed any more; nil for nothing to do. Use DropBody.
	ReleaseBody func()
	// LastEventID is the ID of the last event that the caller already has, empty for a stream from its start.
	LastEventID string
}

// DropBody drops the body, which no further attempt needs. Further calls have no effect.
func (x *Exchange) DropBody() {
	x.Body = nil
	if x.ReleaseBody != nil {
		x.ReleaseBody()
		x.ReleaseBody = nil
	}
}

// CacheSalt returns the salt of the prefix cache keys of the exchange for weights version v. Other versions have other salts,
// and so do isolated teams, so that their cache entries are never shared. The salt of the other teams changes with the set of isolated teams,
// since a team that becomes isolated has made entries under the salt that it shared.
func (x *Exchange) CacheSalt(v VersionID) string {
	switch {
	case x.Isolated:
		return string(v) + "/" + string(x.Team)
	case x.SharingScope != "":
		return string(v) + "#" + x.SharingScope
	}
	return string(v)
}

// maxFingerprintParts bounds the parts of a prompt, or the messages of a completion, with a fingerprint of their own. Most prompts have a
// handful of parts.
const maxFingerprintParts = 64

// SharedSegments returns the parts of the prompt that other exchanges may share, at most 64: all but the last one.
func (x *Exchange) SharedSegments() []PromptSegment {
	return x.Segments[:min(max(len(x.Segments)-1, 0), maxFingerprintParts)]
}

// Fingerprints returns the fingerprint of the whole exchange and those of its SharedSegments, in order. The latter do not contain the team: what
// ends an engine is the text of a part, whichever team's request holds it, isolated or not. The model is part of them, since a part that ends
// the engines of one model may be sound for another.
func (x *Exchange) Fingerprints() []Fingerprint {
	out := []Fingerprint{x.Fingerprint()}
	for _, s := range x.SharedSegments() {
		out = append(out, fingerprint("part", string(x.Model), s.ID))
	}
	return out
}

// fingerprint returns a hash of values.
func fingerprint(values ...string) Fingerprint {
	var h xxhash.Digest
	h.Reset()
	writeValues(&h, values...)
	return Fingerprint(h.Sum64())
}

// writeValues adds values to a hash so that none runs into the next one.
func writeValues(h *xxhash.Digest, values ...string) {
	for _, v := range values {
		_, _ = h.WriteString(v)
		_, _ = h.Write([]byte{0})
	}
}

// Fingerprint returns a hash of what the endpoint is asked to do: the model and the prompt, or the team, the method, the target and the body
// where there is no prompt. Retries of a request have the same fingerprint, and so have equal prompts of several teams. A plain service
// works on the data of a team, so that equal requests of two teams are different ones.
func (x *Exchange) Fingerprint() Fingerprint {
	var h xxhash.Digest
	h.Reset()
	if len(x.Segments) == 0 {
		writeValues(&h, string(x.Team), string(x.Group), string(x.Model), x.Method, x.Target.String())
		_, _ = h.Write(x.Body)
		return Fingerprint(h.Sum64())
	}
	writeValues(&h, string(x.Group), string(x.Model))
	for _, s := range x.Segments {
		writeValues(&h, s.ID, strconv.FormatInt(int64(s.Tokens), 10))
	}
	return Fingerprint(h.Sum64())
}

// CacheKey returns the key of a prompt segment in an engine's prefix cache. part is the segment's ID, which identifies the segment
// together with all segments before it.
func CacheKey(model ModelID, salt, part string) PrefixKey {
	var h xxhash.Digest
	h.Reset()
	for _, s := range []string{string(model), salt, part} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return PrefixKey(h.Sum64())
}

// ExchangeAttempt describes one attempt to run an exchange at an endpoint.
type ExchangeAttempt struct {
	Endpoint *Endpoint
	// Version is the weights version that the endpoint must have, empty for any.
	Version VersionID
	// LastEventID is the ID of the last delivered event, after which the response resumes, empty for a stream from its start.
	LastEventID string
	// CacheSource is the endpoint from which missing KV cache blocks of the prompt are fetched, nil for none.
	CacheSource *Endpoint
	// CacheStore is the cache store to which the endpoint saves the KV cache blocks that it computes, nil for none.
	CacheStore *Endpoint
	// EndpointPriority is the exchange's priority in the endpoint's queue, from 0 to 9; 0 is the highest.
	EndpointPriority int
	// Conn is set by the client to what is known of the attempt's connection; nil if that is of no interest.
	Conn *ConnUse
}

// ConnUse describes the use of a connection by an attempt.
type ConnUse struct {
	// Reused reports whether the connection had carried other requests, and SentBefore whether a request with the same ID was sent to the
	// endpoint's address within the age that connections reach.
	Reused, SentBefore bool
}

// Response is an endpoint's response to an ExchangeAttempt. The receiver closes Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// EndsWithConnection is set if the body has neither a length nor chunks, so that its end looks like that of an engine that ended.
	EndsWithConnection bool
	// Version is the weights version that the endpoint reported, empty if none.
	Version VersionID
}

// ExchangeClient sends exchanges to endpoints. If the error is an *Error with outcome OutcomeNotRun, the endpoint did not run
// the exchange and will not; the code is CodeEndpointUnreached if the endpoint was not reached, CodeEndpointFull if it had no
// capacity, or CodeMisdirected if it is not the expected one. After any other error the exchange may have run.
type ExchangeClient interface {
	// Send makes one attempt and returns the response once its header was received.
	Send(ctx context.Context, x *Exchange, o ExchangeAttempt) (*Response, error)
}
