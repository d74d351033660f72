// Command standins-2 has the stand-ins of the cases of the second review, one subcommand a case. Each starts routers as separate processes and plays the
// clients, the engines and the store itself, on loopback addresses.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// recorder writes the lines of record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, start: time.Now()}, err
}

// logf writes a line with the time since the start in seconds.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// sayf writes a line to the record and to standard output.
func (r *recorder) sayf(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// takenPorts holds the ports that freeAddress has returned.
var takenPorts = map[int]bool{}

// freeAddress returns a free loopback address, below the ports that the kernel gives to connections.
func freeAddress() string {
	const lowest, count = 11000, 20000
	for {
		port := lowest + rand.IntN(count)
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		_ = l.Close()
		if !takenPorts[port] {
			takenPorts[port] = true
			return l.Addr().String()
		}
	}
}

// serve serves a handler on a new loopback address until the returned server is closed.
func serve(h http.Handler) (address string, s *http.Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s = &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), s
}

// router is a router process.
type router struct {
	name, zone                                string
	front, ready, control, directory, metrics string
	settings                                  string
	cmd                                       *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// killed is set before the process is killed by the case.
	killed atomic.Bool
}

// fleet is a small deployment.
type fleet struct {
	dir     string
	store   *store
	address string
	routers []*router
	values  map[string]string
}

// defaultValues are the settings of the sites, which a case may change.
func defaultValues() map[string]string {
	return map[string]string{
		"region": "r", "platform.ttlMinMs": "1000", "platform.parts": "32", "limits.cpuShare": "0.4", "limits.cores": "1", "limits.memoryMb": "284",
		"limits.maxFds": "4100", "limits.linkMbps": "1000.0", "heartbeatMs": "1200", "bounds.graceS": "8", "bounds.drainMs": "2000",
		"bounds.configApplyMs": "2000", "bounds.leaseMs": "3000", "bounds.versionMs": "15000", "bounds.ttl_max_s": "5", "bounds.budgetRatio": "0.2",
		"bounds.budgetExtra": "52", "bounds.budgetWindowS": "10", "bounds.quotaOverage": "", "bounds.quotaSlack": "",
	}
}

// newFleet starts a store and prepares n routers in the zones.
func newFleet(n int, zones []string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: newStore(), values: defaultValues()}
	f.address, _ = serve(f.store)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		f.close()
		os.Exit(2)
	}()
	for i := range n {
		f.routers = append(f.routers, &router{
			name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)],
			front: freeAddress(), ready: freeAddress(), control: freeAddress(), directory: freeAddress(), metrics: freeAddress(),
		})
	}
	return f, nil
}

// render writes the settings file of a router from the template of the deploy file.
func (f *fleet) render(r *router) error {
	text, err := os.ReadFile("deploy/router.ini")
	if err != nil {
		return err
	}
	var seeds []string
	for _, s := range f.routers[:min(3, len(f.routers))] {
		seeds = append(seeds, s.control)
	}
	host, _, _ := net.SplitHostPort(r.front)
	pairs := []string{
		"{{ip}}:9464", r.metrics, "{{node}}", r.name, "{{zone}}", r.zone, "{{listen.front}}", r.front, "{{listen.ready}}", r.ready,
		"{{listen.control}}", r.control, "{{listen.directory}}", r.directory, "{{ip}}", host, "{{seeds}}", strings.Join(seeds, ","),
		"{{platform.addr}}", f.address,
	}
	for k, v := range f.values {
		pairs = append(pairs, "{{"+k+"}}", v)
	}
	r.settings = filepath.Join(f.dir, r.name+".ini")
	return os.WriteFile(r.settings, []byte(strings.NewReplacer(pairs...).Replace(string(text))), 0o600)
}

// start starts a router with the command of the deploy file.
func (f *fleet) start(r *router) error {
	if err := f.render(r); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The platform limits the descriptors of a process.
	cmd := exec.Command("sh", "-c", "ulimit -n "+f.values["limits.maxFds"]+" && exec target/quetzalmount platform")
	cmd.Env = append(os.Environ(), "QUETZALMOUNT_NODE_FILE="+r.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.cmd, r.exited = cmd, exited
	r.killed.Store(false)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// startAll starts all routers and waits until they are ready.
func (f *fleet) startAll() error {
	for _, r := range f.routers {
		if err := f.start(r); err != nil {
			return err
		}
	}
	return f.awaitReady(f.routers)
}

// awaitReady waits until routers are ready.
func (f *fleet) awaitReady(routers []*router) error {
	deadline := time.Now().Add(15 * time.Second)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, r := range routers {
		for {
			resp, err := client.Get("http://" + r.ready + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("router %s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// kill ends a router at once.
func (r *router) kill() {
	if r.cmd != nil {
		r.killed.Store(true)
		_ = r.cmd.Process.Kill()
		<-r.exited
		r.cmd = nil
	}
}

// close ends all processes and removes the folder, unless KEEP is set.
func (f *fleet) close() {
	for _, r := range f.routers {
		r.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}
