// Package stream delivers the answer of a model engine to a caller, every chunk once and in order, over one or more connections and
// engines.
//
// After a gap, or when a connection is lost, a stream is resumed over a new connection to the same incarnation of the engine, which costs no
// computation. If that incarnation no longer exists or is unreachable, the request fails over to another engine, which continues from the
// text already delivered if the model supports it. A stream that can do neither ends with an *quetzalmount.Error.
//
// Silence proves nothing about an engine. A stream that stalls is resumed and fails over too, but the silent connections stay open until another
// one has delivered the next chunk; if none does, the request waits until its deadline. Two engines run a request until the first of them
// delivers. When a request is abandoned at an engine, its cancellation is sent to the engine.
package stream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Recovery is a way to recover from a fault.
type Recovery string

// Ways of recovery.
const (
	// Resume opens another connection to the engine that runs the request.
	Resume Recovery = "Resume"
	// Failover starts the request at another engine, which computes the prompt again.
	Failover Recovery = "Move"
)

const (
	// maxDuplicates is the number of duplicate chunks in a row that are skipped before the connection counts as failed.
	maxDuplicates = 16
	// drainTimeout bounds the wait for the end marker after the last chunk, which allows the connection to be reused.
	drainTimeout = 50 * time.Millisecond
)

// Options configures a Streamer. Zero values mean the defaults, which are given in parentheses.
type Options struct {
	// FirstTokenTimeout is the time without a first chunk from an engine after which another engine is tried (10 s), ProgressTimeout the time
	// without a chunk after which the stream is resumed over a further connection (2 s). Neither ends the run at the silent engine.
	FirstTokenTimeout, ProgressTimeout time.Duration
	// MaxResumes is the largest number of consecutive resumes without a new chunk, after failures and after silence each, before another engine is
	// tried, and of resumes that wait for the engine's answer (3).
	MaxResumes int
	// MaxFailovers is the largest number of engines tried after the first one (3).
	MaxFailovers int
	// BaseBackoff is the largest delay before the first resume. It doubles with each resume without a new chunk (10 ms).
	BaseBackoff time.Duration
	// CancelTimeout bounds the time of one cancellation (2 s).
	CancelTimeout time.Duration
}

func (o Options) withDefaults() Options {
	duration := func(d *time.Duration, def time.Duration) {
		if *d <= 0 {
			*d = def
		}
	}
	duration(&o.FirstTokenTimeout, 10*time.Second)
	duration(&o.ProgressTimeout, 2*time.Second)
	duration(&o.BaseBackoff, 10*time.Millisecond)
	duration(&o.CancelTimeout, 2*time.Second)
	if o.MaxResumes <= 0 {
		o.MaxResumes = 3
	}
	if o.MaxFailovers <= 0 {
		o.MaxFailovers = 3
	}
	return o
}

// Request is one stream to deliver.
type Request struct {
	Engine *qm.EngineRequest
	// Continue reports whether the model's engines can continue an answer from the text delivered so far.
	Continue bool
	// Place selects an engine that is not excluded. Its error should be an *quetzalmount.Error.
	Place func(ctx context.Context, exclude []qm.EndpointID) (qm.Placement, error)
	// Budget takes one recovery from the request's budget and reports whether there was one. Nil allows none.
	Budget func(Recovery) bool
	// Deliver passes a chunk to the caller; chunks come in order. An error means that the caller has disconnected.
	Deliver func(qm.Chunk) error
	// The hooks may be nil. FirstToken is called for the first chunk from each engine, Failed for each fault, and Finished when the
	// request has ended at an engine for any reason, with the error if it is not complete. mayHaveRun is set if the engine may have run it.
	FirstToken func(d qm.Placement, cached qm.Tokens)
	Failed     func(d qm.Placement, err error)
	Finished   func(d qm.Placement, mayHaveRun bool, err error)
}

// Summary describes a finished run.
type Summary struct {
	// Chunks is the number of chunks delivered.
	Chunks int64
	// Resumes and Failovers count the recoveries, Duplicates the chunks that were received again.
	Resumes, Failovers, Duplicates int
	// Usage is the usage from the last chunk, nil if the stream did not finish.
	Usage *qm.Usage
}

// Streamer runs streams. It is safe for concurrent use.
type Streamer struct {
	client qm.EngineClient
	opts   Options

	// cancellations are those in progress.
	cancellations sync.WaitGroup
}

// New returns a Streamer that uses client.
func New(client qm.EngineClient, opts Options) *Streamer {
	return &Streamer{client: client, opts: opts.withDefaults()}
}

// Close waits for the cancellations in progress. No Run may be in progress.
func (s *Streamer) Close() error {
	s.cancellations.Wait()
	return nil
}

// cancel sends the cancellation of a request. None waits for another one, since an engine that hangs would hold up those to all others; their number
// is that of the requests that ended within CancelTimeout, each of which had a connection to its engine.
func (s *Streamer) cancel(e *qm.Endpoint, id qm.RequestID) {
	s.cancellations.Go(func() { s.sendCancel(e, id) })
}

// sendCancel sends a cancellation once, without a retry: the engine drops an unread stream by itself after some time.
func (s *Streamer) sendCancel(e *qm.Endpoint, id qm.RequestID) {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.CancelTimeout)
	defer cancel()
	_ = s.client.Cancel(ctx, e, id)
}

// backoff returns a random delay before consecutive resume number n, counted from 0.
func (s *Streamer) backoff(n int) time.Duration {
	return time.Duration(rand.Int64N(int64(s.opts.BaseBackoff) << min(n, 6)))
}
