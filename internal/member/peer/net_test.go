package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/peer"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

const latency = time.Millisecond

// fabric carries requests between routers in one process and counts the bytes that HTTP/1.1 would take.
type fabric struct {
	mu    sync.Mutex
	nodes map[string]*node
	cut   map[[2]string]bool
	bytes int64
	calls int64
	// only is the method that is counted, empty for all.
	only string
	list []qm.Member
}

type node struct {
	id     string
	net    *fabric
	board  *board.Board
	roster *roster.Roster
	peer   *peer.Peer
}

// Do carries one request. A cut from one node to another swallows what is sent in that direction.
func (n *node) Do(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	to := r.URL.Host
	time.Sleep(latency)
	n.net.mu.Lock()
	dst, lost, lostBack := n.net.nodes[to], n.net.cut[[2]string{n.id, to}], n.net.cut[[2]string{to, n.id}]
	n.net.mu.Unlock()
	if dst == nil {
		return nil, fmt.Errorf("connection refused by %s", to)
	}
	if lost {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	var wire bytes.Buffer
	r.Body = io.NopCloser(bytes.NewReader(body))
	if err := r.Write(&wire); err != nil {
		return nil, err
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	rec := httptest.NewRecorder()
	dst.peer.Handler().ServeHTTP(rec, r)
	resp := rec.Result()
	answer := rec.Body.Bytes()
	resp.ContentLength = int64(len(answer))
	if err := resp.Write(&wire); err != nil {
		return nil, err
	}
	resp.Body = io.NopCloser(bytes.NewReader(answer))
	n.net.mu.Lock()
	// Each byte is sent by one node and received by another.
	if strings.HasSuffix(r.URL.Path, n.net.only) {
		n.net.bytes += 2 * int64(wire.Len())
		n.net.calls++
	}
	n.net.mu.Unlock()
	time.Sleep(latency)
	if lostBack {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return resp, nil
}

func build(t testing.TB, n int) *fabric {
	f := &fabric{nodes: map[string]*node{}, cut: map[[2]string]bool{}}
	for i := range n {
		id := fmt.Sprintf("router-%03d", i)
		f.list = append(f.list, qm.Member{Instance: qm.InstanceID(id), PeerAddress: id, State: qm.Live})
	}
	for i := range n {
		f.start(t, f.list[i], fmt.Sprintf("%016x", i*7919))
	}
	return f
}

func (f *fabric) start(t testing.TB, self qm.Member, inc string) *node {
	self.Incarnation = qm.Incarnation(inc)
	nd := &node{id: string(self.Instance), net: f, board: board.New()}
	nd.roster = roster.New(t.Context(), roster.Options{
		Board: nd.board, Self: self, ListInterval: time.Hour,
		List: func(context.Context) ([]qm.Member, []*qm.Endpoint, error) {
			return f.list, []*qm.Endpoint{{ID: "engine-1", Kind: qm.KindEngine, State: qm.Live}}, nil
		},
	})
	nd.peer = peer.New(t.Context(), peer.Options{Board: nd.board, Roster: nd.roster, Self: self, Client: nd})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[nd.id] = nd
	return nd
}

func (f *fabric) stop() {
	for _, n := range f.nodes {
		n.peer.Close()
		n.roster.Close()
	}
}

// sever cuts or mends the way from one node to another.
func (f *fabric) sever(from, to int, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{string(f.list[from].Instance), string(f.list[to].Instance)}] = cut
}

func (f *fabric) node(i int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[string(f.list[i].Instance)]
}

func (f *fabric) crash(i int) {
	n := f.node(i)
	f.mu.Lock()
	delete(f.nodes, n.id)
	f.mu.Unlock()
	n.peer.Close()
	n.roster.Close()
}

// sees returns the state of member i at node n.
func (n *node) sees(i int) qm.Member {
	m, _ := n.board.Members.Load()
	for _, x := range m {
		if x.Instance == n.net.list[i].Instance {
			return x
		}
	}
	return qm.Member{}
}

// until waits in steps until ok holds and returns how long that took, or limit.
func until(limit time.Duration, ok func() bool) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		synctest.Wait()
		if ok() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// follow makes every node apply the highest offset that a member reports, as the configuration controller does.
func (f *fabric) follow(ctx context.Context) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() {
			for {
				changed := n.board.Members.Changed()
				members, _ := n.board.Members.Load()
				n.apply(highest(members))
				select {
				case <-ctx.Done():
					return
				case <-changed:
				}
			}
		})
	}
	return &wg
}

func highest(members qm.Members) qm.Offset {
	var top qm.Offset
	for _, m := range members {
		top = max(top, m.TableOffset)
	}
	return top
}

func (n *node) offset() qm.Offset {
	c, ok := n.board.Table.Load()
	if !ok {
		return 0
	}
	return c.Offset
}

func (n *node) apply(o qm.Offset) {
	if o > n.offset() {
		n.board.Table.Store(&qm.Config{Offset: o})
	}
}

// every reports whether ok holds at all running nodes but one.
func (f *fabric) every(except int, ok func(*node) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.nodes {
		if (except < 0 || id != string(f.list[except].Instance)) && !ok(n) {
			return false
		}
	}
	return true
}
