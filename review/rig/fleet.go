package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the deployment, as in the settings of the users' sheets.
const (
	heartbeat   = 1200 * time.Millisecond
	applyTime   = 2 * time.Second
	contactTime = 3 * time.Second
	memoryMb    = 134
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// process is a child process.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// engineProc is an engine process with its entry in the store, which is renewed until stop is called.
type engineProc struct {
	process
	id, service, addr string
	model             bool
	born              int64

	mu    sync.Mutex
	state string
	gone  bool
}

// router is a router process.
type router struct {
	*process
	name, callers, ready, peers, settings string
}

// fleet is a small deployment.
type fleet struct {
	rec     *recorder
	dir     string
	program string
	store   *store
	engines []*engineProc
	routers []*router

	mu     sync.Mutex
	events []engineEvent
}

// repoRoot is the root of the repository, where routers are started.
var repoRoot = os.Getenv("REPO")

func newFleet(rec *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &fleet{rec: rec, dir: dir, store: s, program: filepath.Join(repoRoot, "target", "quetzalmount")}, nil
}

// close ends all processes.
func (f *fleet) close() {
	for _, r := range f.routers {
		r.kill()
	}
	for _, e := range f.engines {
		e.mu.Lock()
		e.gone = true
		e.mu.Unlock()
		e.kill()
	}
	_ = os.RemoveAll(f.dir)
}

// addEngine starts an engine process and registers it.
func (f *fleet) addEngine(id, service, model string, args ...string) (*engineProc, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, append([]string{"engine", "-id", id, "-service", service, "-model", model}, args...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if _, err := cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	e := &engineProc{process: process{cmd: cmd, done: make(chan struct{})}, id: id, service: service, model: model != "", state: "ready", born: time.Now().UnixMilli()}
	ready := make(chan string, 1)
	go func() {
		s := bufio.NewScanner(out)
		for s.Scan() {
			var ev engineEvent
			if json.Unmarshal(s.Bytes(), &ev) != nil {
				continue
			}
			if ev.Kind == "listens" {
				ready <- ev.Detail
			}
			f.rec.add("engine %s: %s %s %s", ev.Engine, ev.Kind, ev.Request, ev.Detail)
			f.mu.Lock()
			f.events = append(f.events, ev)
			f.mu.Unlock()
		}
		_ = cmd.Wait()
		close(e.done)
	}()
	select {
	case e.addr = <-ready:
	case <-time.After(5 * time.Second):
		return nil, errors.New("engine doesn't start")
	}
	f.engines = append(f.engines, e)
	f.register(e)
	go func() {
		for range time.Tick(heartbeat) {
			if !f.register(e) {
				return
			}
		}
	}()
	return e, nil
}

// register writes the entry of an engine, and reports whether the engine is still there.
func (f *fleet) register(e *engineProc) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return false
	}
	entry := map[string]any{
		"service": e.service, "addr": e.addr, "zone": "z", "version": "v1", "slots": 128, "state": e.state, "coldLeftMs": 0, "stage": "unified",
		"sequence": 1, "born": e.born,
	}
	if e.model {
		entry["models"] = []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
	}
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	f.store.put("keyed.servers", e.id, data)
	return true
}

// setState writes the entry of an engine with another state.
func (f *fleet) setState(e *engineProc, state string) {
	e.mu.Lock()
	e.state = state
	e.mu.Unlock()
	f.register(e)
	f.rec.add("engine %s: the store has acknowledged the state %s", e.id, state)
}

// eventsOf returns the events of a kind, of one engine if engine isn't empty.
func (f *fleet) eventsOf(kind, engine string) []engineEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []engineEvent
	for _, e := range f.events {
		if e.Kind == kind && (engine == "" || e.Engine == engine) {
			out = append(out, e)
		}
	}
	return out
}

// freeAddr returns a loopback address that was free a moment ago.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// addRouter writes the settings of a router and starts it.
func (f *fleet) addRouter() (*router, error) {
	r := &router{name: fmt.Sprintf("front-%d", len(f.routers)), callers: freeAddr(), ready: freeAddr(), peers: freeAddr()}
	seeds := r.peers
	if len(f.routers) > 0 {
		seeds = f.routers[0].peers
	}
	r.settings = filepath.Join(f.dir, r.name+".ini")
	text := fmt.Sprintf(`[Instance]
Name = %s
DataCentre = z
Region = r
[Listen]
Callers = %s
Ready = %s
Peers = %s
Directory = %s
Metrics = %s
[Peers]
Seeds = %s
[Store]
Address = %s
LeastTTLMs = 1000
Partitions = %d
[Machine]
CpuShare = 0.4
Cores = 1
MemoryMb = %d
Descriptors = 4100
LinkMbps = 1000
[Bounds]
HeartbeatMs = %d
GraceS = 8
DrainMs = 2000
ApplyMs = %d
LeaseMs = 3000
VersionMs = 15000
AdviceS = 5
RepeatRatio = 0.2
RepeatExtra = 52
RepeatWindowS = 10
`, r.name, r.callers, r.ready, r.peers, freeAddr(), freeAddr(), seeds, f.store.addr, partitions, memoryMb, heartbeat.Milliseconds(), applyTime.Milliseconds())
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := f.startRouter(r); err != nil {
		return nil, err
	}
	f.routers = append(f.routers, r)
	return r, f.waitReady(r)
}

// startRouter starts the process of a router with the command of the deploy file.
func (f *fleet) startRouter(r *router) error {
	cmd := exec.Command(f.program, "platform")
	cmd.Dir = repoRoot
	cmd.Env = append(os.Environ(), "QUETZALMOUNT_NODE_FILE="+r.settings)
	log, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	r.process = p
	f.rec.add("router %s starts", r.name)
	return nil
}

// waitReady waits until a router says that it is ready, and knows all engines.
func (f *fleet) waitReady(r *router) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + r.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			time.Sleep(time.Second)
			f.rec.add("router %s is ready", r.name)
			return nil
		}
	}
	return fmt.Errorf("router %s isn't ready", r.name)
}

// Names of the deployment.
const (
	host  = "api.example"
	model = "m"
)

// tenant is a tenant of a configuration.
type tenant struct {
	name, key string
	isolated  bool
}

// configure writes a configuration with four routes and returns when it is acknowledged.
func (f *fleet) configure(version int, maxBody int, tenants ...tenant) {
	var list []string
	for _, t := range tenants {
		list = append(list, fmt.Sprintf(`{"name":%q,"keys":[%q],"isolated":%v}`, t.name, t.key, t.isolated))
	}
	f.store.put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"note","host":%[2]q,"pathPrefix":"/note/","kind":"streaming","timeoutMs":15000,"sloMs":500,"priority":0,"service":"scribe","maxAttempts":2,"public":false,"sticky":true,"canResume":true,"gapAimMs":400},
{"name":"sort","host":%[2]q,"pathPrefix":"/sort/","kind":"streaming","timeoutMs":15000,"sloMs":600,"priority":1,"service":"scribe","maxAttempts":1,"public":false,"sticky":true,"canResume":false,"gapAimMs":400},
{"name":"post","host":%[2]q,"pathPrefix":"/post/","kind":"non_idempotent","timeoutMs":3000,"sloMs":300,"priority":2,"service":"tally","maxAttempts":1,"public":false},
{"name":"view","host":%[2]q,"pathPrefix":"/view/","kind":"idempotent","timeoutMs":3000,"sloMs":300,"priority":2,"service":"tally","maxAttempts":2,"public":false}],
"services":[{"name":"scribe","healthPath":"/healthz","maxConns":610,"protocol":"h1","tls":false,"engine":{"slots":128,"kvCapacity":139035,"models":[{"name":%[3]q}]}},
{"name":"tally","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%[4]d,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[%[5]s]}`, version, host, model, maxBody, strings.Join(list, ",")))
	f.rec.add("the store has acknowledged configuration %d, tenants %v", version, tenants)
}

// nameVersion names version 1 of the weights.
func (f *fleet) nameVersion() {
	f.store.put("keyed.op", "version/"+model, fmt.Appendf(nil, `{"model":%q,"version":1}`, model))
}

// answer is what a client has seen of its request.
type answer struct {
	status int
	seal   string
	header http.Header
	body   string
	// err is the error of the exchange, nil if an answer came to its end.
	err error
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}

// request is a client's request.
type request struct {
	id, path, key, method, prefix string
	body                          []byte
	deadline                      time.Duration
}

// send sends a request to a router and waits for the end of its answer.
func (f *fleet) send(r *router, q request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	if q.method == "" {
		q.method = http.MethodPost
	}
	var body io.Reader
	if q.body != nil {
		body = strings.NewReader(string(q.body))
	}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+r.callers+q.path, body)
	if err != nil {
		return answer{err: err}
	}
	req.GetBody = nil // no retries by net/http
	req.Host = host
	req.Header.Set("Quetzalmount-Attempt-Id", q.id)
	req.Header.Set("Quetzalmount-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+q.key)
	if q.prefix != "" {
		req.Header.Set("Quetzalmount-Model", model)
		req.Header.Set("Quetzalmount-Token-Counts", "1000,100")
		req.Header.Set("Quetzalmount-Prompt-Prefix", q.prefix)
	}
	f.rec.add("client: sends %s %s %s to %s, %d bytes", q.id, q.method, q.path, r.name, len(q.body))
	resp, err := client.Do(req)
	if err != nil {
		f.rec.add("client: %s has no answer: %v", q.id, err)
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a := answer{resp.StatusCode, resp.Header.Get("Quetzalmount-Response-Seal"), resp.Header, string(data), err}
	f.rec.add("client: %s ends: status %d, seal %q, %d bytes, %d events, error %v", q.id, a.status, a.seal, len(data), strings.Count(a.body, "\n\n"), err)
	return a
}
