package logsrv

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

// retrySeconds is the Retry-After of an append above the rate.
const retrySeconds = 1

// readLimit is the number of records that a read without max returns at most.
const readLimit = 1000

type (
	newRecord     struct{ Data []byte }
	appendRequest struct{ Records []newRecord }
	appendAnswer  struct{ First, Last qm.Offset }
	wireRecord    struct {
		Offset qm.Offset
		Data   []byte
		Time   int64 // milliseconds since 1970
	}
	readAnswer struct {
		First, Next qm.Offset
		Records     []wireRecord
	}
	stats struct{ Appends int64 }
)

// Handler returns the HTTP interface of a store:
//
//	POST /v1/streams/{stream}/records                        {"Records":[{"Data":<base64>}]}  answers {"First","Last"}
//	GET  /v1/streams/{stream}/records?from=n&max=k&wait=ms   answers {"First","Next","Records":[{"Offset","Data","Time"}]}
//	GET, PUT /admin/faults                                   Faults
//	GET  /admin/stats                                        {"Appends"}
//
// An append above the rate gets 429 with Retry-After, any call in an outage 503. An append whose answer is lost ends the
// connection without an answer. An append goes on when its connection is lost.
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
		serve.WriteJSON(w, http.StatusOK, appendAnswer{First: first, Last: first + qm.Offset(len(data)) - 1})
	case errors.Is(err, ErrRate):
		serve.WriteError(w, http.StatusTooManyRequests, retrySeconds, err.Error())
	case errors.Is(err, qm.ErrNotAppended):
		serve.WriteError(w, http.StatusServiceUnavailable, 1, err.Error())
	default:
		serve.Abort()
	}
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from := qm.Offset(serve.QueryInt(r, "from", 1))
	limit := int(serve.QueryInt(r, "max", readLimit))
	wait := time.Duration(serve.QueryInt(r, "wait", 0)) * time.Millisecond
	b, err := s.Read(r.Context(), qm.StreamID(r.PathValue("stream")), from, limit, wait)
	if err != nil {
		serve.WriteError(w, http.StatusServiceUnavailable, 1, err.Error())
		return
	}
	out := readAnswer{First: b.FirstOffset, Next: b.NextOffset, Records: []wireRecord{}}
	for _, rec := range b.Records {
		out.Records = append(out.Records, wireRecord{Offset: rec.Offset, Data: rec.Data, Time: rec.Time.UnixMilli()})
	}
	serve.WriteJSON(w, http.StatusOK, out)
}
