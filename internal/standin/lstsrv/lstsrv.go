// Package lstsrv implements a fake of the platform's instance list, which publishes changes after a delay.
//
// The server speaks HTTP with JSON:
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

// Faults configures fault injection. It can be changed while the server runs.
type Faults struct {
	// Down makes GET /v1/instances answer 503.
	Down bool
	// Frozen stops the publication of changes.
	Frozen bool
}

// change is an addition, replacement or removal that isn't published yet.
type change struct {
	publishTime time.Time
	id          string
	// instance is nil for a removal.
	instance *Instance
}

// Server is a fake instance list.
type Server struct {
	lag time.Duration

	mu        sync.Mutex
	faults    Faults
	pending   []change
	published map[string]Instance
}

// New returns a list that publishes the given instances at once and later changes after lag.
func New(instances []Instance, lag time.Duration) *Server {
	s := &Server{lag: lag, published: make(map[string]Instance)}
	for _, i := range instances {
		s.published[i.ID] = i
	}
	return s
}

// LoadFile reads instances from a JSON file of the form {"Instances":[Instance]}.
func LoadFile(file string) ([]Instance, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read instances")
	}
	var l instanceList
	return l.Instances, errors.Wrapf(json.Unmarshal(b, &l), "decode %s", file)
}

// instanceList is the wire format of the list.
type instanceList struct{ Instances []Instance }

// Put adds or replaces an instance. The change is published after the lag.
func (s *Server) Put(i Instance) { s.enqueue(i.ID, &i) }

// Delete removes an instance. The change is published after the lag.
func (s *Server) Delete(id string) { s.enqueue(id, nil) }

func (s *Server) enqueue(id string, i *Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, change{publishTime: time.Now().Add(s.lag), id: id, instance: i})
}

// Published publishes the changes that are due and returns the list, ordered by ID.
func (s *Server) Published() []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for !s.faults.Frozen && len(s.pending) > 0 && !s.pending[0].publishTime.After(now) {
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

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Handler returns the HTTP handler of the list.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		if s.Faults().Down {
			serve.WriteError(w, http.StatusServiceUnavailable, 1, "instance list is down")
			return
		}
		serve.WriteJSON(w, http.StatusOK, instanceList{Instances: s.Published()})
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
