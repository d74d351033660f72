// Package logsrv implements a fake of the platform's append-only log service: streams with offsets, a limited append rate,
// limited retention, and fault injection.
package logsrv

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	qm "quetzalmount.dev/quetzalmount"
)

// Errors of the fake service. An append that fails with an error wrapping quetzalmount.ErrNotAppended had no effect.
var (
	// ErrDown is returned for an append while the service is down.
	ErrDown = errors.WithMessage(qm.ErrNotAppended, "log service is down")
	// ErrRateExceeded is returned for an append above the rate limit.
	ErrRateExceeded = errors.WithMessage(qm.ErrNotAppended, "append rate exceeded")
	// ErrAnswerLost is returned for an append that takes effect but whose answer is lost.
	ErrAnswerLost = errors.New("connection lost before the answer")
	// ErrReadDown is returned for a read while the service is down.
	ErrReadDown = errors.New("log service is down")
)

// Faults configures fault injection. It can be changed while the service runs.
type Faults struct {
	// Down makes every call fail.
	Down bool
	// DelayMs is the delay before each append and each read, in milliseconds.
	DelayMs int64
	// LoseAnswers is the fraction of appends, from 0 to 1, that take effect but whose answer is lost.
	LoseAnswers float64
	// LateAppendMs is the delay, in milliseconds, after which an append whose answer is lost takes effect.
	LateAppendMs int64
}

// Options configures the service.
type Options struct {
	// AppendsPerSecond limits the rate of appends to all streams together. 0 means no limit.
	AppendsPerSecond float64
	// Retention is how long records are kept. 0 means forever.
	Retention time.Duration
	// Random returns numbers in [0, 1) that decide which answers are lost. If it is nil, no answer is lost.
	Random func() float64
}

type stream struct {
	firstOffset qm.Offset // offset of the oldest retained record, or the next offset if there is none
	records     []qm.Record
	appended    chan struct{} // closed at the next append, then replaced
}

func (s *stream) nextOffset() qm.Offset { return s.firstOffset + qm.Offset(len(s.records)) }

// Store is the log service without its HTTP interface. It implements quetzalmount.Log.
type Store struct {
	opts    Options
	limiter *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	streams map[qm.StreamID]*stream
	appends int64
}

var _ qm.Log = (*Store)(nil)

// New returns a store without records.
func New(opts Options) *Store {
	limiter := rate.NewLimiter(rate.Inf, 1)
	if opts.AppendsPerSecond > 0 {
		limiter = rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), int(opts.AppendsPerSecond/10)+1)
	}
	return &Store{opts: opts, limiter: limiter, streams: make(map[qm.StreamID]*stream)}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Appends returns the number of appends that took effect.
func (s *Store) Appends() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Append implements quetzalmount.Log.
func (s *Store) Append(ctx context.Context, id qm.StreamID, data [][]byte) (qm.Offset, error) {
	f := s.Faults()
	if err := sleep(ctx, time.Duration(f.DelayMs)*time.Millisecond); err != nil {
		return 0, errors.WithMessage(qm.ErrNotAppended, err.Error())
	}
	if s.Faults().Down {
		return 0, ErrDown
	}
	if !s.limiter.Allow() {
		return 0, ErrRateExceeded
	}
	if s.opts.Random != nil && f.LoseAnswers > 0 && s.opts.Random() < f.LoseAnswers {
		delay := time.Duration(f.LateAppendMs) * time.Millisecond
		if delay <= 0 {
			s.appendRecords(id, data)
		} else {
			time.AfterFunc(delay, func() { s.appendRecords(id, data) })
		}
		return 0, ErrAnswerLost
	}
	return s.appendRecords(id, data), nil
}

func (s *Store) appendRecords(id qm.StreamID, data [][]byte) qm.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.trimmedStream(id)
	first := st.nextOffset()
	now := time.Now()
	for i, d := range data {
		st.records = append(st.records, qm.Record{Offset: first + qm.Offset(i), Time: now, Data: append([]byte(nil), d...)})
	}
	s.appends++
	close(st.appended)
	st.appended = make(chan struct{})
	return first
}

// trimmedStream returns a stream after removing the records that are older than Retention. It creates the stream if
// necessary. The caller holds s.mu.
func (s *Store) trimmedStream(id qm.StreamID) *stream {
	st, ok := s.streams[id]
	if !ok {
		st = &stream{firstOffset: 1, appended: make(chan struct{})}
		s.streams[id] = st
	}
	if s.opts.Retention > 0 {
		cutoff := time.Now().Add(-s.opts.Retention)
		n := 0
		for n < len(st.records) && st.records[n].Time.Before(cutoff) {
			n++
		}
		st.firstOffset += qm.Offset(n)
		st.records = st.records[n:]
	}
	return st
}

// Read implements quetzalmount.Log.
func (s *Store) Read(ctx context.Context, id qm.StreamID, from qm.Offset, limit int, wait time.Duration) (qm.Batch, error) {
	if err := sleep(ctx, time.Duration(s.Faults().DelayMs)*time.Millisecond); err != nil {
		return qm.Batch{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		b, appended, err := s.read(id, from, limit)
		if err != nil || len(b.Records) > 0 || wait <= 0 {
			return b, err
		}
		select {
		case <-appended:
		case <-deadline.C:
			return b, nil
		case <-ctx.Done():
			return qm.Batch{}, ctx.Err()
		}
	}
}

func (s *Store) read(id qm.StreamID, from qm.Offset, limit int) (qm.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return qm.Batch{}, nil, ErrReadDown
	}
	st := s.trimmedStream(id)
	b := qm.Batch{FirstOffset: st.firstOffset, NextOffset: st.nextOffset()}
	start := max(int(from-st.firstOffset), 0)
	if start < len(st.records) {
		end := min(len(st.records), start+max(limit, 1))
		b.Records = append(b.Records, st.records[start:end]...)
	}
	return b, st.appended, nil
}

// sleep waits for d. It returns ctx.Err() if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
