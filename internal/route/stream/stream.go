// Package stream delivers the answer of a model engine to a caller: every chunk once and in order, over as many connections
// and engines as it takes.
//
// On a gap, a stalled or a lost connection a stream is resumed over a fresh connection at the same incarnation of the
// engine, which costs no computing. If that incarnation is gone or cannot be reached, the request moves to another engine,
// which continues from the text already delivered if the model allows it. A stream that can do neither ends with an
// *quetzalmount.Error. The engine is told when nobody reads a request any more.
package stream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Kind tells the two ways to recover from a fault apart.
type Kind string

// Kinds of recovery.
const (
	// Resume opens another connection to the engine that runs the request.
	Resume Kind = "Resume"
	// Move starts the request on another engine, which computes the prompt again.
	Move Kind = "Move"
)

const (
	// cancelWorkers is the number of cancellations sent at the same time.
	cancelWorkers = 4
	// cancelQueue is the number of cancellations that may wait. Beyond it the run that cancels waits itself.
	cancelQueue = 256
	// maxRepeats is the number of repeated chunks in a row after which a connection is given up.
	maxRepeats = 16
	// drainTime is the wait for the end marker after the last chunk, so that the connection can be used again.
	drainTime = 50 * time.Millisecond
)

// Options of a Streamer. Zero values mean the defaults.
type Options struct {
	// FirstToken bounds the wait for the first chunk from an engine over all connections (10 s), Progress the wait for a chunk
	// on one connection (2 s).
	FirstTokenTimeout, ProgressTimeout time.Duration
	// Resumes is the number of resumes in a row without a new chunk after which an engine is given up (3).
	Resumes int
	// Moves is the largest number of engines tried after the first one (3).
	Moves int
	// Backoff is the largest wait before the first resume; it doubles with each resume without a new chunk (10 ms).
	Backoff time.Duration
	// Cancel bounds the time of one cancellation (2 s).
	Cancel time.Duration
}

func (o Options) withDefaults() Options {
	duration := func(d *time.Duration, def time.Duration) {
		if *d <= 0 {
			*d = def
		}
	}
	duration(&o.FirstTokenTimeout, 10*time.Second)
	duration(&o.ProgressTimeout, 2*time.Second)
	duration(&o.Backoff, 10*time.Millisecond)
	duration(&o.Cancel, 2*time.Second)
	if o.Resumes <= 0 {
		o.Resumes = 3
	}
	if o.Moves <= 0 {
		o.Moves = 3
	}
	return o
}

// Request is one stream to deliver.
type Request struct {
	Engine *qm.EngineRequest
	// Continue tells that the model's engines can continue from emitted text.
	Continue bool
	// Place chooses an engine other than the excluded ones. Its error should be an *quetzalmount.Error.
	Place func(ctx context.Context, exclude []qm.EndpointID) (qm.Decision, error)
	// Budget allows or denies a recovery. Nil denies all.
	Budget func(Kind) bool
	// Deliver takes the chunks in order. An error means that the caller is gone.
	Deliver func(qm.Chunk) error
	// The hooks may be nil. FirstToken is called for the first chunk from each engine, Failed for each fault, and Left when the
	// request has left an engine, whatever the reason.
	FirstToken func(d qm.Decision, cached qm.Tokens)
	Failed     func(d qm.Decision, err error)
	Left       func(d qm.Decision)
}

// Summary describes a finished run.
type Summary struct {
	// Chunks is the number of chunks delivered.
	Chunks int64
	// Resumes and Moves count the recoveries, Repeats the chunks that came twice.
	Resumes, Moves, Repeats int
	// Usage is that of the last chunk, nil if the stream did not finish.
	Usage *qm.Usage
}

type cancellation struct {
	endpoint *qm.Endpoint
	id       qm.RequestID
}

// Streamer runs streams. It is safe for concurrent use.
type Streamer struct {
	client qm.EngineClient
	opts   Options

	cancels chan cancellation
	done    chan struct{}
	wg      sync.WaitGroup
}

// New returns a Streamer that uses client.
func New(client qm.EngineClient, opts Options) *Streamer {
	s := &Streamer{
		client: client, opts: opts.withDefaults(), cancels: make(chan cancellation, cancelQueue), done: make(chan struct{}),
	}
	for range cancelWorkers {
		s.wg.Go(func() {
			for {
				select {
				case c := <-s.cancels:
					s.cancelNow(c)
					continue
				default:
				}
				select {
				case c := <-s.cancels:
					s.cancelNow(c)
				case <-s.done:
					return
				}
			}
		})
	}
	return s
}

// Close sends the cancellations that wait and returns. No run may be in progress.
func (s *Streamer) Close() error {
	close(s.done)
	s.wg.Wait()
	return nil
}

// cancel tells an engine that nobody reads the request any more.
func (s *Streamer) cancel(e *qm.Endpoint, id qm.RequestID) {
	c := cancellation{e, id}
	select {
	case s.cancels <- c:
	default:
		s.cancelNow(c)
	}
}

// cancelNow sends a cancellation once. If it is lost, the engine drops the stream by itself after a while.
func (s *Streamer) cancelNow(c cancellation) {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.Cancel)
	defer cancel()
	_ = s.client.Cancel(ctx, c.endpoint, c.id)
}

// backoff returns a random wait before resume n in a row, from 0.
func (s *Streamer) backoff(n int) time.Duration {
	return time.Duration(rand.Int64N(int64(s.opts.Backoff) << min(n, 6)))
}
