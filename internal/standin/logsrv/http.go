package logsrv

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

// retryAfterSeconds is the Retry-After value for an append above the rate limit.
const retryAfterSeconds = 1

// defaultReadLimit is the maximum number of records returned by a read without max.
const defaultReadLimit = 1000

type (
	newRecord      struct{ Data []byte }
	appendRequest  struct{ Records []newRecord }
	appendResponse struct{ First, Last qm.Offset }
	wireRecord     struct {
		Offset qm.Offset
		Data   []byte
		Time   int64 // milliseconds since the Unix epoch
	}
	readResponse struct {
		First, Next qm.Offset
		Records     []wireRecord
	}
	stats struct{ Appends int64 }
)

// Handler returns the HTTP handler of a store:
//
//	POST /v1/streams/{stream}/records                        {"Records":[{"Data":<base64>}]}  answers {"First","Last"}
//	GET  /v1/streams/{stream}/records?from=n&max=k&wait=ms   answers {"First","Next","Records":[{"Offset","Data","Time"}]}
//	GET, PUT /admin/faults                                   Faults
//	GET  /admin/stats                                        {"Appends"}
//
// An append above the rate limit gets 429 with Retry-After, and any call during an outage gets 503. If the answer of an
// append is to be lost, the connection is closed without a response. An append continues if its client disconnects.
func Handler(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.serveRead)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, stats{Appends: s.Appends()})
	})
	serve.HandleFaults(mux, s.Faults, s.SetFaults)
	return mux
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	var in appendRequest
	if !serve.ReadJSON(w, r, &in) {
		return
	}
	data := make([][]byte, len(in.Records))
	for i := range in.Records {
		data[i] = in.Records[i].Data
	}
	first, err := s.Append(context.WithoutCancel(r.Context()), qm.StreamID(r.PathValue("stream")), data)
	switch {
	case err == nil:
		serve.WriteJSON(w, http.StatusOK, appendResponse{First: first, Last: first + qm.Offset(len(data)) - 1})
	case errors.Is(err, ErrRateExceeded):
		serve.WriteError(w, http.StatusTooManyRequests, retryAfterSeconds, err.Error())
	case errors.Is(err, qm.ErrNotAppended):
		serve.WriteError(w, http.StatusServiceUnavailable, 1, err.Error())
	default:
		serve.Abort()
	}
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from := qm.Offset(serve.QueryInt(r, "from", 1))
	limit := int(serve.QueryInt(r, "max", defaultReadLimit))
	wait := time.Duration(serve.QueryInt(r, "wait", 0)) * time.Millisecond
	b, err := s.Read(r.Context(), qm.StreamID(r.PathValue("stream")), from, limit, wait)
	if err != nil {
		serve.WriteError(w, http.StatusServiceUnavailable, 1, err.Error())
		return
	}
	out := readResponse{First: b.FirstOffset, Next: b.NextOffset, Records: []wireRecord{}}
	for _, rec := range b.Records {
		out.Records = append(out.Records, wireRecord{Offset: rec.Offset, Data: rec.Data, Time: rec.Time.UnixMilli()})
	}
	serve.WriteJSON(w, http.StatusOK, out)
}
