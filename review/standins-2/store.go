package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// record is a record of a keyed topic; a nil value deletes the key.
type record struct {
	key   string
	value []byte
}

// groupMember is a member of a group.
type groupMember struct {
	expiresAt time.Time
	topics    []string
	// known is the generation that the member has joined with last.
	known int64
}

// group is a group whose members share the partitions of topics.
type group struct {
	generation int64
	members    map[string]*groupMember
	// owner holds the owning member of each partition, wanted the one that it is to have.
	owner, wanted map[part]string
}

type part struct {
	topic string
	n     int
}

// partitions is the number of partitions of a topic.
const partitions = 32

// store is a stand-in of the platform's store.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	groups  map[string]*group
	changed chan struct{}
	mux     *http.ServeMux
	// fault handles calls in place of the store if it is not nil and returns true.
	fault func(http.ResponseWriter, *http.Request) bool
}

func newStore() *store {
	s := &store{topics: map[string][]record{}, groups: map[string]*group{}, changed: make(chan struct{}), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /log-newest", s.newest)
	s.mux.HandleFunc("GET /log-read", s.read)
	s.mux.HandleFunc("POST /log-append", s.append)
	s.mux.HandleFunc("POST /log-join", s.join)
	s.mux.HandleFunc("POST /log-leave", s.leave)
	s.mux.HandleFunc("GET /log-owners", s.owners)
	return s
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "0")
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault != nil && fault(w, r) {
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mux.ServeHTTP(w, r)
}

// setFault sets the function that handles calls first; nil for none.
func (s *store) setFault(f func(http.ResponseWriter, *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// put appends a record. A nil value deletes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

// putJSON appends a record with a value in JSON.
func (s *store) putJSON(topic, key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.put(topic, key, data)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[r.FormValue("topic")]
	s.mu.Unlock()
	newest := map[string]item{}
	for i, rec := range records {
		if rec.value == nil {
			delete(newest, rec.key)
			continue
		}
		newest[rec.key] = item{rec.key, rec.value, i}
	}
	items := []item{}
	for _, i := range newest {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b item) int { return a.Offset - b.Offset })
	writeJSON(w, map[string]any{"items": items, "truncated": false, "end": len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	topic := r.FormValue("topic")
	from, err := strconv.Atoi(r.FormValue("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.FormValue("waitMs")) // absent: 0
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(records) > from || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(out, rec.key...)
				out = append(out, rec.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || int(binary.BigEndian.Uint32(body)) != len(body)-4 || int(body[4]) > len(body)-5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k := 5 + int(body[4])
	s.put(r.FormValue("topic"), string(body[5:k]), body[k:])
	s.mu.Lock()
	end := len(s.topics[r.FormValue("topic")])
	s.mu.Unlock()
	writeJSON(w, map[string]any{"offset": end - 1, "end": end})
}

type groupCall struct {
	Group, Member string
	Topics        []string
	TTLMs         int64
	Generation    int64
}

// current returns a group after removing expired members. The caller holds mu.
func (s *store) current(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*groupMember{}, owner: map[part]string{}, wanted: map[part]string{}}
		s.groups[name] = g
	}
	now := time.Now()
	for name, m := range g.members {
		if now.After(m.expiresAt) {
			g.remove(name)
		}
	}
	return g
}

// remove removes a member, whose partitions go to others at once.
func (g *group) remove(name string) {
	delete(g.members, name)
	g.deal()
	for p, o := range g.owner {
		if o == name {
			g.owner[p] = g.wanted[p]
		}
	}
}

// deal starts a new generation and distributes the partitions of all topics evenly over the members.
func (g *group) deal() {
	g.generation++
	clear(g.wanted)
	topics := map[string]bool{}
	names := []string{}
	for name, m := range g.members {
		names = append(names, name)
		for _, t := range m.topics {
			topics[t] = true
		}
	}
	slices.Sort(names)
	for topic := range topics {
		for n := range partitions {
			p := part{topic, n}
			g.wanted[p] = names[n%len(names)]
			if g.owner[p] == "" {
				g.owner[p] = g.wanted[p]
			}
		}
	}
	for p := range g.owner {
		if g.wanted[p] == "" {
			delete(g.owner, p)
		}
	}
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if json.NewDecoder(r.Body).Decode(&c) != nil || c.TTLMs < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.current(c.Group)
	m := g.members[c.Member]
	if m == nil || !slices.Equal(m.topics, c.Topics) {
		m = &groupMember{topics: c.Topics}
		g.members[c.Member] = m
		g.deal()
	}
	m.expiresAt = time.Now().Add(time.Duration(c.TTLMs) * time.Millisecond)
	// A member that joins with the generation of the last distribution has been told what it gives up.
	if c.Generation >= g.generation {
		moved := false
		for p, o := range g.owner {
			if o == c.Member && g.wanted[p] != c.Member {
				g.owner[p], moved = g.wanted[p], true
			}
		}
		if moved {
			g.generation++
		}
	}
	parts := [][]any{}
	for p, o := range g.owner {
		if o == c.Member && g.wanted[p] == c.Member {
			parts = append(parts, []any{p.topic, p.n, 0})
		}
	}
	writeJSON(w, map[string]any{"generation": g.generation, "ttlMs": c.TTLMs, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.current(c.Group)
	if g.members[c.Member] != nil {
		g.remove(c.Member)
	}
	writeJSON(w, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	for p, o := range s.current(r.FormValue("group")).owner {
		rows = append(rows, []any{p.topic, p.n, o, 0})
	}
	writeJSON(w, map[string]any{"parts": rows})
}
