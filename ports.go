package quetzalmount

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"
)

// Record is one record of a log stream.
type Record struct {
	Offset Offset
	// Time is when the log service accepted the record, by the service's clock.
	Time time.Time
	Data []byte
}

// Batch is the result of one read from a log stream.
type Batch struct {
	// FirstOffset is the first offset that the service still retains. A reader that asked for an earlier one has missed records.
	FirstOffset Offset
	// NextOffset is the offset of the next record to be appended.
	NextOffset Offset
	Records    []Record
}

// Log is the platform's append-only log service.
type Log interface {
	// Append atomically appends records to a stream and returns the offset of the first. If the error wraps ErrNotAppended the
	// records were not appended; after any other error they may be in the log, or appear in it later.
	Append(ctx context.Context, stream StreamID, records [][]byte) (Offset, error)
	// Read returns at most limit records, starting at offset from. If there are none yet it waits for up to wait.
	Read(ctx context.Context, stream StreamID, from Offset, limit int, wait time.Duration) (Batch, error)
}

// PrefixKey is the chained hash of a prompt up to the end of one block, message or segment. It covers the model and the
// weights version, and the team where teams don't share cache entries, so that equal keys mean equal cacheable prefixes.
type PrefixKey uint64

// PrefixSpan is a prefix of a prompt: its key, and its length in tokens.
type PrefixSpan struct {
	Key PrefixKey
	End Tokens
}

// Lane is a part of a group's engines; see internal/route/lane.
type Lane int

// Lanes. LaneNone is the whole group where its engines are not separated.
const (
	LaneNone Lane = iota
	LaneShort
	LaneLong
)

// PlaceRequest describes a request to a Placer.
type PlaceRequest struct {
	Team  TeamID
	Model ModelID
	// Spans are the cacheable prefixes of the prompt, shortest first.
	Spans        []PrefixSpan
	PromptTokens Tokens
	// Lane is the lane of the engines among which the request is placed.
	Lane Lane
	// Exclude lists the endpoints that already rejected or failed this request.
	Exclude []EndpointID
	// NonResumable reports whether the request can't be continued at another endpoint.
	NonResumable bool
	// PlacedBefore reports whether Place was already called for this request, so that it isn't counted twice.
	PlacedBefore bool
	// CacheStore is the cache store that engines can fetch KV cache blocks from, nil if there is none.
	CacheStore *Endpoint
}

// Placement is the endpoint that a Placer chose, with the estimates that led to it.
type Placement struct {
	Endpoint    *Endpoint
	Incarnation Incarnation
	// ExpectedTTFT is the expected time to first token.
	ExpectedTTFT time.Duration
	// QueueDelay is the part of ExpectedTTFT that is caused by other requests.
	QueueDelay time.Duration
	// CachedTokens is the number of prompt tokens expected to be in the engine's cache.
	CachedTokens Tokens
	// CacheSource is another engine, or the cache store, that is expected to have more of the prompt cached, nil if none is.
	CacheSource *Endpoint
	// SaveToStore reports whether the cache store is expected to lack the shared part of the prompt.
	SaveToStore bool
	// Reason names the placement rule that applied, for logs and metrics.
	Reason string
}

// Placer chooses an endpoint for a request. Implementations are safe for concurrent use.
type Placer interface {
	// Place chooses one of engines, which all serve the model. It returns false if none can accept the request.
	Place(r *PlaceRequest, engines []*Endpoint, now time.Time, rnd *rand.Rand) (Placement, bool)
	// Dispatched records that the request was sent to d.Endpoint.
	Dispatched(r *PlaceRequest, d Placement, now time.Time)
	// FirstToken records that the engine delivered the first token. cached is the number of prompt tokens found in its cache.
	FirstToken(r *PlaceRequest, d Placement, cached Tokens, now time.Time)
	// Finished records that the engine no longer processes the request, for any reason.
	Finished(r *PlaceRequest, d Placement, now time.Time)
}

// LaneDemand is what routes with short and with long prompts need of a group of engines, at one or several routers.
type LaneDemand struct {
	// ShortRunning and LongRunning are mean numbers of running requests.
	ShortRunning, LongRunning float64
	// ShortPrefill and LongPrefill are the numbers of engines that reading prompts keeps busy.
	ShortPrefill, LongPrefill float64
}

// Plus returns the sum of d and f times m.
func (d LaneDemand) Plus(m LaneDemand, f float64) LaneDemand {
	return LaneDemand{d.ShortRunning + f*m.ShortRunning, d.LongRunning + f*m.LongRunning, d.ShortPrefill + f*m.ShortPrefill, d.LongPrefill + f*m.LongPrefill}
}

// CacheEvent is one event of an engine's prefix cache.
type CacheEvent struct {
	Seq int64
	// Stored is true if the block was added to the cache and false if it was evicted.
	Stored bool
	Block  PrefixKey
}

// CacheObserver receives the cache events of engines. Events are delayed, and some are lost.
type CacheObserver interface {
	// Observe applies events of one incarnation. gap reports whether events before the first one were lost.
	Observe(engine EndpointID, inc Incarnation, events []CacheEvent, gap bool, now time.Time)
	// Forget removes all cache entries of an engine that belong to other incarnations than inc.
	Forget(engine EndpointID, inc Incarnation)
}

// Cost is the amount that a request is charged against its team's limits.
type Cost struct {
	PromptTokens Tokens
	// OutputTokens is the maximum number of tokens of the response.
	OutputTokens Tokens
}

// Grant is the admission of one request.
type Grant interface {
	// Release ends the grant. used is the number of tokens generated; the other reserved output tokens are refunded.
	Release(used Tokens)
}

// Limiter enforces the limits of teams over all instances.
type Limiter interface {
	// Admit charges cost against the limits of the team, or returns an *Error with outcome OutcomeNotRun. It does not block.
	Admit(team *Team, cost Cost, now time.Time) (Grant, error)
}

// Call is one call to a plain service.
type Call struct {
	Team    TeamID
	Service *Service
	Name    string
	// Key is the caller's idempotency key, empty if there is none.
	Key     string
	Body    json.RawMessage
	Request RequestID
}

// CallResult is the known state of a call.
type CallResult struct {
	Operation OperationID
	Outcome   Outcome
	// Status is the HTTP status code of the service's answer if the outcome is OutcomeDone.
	Status int
	Answer json.RawMessage
	// Repeated reports whether the answer is that of an earlier call with the same idempotency key.
	Repeated bool
	// AnswerDropped reports whether the call is done but its answer was not retained because of its size or age.
	AnswerDropped bool
}

// DispatchFunc sends a call to an endpoint of its service. If the error is an *Error with outcome OutcomeNotRun, no byte of
// the call reached an endpoint; any other error leaves the outcome unknown.
type DispatchFunc func(ctx context.Context, op OperationID, c *Call) (status int, answer json.RawMessage, err error)

// StatusFunc queries the service for the status of an operation. found is false if the service does not know the operation;
// the call may still run later.
type StatusFunc func(ctx context.Context, op OperationID, c *Call) (r CallResult, found bool, err error)

// CallRunner runs calls at most once each, across all routers.
type CallRunner interface {
	// Run claims the call in the log, dispatches it if its claim is the first, and returns the result, or what is known of it
	// when ctx is done. An error is an *Error; a CallResult with outcome OutcomeUnknown is not an error.
	Run(ctx context.Context, c *Call) (CallResult, error)
	// Lookup returns the known state of an operation.
	Lookup(ctx context.Context, team TeamID, svc *Service, op OperationID) (CallResult, error)
}

// ServiceClient sends calls to one process of a plain service.
type ServiceClient interface {
	// Call sends a call to endpoint and returns the HTTP status code and the JSON body of its answer. If the error is an *Error
	// with outcome OutcomeNotRun, no byte of the call was sent and none will be; after any other error it may have run.
	Call(ctx context.Context, endpoint *Endpoint, op OperationID, c *Call) (status int, answer json.RawMessage, err error)
	// Status queries endpoint for the status of an operation. found is false if the endpoint does not know the operation; the
	// call may still run later.
	Status(ctx context.Context, endpoint *Endpoint, op OperationID) (r CallResult, found bool, err error)
}

// EngineRequest is a completion request for an engine.
type EngineRequest struct {
	Request RequestID
	Model   ModelID
	Version VersionID
	// CacheSalt separates the cache entries of different teams and weights.
	CacheSalt string
	Messages  []Message
	MaxTokens Tokens
	Priority  int
	// Blocks are the prefix spans of the prompt. The engine names blocks by their keys in cache events.
	Blocks []PrefixSpan
	// EmittedText is the part of the completion that was already delivered by other engines. FirstChunk is the number of chunks
	// in it, and so the number of the first chunk that this engine generates.
	EmittedText string
	FirstChunk  int64
}

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chunk is one part of a streamed completion.
type Chunk struct {
	// Number is the index of the chunk, counted from 0 without gaps.
	Number int64
	Text   string
	// FinishReason is set on the last chunk: "stop" or "length".
	FinishReason string
	// Usage is set on the last chunk.
	Usage *Usage
	// CachedTokens is the number of prompt tokens that the engine found in its cache. It is set on the first chunk.
	CachedTokens Tokens
}

// Usage is the number of tokens of one request.
type Usage struct {
	PromptTokens, OutputTokens, CachedTokens Tokens
}

// ChunkReader reads the chunks of one completion from one connection.
type ChunkReader interface {
	// Next returns the next chunk. It returns io.EOF only after a chunk with a FinishReason, and io.ErrUnexpectedEOF if the
	// connection ended before that.
	Next(ctx context.Context) (Chunk, error)
	// Incarnation returns the incarnation that the engine reported when the stream was opened.
	Incarnation() Incarnation
	// Close closes the connection. It does not cancel the request at the engine.
	Close() error
}

// EngineClient is a client for model engines.
type EngineClient interface {
	// Start opens a stream. If the error is an *Error with outcome OutcomeNotRun, the engine rejected the request or was not
	// reached.
	Start(ctx context.Context, e *Endpoint, r *EngineRequest) (ChunkReader, error)
	// Resume reopens the stream of a request over a new connection, starting at chunk number from.
	Resume(ctx context.Context, e *Endpoint, inc Incarnation, id RequestID, from int64) (ChunkReader, error)
	// Cancel cancels a request at the engine.
	Cancel(ctx context.Context, e *Endpoint, id RequestID) error
}

// Completion is a validated completion request.
type Completion struct {
	Request  RequestID
	Team     *Team
	Model    *Model
	Messages []Message
	// PromptBytes is the total length of all message texts.
	PromptBytes int
	MaxTokens   Tokens
}

// Fingerprints returns the fingerprint of the whole completion and those of the messages that other completions may share, in order and at
// most 64. The last message is not shared. Equal messages of several teams have the same fingerprint, as in Exchange.Fingerprints.
func (c *Completion) Fingerprints() []Fingerprint {
	whole := []string{"completion", string(c.Model.ID)}
	for _, m := range c.Messages {
		whole = append(whole, m.Role, m.Content)
	}
	out := []Fingerprint{fingerprint(whole...)}
	for _, m := range c.Messages[:min(max(len(c.Messages)-1, 0), maxFingerprintParts)] {
		out = append(out, fingerprint("message", string(c.Model.ID), m.Role, m.Content))
	}
	return out
}

// Completer runs completions.
type Completer interface {
	// Complete passes the chunks of the completion to deliver, in order and without gaps. It returns an *Error if the completion
	// is incomplete. An error from deliver ends the request.
	Complete(ctx context.Context, c *Completion, deliver func(Chunk) error) error
}

// Attempt tracks one request at an endpoint for Health. Exactly one of its methods is called, once.
type Attempt interface {
	// Succeeded records that the endpoint answered.
	Succeeded()
	// Failed records that the endpoint failed with err.
	Failed(err error)
	// Abandoned records that the request ended without evidence about the endpoint's health.
	Abandoned()
}

// Health tracks the health of endpoints by the results of requests.
type Health interface {
	// Ready reports whether the endpoint's circuit breaker would allow a request.
	Ready(id EndpointID) bool
	// Begin records the start of a request to an endpoint.
	Begin(id EndpointID) Attempt
}

// RetryBudget limits the retries of each team.
type RetryBudget interface {
	// RecordRequest counts a request of the team, which adds a fraction of a retry to the budget.
	RecordRequest(team TeamID)
	// TakeRetry takes one retry from the budget. It returns false if none is left.
	TakeRetry(team TeamID) bool
}

// UsableEndpoints returns the eligible endpoints that are not leaving. Endpoints with an open circuit breaker are omitted unless all
// breakers are open, since a request that may fail is better than one that certainly does.
func UsableEndpoints(endpoints Endpoints, health Health, eligible func(*Endpoint) bool) []*Endpoint {
	var ready, open []*Endpoint
	for _, e := range endpoints {
		if e.State == Leaving || !eligible(e) {
			continue
		}
		if health.Ready(e.ID) {
			ready = append(ready, e)
		} else {
			open = append(open, e)
		}
	}
	if len(ready) == 0 {
		return open
	}
	return ready
}
