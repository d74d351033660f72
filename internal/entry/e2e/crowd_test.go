package e2e_test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// Limits of the router in the tests of this file, and the crowd that it meets.
const (
	crowdMemoryMB    = 128
	crowdDescriptors = 400
	crowdSize        = 160
	crowdBodyBytes   = 4 << 20
	// crowdManyFields is the number of fields that fit into 64 KiB.
	crowdManyFields = 15_900
)

// crowdOptions describe a deployment with a router of few resources.
func crowdOptions() options {
	return options{routers: 1, engines: 1, services: 1, openFiles: crowdDescriptors, settings: [][3]string{
		{"Limits", "MemoryMB", strconv.Itoa(crowdMemoryMB)}, {"Limits", "MaxConns", "100"}, {"Limits", "MaxBodyBytes", strconv.Itoa(crowdBodyBytes)},
		{"Timeouts", "ReadBody", "20s"}, {"Timeouts", "WriteStall", "20s"},
	}}
}

// crowd opens connections to an address and calls send on each. A client whose connection is closed connects again, until the returned function is called.
func crowd(t *testing.T, address string, size int, send func(c net.Conn)) (stop func()) {
	const reconnectPause = 50 * time.Millisecond
	var wg sync.WaitGroup
	done := make(chan struct{})
	for range size {
		wg.Go(func() {
			for {
				if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
					end := make(chan struct{})
					go func() {
						select {
						case <-done:
						case <-end:
						}
						_ = c.Close()
					}()
					send(c)
					close(end)
				}
				select {
				case <-done:
					return
				case <-time.After(reconnectPause):
				}
			}
		})
	}
	stop = sync.OnceFunc(func() { close(done); wg.Wait() })
	t.Cleanup(stop)
	return stop
}

// text returns a function that sends text and waits until the router closes the connection.
func text(text string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = io.WriteString(c, text)
		_, _ = io.Copy(io.Discard, c)
	}
}

// unread returns a function that sends text again and again, without reading, until the router closes the connection.
func unread(text string) func(net.Conn) {
	return func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		for {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// status reads a number from the status of a process, in KB.
func (r *router) status(t *testing.T, name string) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == name {
			kb, err := strconv.Atoi(f[1])
			if err != nil {
				t.Fatal(err)
			}
			return kb
		}
	}
	t.Fatalf("the process has no %s", name)
	return 0
}

// settings returns the settings file of a router.
func (r *router) settings(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(r.settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// checkCrowd fails the test if the process has ended, has exceeded its limits or doesn't answer ordinary requests at its listeners.
func (d *deployment) checkCrowd(r *router, when string) {
	d.t.Helper()
	if r.exited() {
		d.t.Fatalf("%s: the process has ended with %d", when, r.exitCode)
	}
	if mb := r.status(d.t, "VmHWM:") >> 10; mb > crowdMemoryMB {
		d.t.Errorf("%s: %d MB of memory, at most %d", when, mb, crowdMemoryMB)
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	if err != nil || len(entries) > crowdDescriptors {
		d.t.Errorf("%s: %d descriptors, at most %d; error %v", when, len(entries), crowdDescriptors, err)
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{
		DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
	}}
	peers := "http://" + r.peersAddress
	if strings.Contains(r.settings(d.t), "PeersCert") {
		peers = "https://" + r.peersAddress
	}
	for _, p := range []struct{ name, method, url, body, header, key string }{
		{"callers", http.MethodPost, "http://" + r.callersAddress + "/v1/chat/completions",
			`{"model":"scribe","max_tokens":3,"messages":[{"role":"user","content":"x"}]}`, "Authorization", "Bearer " + teams[0].Key},
		{"operators", http.MethodGet, "http://" + r.operatorsAddress + "/metrics", "", "Authorization", "Bearer " + operatorKey},
		{"peers", http.MethodPost, peers + peerpb.PeerPathPrefix + "FetchTable", "{}", "X-Peer-Key", "0123456789abcdef"},
	} {
		status, failure := 0, ""
		for end := time.Now().Add(waitTimeout); status != http.StatusOK && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			status, failure = ask(client, p.method, p.url, p.body, p.header, p.key)
		}
		if status != http.StatusOK {
			d.t.Errorf("%s: an ordinary request to %s got status %d: %s", when, p.name, status, failure)
		}
	}
}

// ask sends a request and returns the status and the body, status 0 and the error if it failed.
func ask(client *http.Client, method, url, body, header, key string) (status int, text string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set(header, key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// testCrowd plays crowds against a router of a deployment each.
func testCrowd(t *testing.T, crowds map[string]crowdCase) {
	for name, tt := range crowds {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, crowdOptions())
			r := d.routers[0]
			d.checkCrowd(r, "before")
			stop := crowd(t, tt.address(r), tt.size, tt.send)
			time.Sleep(2 * time.Second)
			d.checkCrowd(r, "beside the crowd")
			stop()
			d.checkCrowd(r, "after the crowd")
		})
	}
}

// TestCrowdServeTLS guards against clients that keep others out by connections over TLS that don't get as far as a request.
func TestCrowdServeTLS(t *testing.T) {
	certFile, keyFile := writeCert(t)
	for name, send := range map[string]func(net.Conn){
		"silent": text(""),
		// The head of a record with the first half of a greeting.
		"half a handshake": text("\x16\x03\x01\x20\x00\x01\x00\x1f\xfc\x03\x03" + strings.Repeat("x", 4<<10)),
		"no TLS":           text("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", crowdManyFields)),
		"no request": func(c net.Conn) {
			secure := tls.Client(c, &tls.Config{InsecureSkipVerify: true})
			if secure.Handshake() == nil {
				_, _ = io.Copy(io.Discard, secure)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := crowdOptions()
			o.settings = append(o.settings, [3]string{"TLS", "PeersCert", certFile}, [3]string{"TLS", "PeersKey", keyFile}, [3]string{"TLS", "PeersCA", certFile})
			d := deploy(t, o)
			r := d.routers[0]
			stop := crowd(t, r.peersAddress, 2*crowdDescriptors, send)
			time.Sleep(2 * time.Second)
			d.checkCrowd(r, "beside the crowd")
			stop()
		})
	}
}

// crowdCase is what a crowd of clients sends to an address of a router.
type crowdCase struct {
	address func(*router) string
	size    int
	send    func(net.Conn)
}

func callersOf(r *router) string   { return r.callersAddress }
func operatorsOf(r *router) string { return r.operatorsAddress }
func peersOf(r *router) string     { return r.peersAddress }

// TestCrowdServeConnections guards against clients that end the process, or keep others out, by connections without requests or by heads.
func TestCrowdServeConnections(t *testing.T) {
	fields := "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", crowdManyFields)
	cases := map[string]crowdCase{}
	for name, address := range map[string]func(*router) string{"callers": callersOf, "operators": operatorsOf, "peers": peersOf} {
		cases[name+", idle"] = crowdCase{address, 2 * crowdDescriptors, text("")}
		cases[name+", heads"] = crowdCase{address, crowdSize, text(fields)}
		cases[name+", empty lines"] = crowdCase{address, crowdSize, text(strings.Repeat("\r\n", 10_000))}
	}
	testCrowd(t, cases)
}

// TestCrowdServeBodies guards against clients that keep others out, or take the memory, by bodies that don't come to their end.
func TestCrowdServeBodies(t *testing.T) {
	const length = "Content-Type: application/json\r\nContent-Length: 100\r\n\r\n"
	chat := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + teams[0].Key + "\r\n"
	peer := "POST " + peerpb.PeerPathPrefix + "FetchTable HTTP/1.1\r\nHost: x\r\n"
	large := chat + fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", crowdBodyBytes, strings.Repeat(" ", crowdBodyBytes-1))
	testCrowd(t, map[string]crowdCase{
		"callers":          {callersOf, crowdSize, text(chat + length)},
		"callers, no key":  {callersOf, crowdSize, text("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + length)},
		"callers, large":   {callersOf, 60, text(large)},
		"operators":        {operatorsOf, 2 * crowdDescriptors, text("GET /metrics HTTP/1.1\r\nHost: x\r\n" + length)},
		"peers":            {peersOf, 2 * crowdDescriptors, text(peer + "X-Peer-Key: 0123456789abcdef\r\n" + length)},
		"peers, wrong key": {peersOf, 2 * crowdDescriptors, text(peer + length)},
	})
}

// TestCrowdServeSlowReaders guards against clients that keep others out by sending requests without end and not reading the responses.
func TestCrowdServeSlowReaders(t *testing.T) {
	testCrowd(t, map[string]crowdCase{
		"callers":   {callersOf, crowdSize, unread("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + teams[0].Key + "\r\n\r\n")},
		"operators": {operatorsOf, crowdSize, unread("GET /metrics HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + operatorKey + "\r\n\r\n")},
	})
}
