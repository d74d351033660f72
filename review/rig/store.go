package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// partitions is the number of partitions of a topic, as in the settings of the routers.
const partitions = 32

type logRecord struct {
	key   string
	value []byte
}

type groupMember struct {
	expires time.Time
	topics  []string
}

type memberGroup struct {
	generation int64
	members    map[string]*groupMember
	owners     map[string]map[int]string
}

// store is a stand-in of the platform's store: keyed topics of one partition, and groups. It is sound: it answers each call at once.
type store struct {
	addr string

	mu      sync.Mutex
	topics  map[string][]logRecord
	groups  map[string]*memberGroup
	changed chan struct{}
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), topics: map[string][]logRecord{}, groups: map[string]*memberGroup{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("POST /log-join", s.join)
	mux.HandleFunc("POST /log-leave", s.leave)
	mux.HandleFunc("GET /log-owners", s.listOwners)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put appends a record, as the operator and the engines do; a nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], logRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
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
	byKey := map[string]item{}
	for i, rec := range records {
		byKey[rec.key] = item{rec.key, rec.value, i}
		if rec.value == nil {
			delete(byKey, rec.key)
		}
	}
	items := []item{}
	for _, i := range byKey {
		items = append(items, i)
	}
	answerJSON(w, map[string]any{"items": items, "truncated": false, "end": len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	topic := r.FormValue("topic")
	from, err := strconv.Atoi(r.FormValue("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(r.FormValue("waitMs")) // absent: 0
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := waitMs > 0; ; {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if len(records) > from || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[min(from, len(records)):] {
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
			waiting = false
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
	answerJSON(w, map[string]any{"offset": 0, "end": 0})
}

type groupCall struct {
	Group, Member string
	Topics        []string
	TTLMs         int64
	Generation    int64
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if json.NewDecoder(r.Body).Decode(&c) != nil || c.TTLMs < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(c.Group)
	m := g.members[c.Member]
	if m == nil || !slices.Equal(m.topics, c.Topics) {
		m = &groupMember{topics: c.Topics}
		g.members[c.Member] = m
		g.assign()
	}
	m.expires = time.Now().Add(time.Duration(c.TTLMs) * time.Millisecond)
	parts := [][]any{}
	for topic, owners := range g.owners {
		for part, owner := range owners {
			if owner == c.Member {
				parts = append(parts, []any{topic, part, 0})
			}
		}
	}
	answerJSON(w, map[string]any{"generation": g.generation, "ttlMs": c.TTLMs, "parts": parts})
}

// group returns a group without its expired members. The caller holds mu.
func (s *store) group(name string) *memberGroup {
	g := s.groups[name]
	if g == nil {
		g = &memberGroup{members: map[string]*groupMember{}}
		s.groups[name] = g
	}
	for name, m := range g.members {
		if time.Now().After(m.expires) {
			delete(g.members, name)
			g.assign()
		}
	}
	return g
}

func (g *memberGroup) assign() {
	g.generation++
	g.owners = map[string]map[int]string{}
	var names []string
	for name, m := range g.members {
		names = append(names, name)
		for _, t := range m.topics {
			g.owners[t] = map[int]string{}
		}
	}
	slices.Sort(names)
	for topic := range g.owners {
		for part := range partitions {
			g.owners[topic][part] = names[part%len(names)]
		}
	}
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(c.Group)
	if g.members[c.Member] != nil {
		delete(g.members, c.Member)
		g.assign()
	}
	answerJSON(w, map[string]any{})
}

func (s *store) listOwners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	for topic, owners := range s.group(r.FormValue("group")).owners {
		for part, owner := range owners {
			rows = append(rows, []any{topic, part, owner, 0})
		}
	}
	answerJSON(w, map[string]any{"parts": rows})
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
