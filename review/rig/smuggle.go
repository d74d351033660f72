package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["smuggle"] = smuggle }

// smuggle: a client sends a request whose body has the form of another request.
func smuggle(f *fleet, trouble bool) error {
	f.configure(1, 4<<20, tenant{"t", "key-t", false})
	f.nameVersion()
	for i := range 2 {
		if _, err := f.addEngine(fmt.Sprintf("tally-%d", i), "tally", ""); err != nil {
			return err
		}
	}
	r, err := f.addRouter()
	if err != nil {
		return err
	}
	conn, err := net.Dial("tcp", r.callers)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	receive := func() {
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			f.rec.add("client: no answer: %v", err)
			return
		}
		body, err := io.ReadAll(resp.Body)
		f.rec.add("client: gets status %d, request %q, seal %q, body %q, error %v", resp.StatusCode, resp.Header.Get("Quetzalmount-Attempt-Id"),
			resp.Header.Get("Quetzalmount-Response-Seal"), body, err)
	}
	write := func(text string) {
		f.rec.add("client: sends %q", text)
		_, _ = io.WriteString(conn, text)
	}
	head := func(path, id string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nQuetzalmount-Attempt-Id: " + id +
			"\r\nQuetzalmount-Deadline-Ms: 1500\r\nAuthorization: Bearer key-t\r\n"
	}
	write(head("/post/1", "first") + "Content-Length: 2\r\n\r\nhi")
	receive()
	inner := head("/post/hidden", "hidden") + "Content-Length: 2\r\n\r\nno"
	empty := "0\r\n\r\n"
	second := head("/post/2", "second") + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", len(empty)+len(inner)) + empty
	if trouble {
		second = "\r\n\r\n" + second // empty lines before a request, which servers skip
	}
	write(second)
	receive()
	write(inner)
	receive()
	time.Sleep(200 * time.Millisecond)
	for _, e := range f.eventsOf("runs", "") {
		if e.Request == "hidden" {
			return fmt.Errorf("%w: UNASKED, engine %s ran a request that was smuggled in the body of another one", errBroken, e.Engine)
		}
	}
	return nil
}
