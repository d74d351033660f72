package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
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

const (
	latency = time.Millisecond
	// listInterval is the time between two reads of the list of members in a network whose list changes.
	listInterval = time.Second
)

// network carries requests between routers in one process and counts the bytes that they would take over HTTP/1.1.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
	// cut holds the directed links, from and to, that drop requests.
	cut   map[[2]string]bool
	bytes int64
	calls int64
	// countedMethod is the suffix of the URL paths that are counted, empty for all.
	countedMethod string
	list          []qm.Member
	// unlisted holds the nodes that are missing from the list that the others read.
	unlisted map[string]bool
	// listInterval is the time between two reads of the list.
	listInterval time.Duration
	// off holds the nodes without power, which answer nothing.
	off map[string]bool
	// options holds the intervals and the timeout of the peers; the zero value means the defaults.
	options peer.Options
}

type node struct {
	id     string
	net    *network
	board  *board.Board
	roster *roster.Roster
	peer   *peer.Peer
}

// Do carries one request. Messages over a cut link are lost; a cut link back to n loses the response after the request was handled.
func (n *node) Do(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	to := r.URL.Host
	time.Sleep(latency)
	n.net.mu.Lock()
	dst, lost, lostBack := n.net.nodes[to], n.net.cut[[2]string{n.id, to}] || n.net.off[to], n.net.cut[[2]string{to, n.id}]
	n.net.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if dst == nil {
		return nil, fmt.Errorf("connection refused by %s", to)
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
	if strings.HasSuffix(r.URL.Path, n.net.countedMethod) {
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

func newNetwork(t testing.TB, n int) *network { return newNetworkWithOptions(t, n, 0, peer.Options{}) }

// newNetworkWithOptions starts n nodes, the last ones of which are missing from the list.
func newNetworkWithOptions(t testing.TB, n, unlisted int, o peer.Options) *network {
	nw := &network{nodes: map[string]*node{}, cut: map[[2]string]bool{}, off: map[string]bool{}, unlisted: map[string]bool{}, listInterval: time.Hour, options: o}
	for i := range n {
		id := fmt.Sprintf("router-%03d", i)
		nw.list = append(nw.list, qm.Member{Instance: qm.InstanceID(id), PeerAddress: id, State: qm.Live})
	}
	if nw.setUnlisted(unlisted); unlisted > 0 {
		nw.listInterval = listInterval
	}
	for i := range n {
		nw.start(t, nw.list[i], fmt.Sprintf("%016x", i*7919))
	}
	return nw
}

func (nw *network) start(t testing.TB, self qm.Member, inc string) *node {
	self.Incarnation = qm.Incarnation(inc)
	nd := &node{id: string(self.Instance), net: nw, board: board.New()}
	nd.roster = roster.New(t.Context(), roster.Options{
		Board: nd.board, Self: self, ListInterval: nw.listInterval,
		List: func(context.Context) ([]qm.Member, []*qm.Endpoint, error) {
			return nw.listed(), []*qm.Endpoint{{ID: "engine-1", Kind: qm.KindEngine, State: qm.Live}}, nil
		},
	})
	o := nw.options
	o.Board, o.Roster, o.Self, o.Client = nd.board, nd.roster, self, nd
	nd.peer = peer.New(t.Context(), o)
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.nodes[nd.id] = nd
	return nd
}

// listed returns the members on the list that all nodes read.
func (nw *network) listed() []qm.Member {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if len(nw.unlisted) == 0 {
		return nw.list
	}
	return slices.DeleteFunc(slices.Clone(nw.list), func(m qm.Member) bool { return nw.unlisted[string(m.Instance)] })
}

// setUnlisted takes the last n nodes off the list, 0 for none.
func (nw *network) setUnlisted(n int) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	clear(nw.unlisted)
	for _, m := range nw.list[len(nw.list)-n:] {
		nw.unlisted[string(m.Instance)] = true
	}
}

func (nw *network) stop() {
	for _, n := range nw.nodes {
		n.peer.Close()
		n.roster.Close()
	}
}

// setCut cuts or restores the link from one node to another.
func (nw *network) setCut(from, to int, cut bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.cut[[2]string{string(nw.list[from].Instance), string(nw.list[to].Instance)}] = cut
}

func (nw *network) node(i int) *node {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.nodes[string(nw.list[i].Instance)]
}

func (nw *network) crash(i int) {
	n := nw.node(i)
	nw.mu.Lock()
	delete(nw.nodes, n.id)
	nw.mu.Unlock()
	n.peer.Close()
	n.roster.Close()
}

// powerOff stops node i and leaves calls to it without an answer.
func (nw *network) powerOff(i int) {
	nw.mu.Lock()
	nw.off[string(nw.list[i].Instance)] = true
	nw.mu.Unlock()
	nw.crash(i)
}

// memberView returns member i as node n sees it.
func (n *node) memberView(i int) qm.Member {
	m, _ := n.board.Members.Load()
	for _, x := range m {
		if x.Instance == n.net.list[i].Instance {
			return x
		}
	}
	return qm.Member{}
}

// waitUntil polls ok until it holds or limit has passed, and returns the time that this took.
func waitUntil(limit time.Duration, ok func() bool) time.Duration {
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

// followOffsets makes every node apply the highest offset that a member reports, as the configuration controller does.
func (nw *network) followOffsets(ctx context.Context) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, n := range nw.nodes {
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

// allNodes reports whether ok holds at all running nodes other than except; a negative except means all of them.
func (nw *network) allNodes(except int, ok func(*node) bool) bool {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for id, n := range nw.nodes {
		if (except < 0 || id != string(nw.list[except].Instance)) && !ok(n) {
			return false
		}
	}
	return true
}
