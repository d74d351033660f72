package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// nextID numbers the requests of all clients.
var nextID atomic.Int64

// newID returns an ID that no other request has.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix(), nextID.Add(1)) }

// request is a request of a client.
type request struct {
	id, method, host, path, key, body string
	deadline                          time.Duration
	headers                           map[string]string
	// chunked is set if the body is sent in chunks instead of with a length.
	chunked bool
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// whole is set if the answer was complete.
	whole bool
	err   error
}

// client sends requests on one connection, which it keeps. It never sends a request again by itself.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// write writes a request to the connection.
func (c *client) write(q request) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	head := q.method + " " + q.path + " HTTP/1.1\r\nHost: " + q.host + "\r\nQuetzalmount-Attempt-Id: " + q.id + "\r\nAuthorization: Bearer " + q.key + "\r\n"
	if q.deadline > 0 {
		head += "Quetzalmount-Deadline-Ms: " + strconv.FormatInt(q.deadline.Milliseconds(), 10) + "\r\n"
	}
	for k, v := range q.headers {
		head += k + ": " + v + "\r\n"
	}
	body := q.body
	switch {
	case q.chunked:
		head += "Transfer-Encoding: chunked\r\n"
		body = strconv.FormatInt(int64(len(q.body)), 16) + "\r\n" + q.body + "\r\n0\r\n\r\n"
	case q.body != "" || q.method == http.MethodPost:
		head += "Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n"
	}
	_, err := io.WriteString(c.conn, head+"\r\n"+body)
	return err
}

// do sends a request and reads its answer.
func (c *client) do(q request) answer {
	if err := c.write(q); err != nil {
		c.close()
		return answer{err: err}
	}
	if q.deadline > 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(q.deadline))
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, header: resp.Header}
	a.body, a.err = io.ReadAll(resp.Body)
	a.whole = a.err == nil
	if a.err != nil || resp.Close {
		c.close()
	}
	return a
}

// logAnswer records a request and its answer.
func logAnswer(rec *recorder, q request, at time.Time, router string, a answer) {
	result := strconv.Itoa(a.status)
	switch {
	case a.status == 0:
		result = "no answer: " + fmt.Sprint(a.err)
	case !a.whole:
		result += ", cut off"
	}
	rec.logf("sent %s at %.3f to %s: %s", q.id, at.Sub(rec.start).Seconds(), router, result)
}

// close closes the connection.
func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.reader = nil, nil
}
