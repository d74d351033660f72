package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"quetzalmount.dev/quetzalmount/internal/entry/conns"
	"quetzalmount.dev/quetzalmount/internal/infra/conf"
)

// TestRequestLongerThanReadTimeout guards against a request that is cancelled while its answer is under way, because the time for reading requests is
// over, although it was read long ago and its caller still waits.
func TestRequestLongerThanReadTimeout(t *testing.T) {
	const readTimeout = 100 * time.Millisecond
	s := &conf.Settings{ReadHeaderTimeout: readTimeout, ReadBodyTimeout: readTimeout}
	l, err := listen(conns.New(conns.Options{}), "test", "127.0.0.1:0", "", "", 0, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusRequestTimeout)
			return
		}
		select {
		case <-r.Context().Done():
			http.Error(w, context.Cause(r.Context()).Error(), http.StatusInternalServerError)
		case <-time.After(3 * readTimeout):
		}
	}), s)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.serve() }()
	t.Cleanup(func() {
		l.shutdown(context.Background(), logr.Discard())
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	for name, request := range map[string]string{
		"without a body": "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"body":           "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}",
		"chunked body":   "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", l.netListener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			in := bufio.NewReader(c)
			for n := range 2 { // the second one on a connection that was idle
				if _, err := fmt.Fprint(c, request); err != nil {
					t.Fatal(err)
				}
				res, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(res.Body)
				if err != nil || res.StatusCode != http.StatusOK {
					t.Errorf("request %d: status %d, %s, error %v", n, res.StatusCode, body, err)
				}
				time.Sleep(2 * readTimeout)
			}
		})
	}
}

// TestStopDeadline guards against a request that is aborted by a graceful stop before StopTimeout, and against one that keeps a router from ending
// after it.
func TestStopDeadline(t *testing.T) {
	for name, tt := range map[string]struct{ stopTimeout, requestTime time.Duration }{
		"in time": {6 * time.Second, 2 * time.Second}, "too long": {300 * time.Millisecond, time.Minute},
	} {
		stopTimeout, requestTime := tt.stopTimeout, tt.requestTime
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{})
			l, err := listen(conns.New(conns.Options{}), "test", "127.0.0.1:0", "", "", 0, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				close(begun)
				select {
				case <-r.Context().Done():
				case <-time.After(requestTime):
				}
			}), &conf.Settings{})
			if err != nil {
				t.Fatal(err)
			}
			served := make(chan error, 1)
			go func() { served <- l.serve() }()
			answered := make(chan error, 1)
			go func() {
				res, err := http.Get("http://" + l.netListener.Addr().String())
				if err == nil {
					_ = res.Body.Close()
				}
				answered <- err
			}()
			<-begun
			ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
			defer cancel()
			l.shutdown(ctx, logr.Discard())
			if err := <-answered; (err == nil) != (requestTime < stopTimeout) {
				t.Errorf("the request ended with %v", err)
			}
			if err := <-served; err != nil {
				t.Error(err)
			}
		})
	}
}
