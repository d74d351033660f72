// Package lstsrv is a fake of the platform's instance list, whose published content lags behind its changes.
//
// Wire format, HTTP with JSON:
//
//	GET    /v1/instances           {"Instances":[Instance]}
//	PUT    /admin/instances/{id}   Instance; published after the lag
//	DELETE /admin/instances/{id}   published after the lag
//	GET, PUT /admin/faults         Faults
package lstsrv

import (
	"cmp"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

// Instance is one entry of the list. Kind is Router, Engine, Service, Cache or Weights; State is Live or Leaving.
type Instance struct {
	ID           string `json:"Id"`
	Kind         string
	Group        string
	Address      string
	PeerAddress  string
	AdminAddress string
	DataCentre   string
	Region       string
	State        string
}

// Faults are switched on and off while the service runs.
type Faults struct {
	// Down makes GET /v1/instances answer 503.
	Down bool
	// Frozen keeps the published list as it is.
	Frozen bool
}

type change struct {
	due time.Time
	id  string
	// instance is nil for a removal.
	instance *Instance
}

// Server is the list.
type Server struct {
	lag time.Duration

	mu        sync.Mutex
	faults    Faults
	pending   []change
	published map[string]Instance
}

// New returns a list with the given content, whose changes are published after lag.
func New(content []Instance, lag time.Duration) *Server {
	s := &Server{lag: lag, published: make(map[string]Instance)}
	for _, i := range content {
		s.published[i.ID] = i
	}
	return s
}

// Load reads the content of a list from a JSON file of the form {"Instances":[Instance]}.
func Load(file string) ([]Instance, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read instances")
	}
	var l answer
	return l.Instances, errors.Wrapf(json.Unmarshal(b, &l), "decode %s", file)
}

type answer struct{ Instances []Instance }

// Put adds or replaces an instance.
func (s *Server) Put(i Instance) { s.change(i.ID, &i) }

// Delete removes an instance.
func (s *Server) Delete(id string) { s.change(id, nil) }

func (s *Server) change(id string, i *Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, change{due: time.Now().Add(s.lag), id: id, instance: i})
}

// Published returns the list as it is published now, ordered by id.
func (s *Server) Published() []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for !s.faults.Frozen && len(s.pending) > 0 && !s.pending[0].due.After(now) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.instance == nil {
			delete(s.published, c.id)
		} else {
			s.published[c.id] = *c.instance
		}
	}
	out := make([]Instance, 0, len(s.published))
	for _, i := range s.published {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		if s.Faults().Down {
			serve.WriteError(w, http.StatusServiceUnavailable, 1, "instance list is down")
			return
		}
		serve.WriteJSON(w, http.StatusOK, answer{Instances: s.Published()})
	})
	mux.HandleFunc("PUT /admin/instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		var i Instance
		if serve.ReadJSON(w, r, &i) {
			i.ID = r.PathValue("id")
			s.Put(i)
			serve.WriteJSON(w, http.StatusOK, i)
		}
	})
	mux.HandleFunc("DELETE /admin/instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.Delete(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	serve.HandleFaults(mux, s.Faults, s.SetFaults)
	return mux
}
