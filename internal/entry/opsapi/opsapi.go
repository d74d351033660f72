// Package opsapi implements the HTTP API for operators: the table in force, the state of instances, endpoints and teams, the
// metrics, and profiles.
//
// It has a listener and a key of its own, separate from those of callers. It is read-only; edits of the table go to the log service.
package opsapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/http/pprof"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/slot"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/admin"
)

// Row is one row of the table.
type Row struct {
	Kind, Name string
	Version    qm.Offset
	Cells      map[string]string
}

// Progress is the progress of an engine towards the state that the table specifies.
type Progress struct {
	Desired qm.VersionID
	Step    string
	// Error is the message of the error of the last command, empty if it succeeded.
	Error string
}

// Deps are the dependencies of a Handler.
type Deps struct {
	Board    *board.Board
	Instance qm.InstanceID
	Version  string
	KeyHash  string // SHA-256 of the operators' key, in hex
	// Rows returns the rows of the table in force, ordered by kind and name.
	Rows func() []Row
	// Teams returns the teams that have requests on this instance.
	Teams func() []slot.Load
	// Progress returns the progress of each engine towards the state that the table specifies.
	Progress func() map[qm.EndpointID]Progress
	Metrics  http.Handler
}

// Handler implements the interfaces that are generated from the operators' API.
type Handler struct{ deps Deps }

var (
	_ admin.Handler         = (*Handler)(nil)
	_ admin.SecurityHandler = (*Handler)(nil)
)

// errUnauthorized is the error for a missing or wrong key.
var errUnauthorized = errors.New("the operators' key is missing or wrong")

// New returns the HTTP handler for operators.
func New(deps Deps) (http.Handler, error) {
	h := &Handler{deps: deps}
	server, err := admin.NewServer(h, h)
	if err != nil {
		return nil, errors.WithMessage(err, "create operators' API server")
	}
	mux := http.NewServeMux()
	mux.Handle("/", server)
	mux.Handle("GET /metrics", h.requireKey(deps.Metrics.ServeHTTP))
	mux.Handle("GET /debug/pprof/profile", h.requireKey(pprof.Profile))
	mux.Handle("GET /debug/pprof/", h.requireKey(pprof.Index))
	return mux, nil
}

// requireKey returns a handler that answers 401 to requests without the operators' key and passes all others to next. It is for the
// paths that the generated code doesn't serve.
func (h *Handler) requireKey(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		const prefix = "Bearer "
		auth := r.Header.Get("Authorization")
		if len(auth) < len(prefix) || !h.isValidKey(auth[len(prefix):]) {
			http.Error(w, errUnauthorized.Error(), http.StatusUnauthorized)
			return
		}
		next(w, r)
	})
}

// isValidKey compares the hash of a key with that of the operators' key in constant time.
func (h *Handler) isValidKey(key string) bool {
	sum := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(h.deps.KeyHash)) == 1
}

// HandleOperatorKey implements admin.SecurityHandler. It returns an error unless the key is the operators' key.
func (h *Handler) HandleOperatorKey(
	ctx context.Context, _ admin.OperationName, key admin.OperatorKey,
) (context.Context, error) {
	if !h.isValidKey(key.Token) {
		return ctx, errUnauthorized
	}
	return ctx, nil
}

// NewError implements admin.Handler. It converts an error into a response.
func (h *Handler) NewError(_ context.Context, err error) *admin.ErrorStatusCode {
	status := http.StatusInternalServerError
	var security *ogenerrors.SecurityError
	var qmErr *qm.Error
	switch {
	case errors.As(err, &security):
		status, err = http.StatusUnauthorized, errUnauthorized
	case errors.As(err, &qmErr):
		status = qmErr.HTTPStatus()
	}
	return &admin.ErrorStatusCode{StatusCode: status, Response: admin.Error{Message: err.Error()}}
}

// GetTable implements admin.Handler. It returns the table in force.
func (h *Handler) GetTable(context.Context) (*admin.Table, error) {
	c, ok := h.deps.Board.Table.Load()
	if !ok {
		return nil, qm.Refuse(qm.CodeNoTable, "read table", "This instance has no table yet.")
	}
	t := &admin.Table{Offset: int64(c.Offset), Rows: []admin.Row{}}
	for _, r := range h.deps.Rows() {
		t.Rows = append(t.Rows, admin.Row{Kind: r.Kind, Name: r.Name, Version: int64(r.Version), Cells: r.Cells})
	}
	return t, nil
}

// GetStatus implements admin.Handler. It returns the state of the instances, endpoints and teams as this instance knows it.
func (h *Handler) GetStatus(context.Context) (*admin.Status, error) {
	s := &admin.Status{
		Instance: string(h.deps.Instance), State: "Waiting", Version: admin.NewOptString(h.deps.Version),
		Instances: []admin.InstanceStatus{}, Endpoints: []admin.EndpointStatus{}, Teams: []admin.TeamStatus{},
	}
	if c, ok := h.deps.Board.Table.Load(); ok {
		s.State, s.TableOffset = "Serving", int64(c.Offset)
	}
	if h.deps.Board.IsLeaving() {
		s.State = string(qm.Leaving)
	}
	members, _ := h.deps.Board.Members.Load()
	for _, m := range members {
		s.Instances = append(s.Instances, h.instanceStatus(m, s.TableOffset))
	}
	endpoints, _ := h.deps.Board.Endpoints.Load()
	progress := h.deps.Progress()
	for _, e := range endpoints {
		s.Endpoints = append(s.Endpoints, endpointStatus(e, progress[e.ID]))
	}
	for _, t := range h.deps.Teams() {
		s.Teams = append(s.Teams, admin.TeamStatus{Team: string(t.Team), InFlight: t.InFlight, Queued: t.Queued})
	}
	return s, nil
}

// instanceStatus returns the status of a member. selfOffset is the table offset of this instance.
func (h *Handler) instanceStatus(m qm.Member, selfOffset int64) admin.InstanceStatus {
	offset := int64(m.TableOffset)
	if m.IsSelf {
		offset = selfOffset
	}
	return admin.InstanceStatus{
		Instance: string(m.Instance), Address: m.Address, DataCentre: string(m.DataCentre), State: string(m.State),
		TableOffset: offset,
	}
}

func endpointStatus(e *qm.Endpoint, p Progress) admin.EndpointStatus {
	s := admin.EndpointStatus{
		Endpoint: string(e.ID), Kind: string(e.Kind), Group: string(e.Group), Address: e.Address, State: string(e.State),
		DataCentre: admin.NewOptString(string(e.DataCentre)),
	}
	if e.Kind == qm.KindEngine {
		s.Incarnation = admin.NewOptString(string(e.Incarnation))
		s.Version = admin.NewOptString(string(e.Version))
		s.DesiredVersion = admin.NewOptString(string(p.Desired))
		s.Step = admin.NewOptString(p.Step)
		s.Error = admin.NewOptString(p.Error)
		s.Running = admin.NewOptInt(e.Load.Running)
		s.Waiting = admin.NewOptInt(e.Load.Waiting)
	}
	return s
}
