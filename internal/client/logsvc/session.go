package logsvc

import (
	"net/http"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// session makes calls of one kind for one stream, one at a time, over connections that no other session uses.
//
// The log service's responses have no request IDs, and a service may write a response more than once. Within a session a response to an
// earlier call is told from the one that is due by its offsets, which only grow. After any other response to an append than a success the
// connection isn't used again, so that a refusal that is read on it refuses the append that is made. A refused read proves nothing, and its
// connection is kept: readers retry often while the service is down.
type session struct {
	pool *pool.Pool
	http *http.Client
	// offset is the last offset of the records of the last append, or the next offset of the last batch that was read.
	offset qm.Offset
}

// sessionKey selects the sessions for calls of one kind for one stream.
type sessionKey struct {
	stream qm.StreamID
	append bool
}

// acceptAppend checks and records the offsets of the answer to an append. A log that has lost records may go back; its answer is accepted on
// a new connection.
func (s *session) acceptAppend(trace *pool.Trace, first, last qm.Offset) error {
	if trace.Reused() && first <= s.offset {
		return errors.Wrapf(qm.ErrWrongRequest, "offset %d after %d", first, s.offset)
	}
	s.offset = last
	return nil
}

// acceptRead does the same for the next offset of a batch. A batch with an equal one may still be the answer to an earlier read. Its records are
// those with the offsets that were asked for, and an empty one says nothing that was not true when the last batch was read.
func (s *session) acceptRead(trace *pool.Trace, next qm.Offset) error {
	if trace.Reused() && next < s.offset {
		return errors.Wrapf(qm.ErrWrongRequest, "next offset %d after %d", next, s.offset)
	}
	s.offset = next
	return nil
}

// closeConns closes the connections of a call, and takes them out of the pool, where the next call would find them closed.
func (s *session) closeConns(trace *pool.Trace) {
	trace.CloseConns()
	s.pool.Close()
}

// begin returns an idle session, or a new one. The caller returns it with end.
func (c *Client) begin(key sessionKey) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle := c.idle[key]; len(idle) > 0 {
		s := idle[len(idle)-1]
		c.idle[key] = idle[:len(idle)-1]
		return s
	}
	p := pool.New(c.opts)
	s := &session{pool: p, http: &http.Client{Transport: p}}
	c.sessions = append(c.sessions, s)
	return s
}

func (c *Client) end(key sessionKey, s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[key] = append(c.idle[key], s)
}

// closeIdle closes idle connections.
func (c *Client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sessions {
		s.pool.Close()
	}
}
