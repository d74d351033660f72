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
	// Time is when the log service took the record, by the service's clock.
	Time time.Time
	Data []byte
}

// Batch is a part of a log stream.
type Batch struct {
	// First is the first offset that the service still keeps. A reader that asked for an earlier one has missed records.
	FirstOffset Offset
	// Next is the offset that the next record will get.
	NextOffset Offset
	Records    []Record
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds records to a stream as one unit and returns the offset of the first. If the error wraps ErrNotAppended the
	// records are not in the log; after any other error they may be, now or later.
	Append(ctx context.Context, stream StreamID, records [][]byte) (Offset, error)
	// Read returns at most limit records from an offset on. If there are none yet it waits up to wait.
	Read(ctx context.Context, stream StreamID, from Offset, limit int, wait time.Duration) (Batch, error)
}

// PrefixKey is the chained hash of a prompt up to the end of one block or level. It covers the team, the model and the
// weights version, so equal keys mean equal prompts of the same team on the same weights.
type PrefixKey uint64

// PrefixSpan is one step of a prompt: its key, and the tokens from the start of the prompt to the end of the step.
type PrefixSpan struct {
	Key PrefixKey
	End Tokens
}

// PlaceRequest is what the placement decision knows about a request.
type PlaceRequest struct {
	Team  TeamID
	Model ModelID
	// Spans are the steps of the prompt, shortest prefix first.
	Spans        []PrefixSpan
	PromptTokens Tokens
	// Exclude lists endpoints that refused or failed this request already.
	Exclude []EndpointID
	// Once tells that the request can't be continued at another endpoint.
	NonResumable bool
	// Again tells that the request was placed before, so that it does not count as another one.
	PlacedBefore bool
	// Store is the cache store that engines can fetch from, nil if there is none.
	CacheStore *Endpoint
}

// Decision is the outcome of a placement.
type Placement struct {
	Endpoint    *Endpoint
	Incarnation Incarnation
	// Expected is the expected time to first token.
	ExpectedTTFT time.Duration
	// Wait is the part of Expected that other requests cause.
	QueueDelay time.Duration
	// Hit is the number of prompt tokens expected to be in the engine's cache.
	CachedTokens Tokens
	// Source is another engine, or the store, that is expected to hold more of the prompt, nil if there is none.
	CacheSource *Endpoint
	// Save tells that the store is not expected to hold the shared part of the prompt.
	SaveToStore bool
	// Reason names the rule that decided, for logs and metrics.
	Reason string
}

// Placer chooses an engine. Implementations are safe for concurrent use.
type Placer interface {
	// Place chooses among engines, which all serve the model. It reports false if none can take the request.
	Place(r *PlaceRequest, engines []*Endpoint, now time.Time, rnd *rand.Rand) (Placement, bool)
	// Dispatched tells that the request was sent to the engine of d.
	Dispatched(r *PlaceRequest, d Placement, now time.Time)
	// FirstToken tells that the engine delivered the first token and how many prompt tokens it found in its cache.
	FirstToken(r *PlaceRequest, d Placement, cached Tokens, now time.Time)
	// Finished tells that the request left the engine, whatever the reason.
	Finished(r *PlaceRequest, d Placement, now time.Time)
}

// CacheEvent is one entry of an engine's event stream.
type CacheEvent struct {
	Seq int64
	// Stored is true for a block that entered the cache and false for one that was evicted.
	Stored bool
	Block  PrefixKey
}

// CacheObserver takes the cache events of engines. Events come late, and some are lost.
type CacheObserver interface {
	// Observe applies events of one incarnation. gap tells that events before the first one were lost.
	Observe(engine EndpointID, inc Incarnation, events []CacheEvent, gap bool, now time.Time)
	// Forget drops all entries of an engine that belong to other incarnations than inc.
	Forget(engine EndpointID, inc Incarnation)
}

// Cost is what a request takes from its team's limits.
type Cost struct {
	PromptTokens Tokens
	// OutputTokens is the most that the answer may have.
	OutputTokens Tokens
}

// Grant is the permission to run one request.
type Grant interface {
	// Release returns the grant. used is the number of tokens generated, so that the rest of the reserve is given back.
	Release(used Tokens)
}

// Limiter holds the limits of teams over all instances.
type Limiter interface {
	// Admit takes the cost from the limits of the team, or refuses with an *Error whose outcome is NotRun. It does not wait.
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

// Result is what is known of a call.
type CallResult struct {
	Operation OperationID
	Outcome   Outcome
	// Status is the HTTP status of the service's answer if the outcome is Done.
	Status int
	Answer json.RawMessage
	// Repeated tells that the answer is that of an earlier call with the same key.
	Repeated bool
	// AnswerDropped tells that the call is done but that its answer was too large, or too old, to be kept.
	AnswerDropped bool
}

// Dispatch sends a call to an endpoint of its service. If the error is an *Error with outcome NotRun then no byte of the
// call reached an endpoint; any other error leaves the outcome unknown.
type DispatchFunc func(ctx context.Context, op OperationID, c *Call) (status int, answer json.RawMessage, err error)

// Status asks the service about an operation. found is false if the service does not know it, which is no proof that the
// call will never run.
type StatusFunc func(ctx context.Context, op OperationID, c *Call) (r CallResult, found bool, err error)

// Claims runs calls that must not run twice.
type CallRunner interface {
	// Run claims the call in the log, dispatches it if the claim wins, and returns what is known when the context ends. The
	// error is an *Error; a Result with outcome Unknown is no error.
	Run(ctx context.Context, c *Call) (CallResult, error)
	// Lookup returns what is known of an operation.
	Lookup(ctx context.Context, team TeamID, svc *Service, op OperationID) (CallResult, error)
}

// ServiceClient sends calls to one process of a plain service.
type ServiceClient interface {
	Call(ctx context.Context, endpoint *Endpoint, op OperationID, c *Call) (status int, answer json.RawMessage, err error)
	Status(ctx context.Context, endpoint *Endpoint, op OperationID) (r CallResult, found bool, err error)
}

// EngineRequest is a completion request for an engine.
type EngineRequest struct {
	Request RequestID
	Model   ModelID
	Version VersionID
	// CacheSalt keeps cache entries of teams and weights apart.
	CacheSalt string
	Messages  []Message
	MaxTokens Tokens
	Priority  int
	// Blocks are the keys of the prompt's spans, so that cache events can be matched with prompts.
	Blocks []PrefixSpan
	// Emitted is the first part of the answer, already delivered by another engine, and From the number of its chunks.
	EmittedText string
	FirstChunk  int64
}

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chunk is one piece of an answer.
type Chunk struct {
	// Number counts from 0 without gaps.
	Number int64
	Text   string
	// Finish is set on the last chunk: "stop" or "length".
	FinishReason string
	// Usage is set on the last chunk.
	Usage *Usage
	// Cached is set on the first chunk: the prompt tokens that the engine found in its cache.
	CachedTokens Tokens
}

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens, OutputTokens, CachedTokens Tokens
}

// ChunkReader reads the chunks of one answer over one connection.
type ChunkReader interface {
	// Next returns the next chunk. io.EOF comes only after a chunk with Finish; io.ErrUnexpectedEOF means that the connection
	// ended early.
	Next(ctx context.Context) (Chunk, error)
	// Incarnation returns the incarnation that the engine named when the stream was opened.
	Incarnation() Incarnation
	Close() error
}

// EngineClient talks to model engines.
type EngineClient interface {
	// Start opens a stream. If the error is an *Error with outcome NotRun the engine refused the request or was not reached.
	Start(ctx context.Context, e *Endpoint, r *EngineRequest) (ChunkReader, error)
	// Resume opens the stream of a request again from a chunk number on, over a fresh connection.
	Resume(ctx context.Context, e *Endpoint, inc Incarnation, id RequestID, from int64) (ChunkReader, error)
	// Cancel tells the engine to drop a request.
	Cancel(ctx context.Context, e *Endpoint, id RequestID) error
}

// Completion is a validated completion request.
type Completion struct {
	Request  RequestID
	Team     *Team
	Model    *Model
	Messages []Message
	// PromptBytes is the length of all message texts.
	PromptBytes int
	MaxTokens   Tokens
}

// Completer runs completions.
type Completer interface {
	// Complete delivers the chunks of the answer in order and without gaps. It returns an *Error if the answer is not whole. An
	// error of deliver ends the request.
	Complete(ctx context.Context, c *Completion, deliver func(Chunk) error) error
}

// Attempt is one request at an endpoint. Its outcome is reported once.
type Attempt interface {
	Succeeded()
	Failed(err error)
	// Abandoned tells that the request ended without saying anything about the endpoint.
	Abandoned()
}

// Health says which endpoints may be used, and takes what requests observe of them.
type Health interface {
	// Ready reports whether the circuit breaker of an endpoint would let a request through.
	Ready(id EndpointID) bool
	// Begin counts a request that is sent now.
	Begin(id EndpointID) Attempt
}

// RetryBudget bounds the retries of teams.
type RetryBudget interface {
	// Request counts a request of the team, which earns a part of a retry.
	RecordRequest(team TeamID)
	// Retry takes one retry and reports whether there was one.
	TakeRetry(team TeamID) bool
}

// Usable returns the endpoints that may take a request. Those whose circuit breaker is open are left out unless all are open, because a
// request that may fail is better than one that surely does.
func UsableEndpoints(all Endpoints, h Health, may func(*Endpoint) bool) []*Endpoint {
	var ready, open []*Endpoint
	for _, e := range all {
		if e.State == Leaving || !may(e) {
			continue
		}
		if h.Ready(e.ID) {
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
