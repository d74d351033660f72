// Package logsrv is a fake of the platform's append-only log service: streams with offsets, a bounded append rate, limited
// retention, and faults that tests switch on.
package logsrv

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	qm "quetzalmount.dev/quetzalmount"
)

// Errors of the fake service. Those that wrap quetzalmount.ErrNotAppended had no effect.
var (
	// ErrDown is returned while the service is down.
	ErrDown = errors.WithMessage(qm.ErrNotAppended, "log service is down")
	// ErrRate is returned for an append above the rate.
	ErrRate = errors.WithMessage(qm.ErrNotAppended, "append rate exceeded")
	// ErrLost is returned for an append that took effect but whose answer was lost.
	ErrLost = errors.New("connection lost before the answer")
	// ErrReadDown is returned for a read while the service is down.
	ErrReadDown = errors.New("log service is down")
)

// Faults are switched on and off while the service runs.
type Faults struct {
	// Down makes every call fail.
	Down bool
	// DelayMs is added before each append and each read, in milliseconds.
	DelayMs int64
	// LoseAnswers is the share of appends, 0 to 1, that take effect but whose answer is lost.
	LoseAnswers float64
	// LateAppendMs makes appends whose answer was lost take effect only after this time, in milliseconds.
	LateAppendMs int64
}

// Options describe the service.
type Options struct {
	// AppendsPerSecond bounds the rate of appends over all streams. 0 means no bound.
	AppendsPerSecond float64
	// Retention is how long records are kept. 0 keeps them for ever.
	Retention time.Duration
	// Random returns numbers in [0, 1) that decide which answers are lost. Nil loses none.
	Random func() float64
}

type stream struct {
	first   qm.Offset // first offset that is kept
	records []qm.Record
	news    chan struct{} // closed at the next append
}

func (s *stream) next() qm.Offset { return s.first + qm.Offset(len(s.records)) }

// Store is the service without its HTTP interface. It implements quetzalmount.Log.
type Store struct {
	opts  Options
	limit *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	streams map[qm.StreamID]*stream
	appends int64
}

var _ qm.Log = (*Store)(nil)

// New returns an empty log.
func New(opts Options) *Store {
	limit := rate.NewLimiter(rate.Inf, 1)
	if opts.AppendsPerSecond > 0 {
		limit = rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), int(opts.AppendsPerSecond/10)+1)
	}
	return &Store{opts: opts, limit: limit, streams: make(map[qm.StreamID]*stream)}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
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
	if !s.limit.Allow() {
		return 0, ErrRate
	}
	if s.opts.Random != nil && f.LoseAnswers > 0 && s.opts.Random() < f.LoseAnswers {
		late := time.Duration(f.LateAppendMs) * time.Millisecond
		if late <= 0 {
			s.add(id, data)
		} else {
			time.AfterFunc(late, func() { s.add(id, data) })
		}
		return 0, ErrLost
	}
	return s.add(id, data), nil
}

func (s *Store) add(id qm.StreamID, data [][]byte) qm.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(id)
	first := st.next()
	now := time.Now()
	for i, d := range data {
		st.records = append(st.records, qm.Record{Offset: first + qm.Offset(i), Time: now, Data: append([]byte(nil), d...)})
	}
	s.appends++
	close(st.news)
	st.news = make(chan struct{})
	return first
}

// stream returns a stream, made if needed, without the records that are past retention. The caller holds s.mu.
func (s *Store) stream(id qm.StreamID) *stream {
	st, ok := s.streams[id]
	if !ok {
		st = &stream{first: 1, news: make(chan struct{})}
		s.streams[id] = st
	}
	if s.opts.Retention > 0 {
		limit := time.Now().Add(-s.opts.Retention)
		n := 0
		for n < len(st.records) && st.records[n].Time.Before(limit) {
			n++
		}
		st.first += qm.Offset(n)
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
		b, news, err := s.read(id, from, limit)
		if err != nil || len(b.Records) > 0 || wait <= 0 {
			return b, err
		}
		select {
		case <-news:
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
	st := s.stream(id)
	b := qm.Batch{FirstOffset: st.first, NextOffset: st.next()}
	start := max(int(from-st.first), 0)
	if start < len(st.records) {
		end := min(len(st.records), start+max(limit, 1))
		b.Records = append(b.Records, st.records[start:end]...)
	}
	return b, st.news, nil
}

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
