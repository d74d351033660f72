package pool_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/standin/rawsrv"
)

// uploadBytes is more than the buffers of both ends of a connection hold.
const uploadBytes = 4 << 20

// rawAnswer is an answer that a server writes amid or after an upload, and how it ends its connection.
type rawAnswer struct {
	text string
	// readFirst is the number of bytes of the upload that the server reads before it answers, -1 for all.
	readFirst int
	// pause is the time between the answer and its end.
	pause time.Duration
	end   ending
}

type ending string

// Endings of a connection.
const (
	// closes ends the connection in order; unread bytes of the upload make the kernel reset it.
	closes ending = "closes"
	resets ending = "resets"
	// halfCloses ends the answer and reads the rest of the upload.
	halfCloses ending = "half-closes"
	// keeps leaves the connection open and reads the rest of the upload.
	keeps ending = "keeps"
)

func (a rawAnswer) serve(c net.Conn, in *bufio.Reader) {
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	if a.readFirst < 0 {
		_, _ = io.Copy(io.Discard, req.Body)
	} else {
		_, _ = io.CopyN(io.Discard, req.Body, int64(a.readFirst))
	}
	_, _ = io.WriteString(c, a.text)
	time.Sleep(a.pause)
	switch a.end {
	case resets:
		_ = c.(*net.TCPConn).SetLinger(0)
	case halfCloses:
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, in)
	case keeps:
		_, _ = io.Copy(io.Discard, in)
	}
}

// send sends an upload to a server that answers with a. It returns the status and the body, or an error if there is no whole answer.
func (a rawAnswer) send(t *testing.T, transport http.RoundTripper) (int, string, error) {
	t.Helper()
	address, stop, err := rawsrv.Start(a.serve)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		t.Fatal(err)
	}
	req.GetBody = nil
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// transports returns both transports of a pool.
func transports(t *testing.T) map[string]http.RoundTripper {
	p := pool.New(pool.Options{})
	t.Cleanup(p.Close)
	return map[string]http.RoundTripper{"pooled": p, "unpooled": p.Unpooled()}
}

// TestEarlyAnswerBrokenOff guards against a part of an answer that is taken for the whole: the server answers an upload early, without a length, and
// resets the connection. The write of the upload takes the error of the connection, so that the next read ends as if it had been closed in order.
func TestEarlyAnswerBrokenOff(t *testing.T) {
	for name, transport := range transports(t) {
		for _, a := range []rawAnswer{
			{"HTTP/1.1 200 OK\r\n\r\npart of the bo", 1000, 0, resets},
			{"HTTP/1.1 200 OK\r\n\r\npart of the bo", 1000, 3 * time.Millisecond, resets},
			{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of the bo", 100_000, time.Millisecond, closes},
		} {
			whole := 0
			for range 20 {
				if _, _, err := a.send(t, transport); err == nil {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("%s, %s after %v: %d of 20 answers that were broken off count as whole", name, a.end, a.pause, whole)
			}
		}
	}
}

// TestEarlyAnswerWhole guards against an early answer that is lost although it is whole: it has a length or chunks, or the server has read the
// upload to its end.
func TestEarlyAnswerWhole(t *testing.T) {
	for name, transport := range transports(t) {
		for _, a := range []rawAnswer{
			{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", 1000, 0, keeps},
			{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 1000, 0, keeps},
			{"HTTP/1.1 200 OK\r\n\r\nwhole", 1000, 0, halfCloses},
			{"HTTP/1.1 200 OK\r\n\r\nwhole", -1, 0, closes},
		} {
			for range 10 {
				if status, body, err := a.send(t, transport); err != nil || status != 200 || body != "whole" {
					t.Errorf("%s, %q, %s: status %d, body %q, error %v", name, a.text, a.end, status, body, err)
				}
			}
		}
	}
}

// TestStatusOutOfRange guards against a status that is no final one and is taken for an answer: net/http reads any three digits, and panics when one
// below 100 is passed on.
func TestStatusOutOfRange(t *testing.T) {
	for name, transport := range transports(t) {
		for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
			a := rawAnswer{"HTTP/1.1 " + status + " X\r\nContent-Length: 5\r\n\r\nwhole", -1, 0, keeps}
			if got, _, err := a.send(t, transport); err == nil {
				t.Errorf("%s: status %s is taken for an answer, as %d", name, status, got)
			}
		}
		for _, status := range []int{200, 204, 299, 304, 404, 500, 599} {
			a := rawAnswer{fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status), -1, 0, keeps}
			if got, _, err := a.send(t, transport); err != nil || got != status {
				t.Errorf("%s: status %d arrives as %d, %v", name, status, got, err)
			}
		}
	}
}

// TestDrawnAnswers guards against answers of other forms that count as whole although they were broken off, or have no final status. Status, framing, the
// place and the kind of the end are drawn.
func TestDrawnAnswers(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2026))
	all := transports(t)
	pick := func(s ...string) string { return s[rnd.IntN(len(s))] }
	for range 150 {
		status := pick("200", "200", "200", "503", "000", "700", "042")
		framing := pick("", "Connection: close\r\n", "Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n")
		body, isWhole := "answer 42", rnd.IntN(2) == 0
		sent := body
		if framing == "Transfer-Encoding: chunked\r\n" {
			sent = "9\r\nanswer 42\r\n0\r\n\r\n"
		}
		if !isWhole {
			sent = sent[:rnd.IntN(len(sent)-2)]
		}
		a := rawAnswer{
			"HTTP/1.1 " + status + " X\r\n" + framing + "\r\n" + sent, []int{0, 1000, 1 << 20, -1}[rnd.IntN(4)],
			time.Duration(rnd.IntN(3)) * time.Millisecond, []ending{closes, resets, halfCloses}[rnd.IntN(3)],
		}
		// A server that closes in order a connection whose upload it has read ends an answer without a length, whatever it meant to send.
		isFramed := framing == "Content-Length: 9\r\n" || framing == "Transfer-Encoding: chunked\r\n"
		endsInOrder := a.end == halfCloses || a.end == closes && a.readFirst < 0
		want := body
		if !isFramed {
			want = sent
		}
		for name, transport := range all {
			code, got, err := a.send(t, transport)
			switch {
			case err != nil:
			case status != "200" && status != "503":
				t.Errorf("%s: %+v: status %d is taken for an answer", name, a, code)
			case got != want:
				t.Errorf("%s: %+v: body %q counts as whole", name, a, got)
			case !isFramed && !endsInOrder:
				t.Errorf("%s: %+v: an answer that ended with a reset counts as whole", name, a)
			}
		}
	}
}
