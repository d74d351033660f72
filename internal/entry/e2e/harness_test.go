// Package e2e_test runs routers and stand-ins as processes on loopback and breaks them.
package e2e_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/standin/loadgn"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
	"quetzalmount.dev/quetzalmount/internal/standin/lstsrv"
	"quetzalmount.dev/quetzalmount/internal/standin/ports"
)

// bin is the folder with the built programs.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "quetzalmount-e2e")
	if err != nil {
		panic(err)
	}
	bin = dir
	build := exec.Command("go", "build", "-o", dir, "quetzalmount.dev/quetzalmount/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build programs:", err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const (
	sheet       = "../../../examples/ledgerwell.csv"
	operatorKey = "demo-operator-key"
	// patience bounds every wait for a condition. It is far above what any of them takes, so that it only ends a test that
	// would wait for ever.
	patience = 30 * time.Second
)

// teams are those of the sheet with their demo keys, without the one with low limits.
var teams = []loadgn.Team{
	{Name: "harbour-rowing", Key: "ledgerwell-harbour-rowing-demo"}, {Name: "quay-theatre", Key: "ledgerwell-quay-theatre-demo"},
	{Name: "chess-club", Key: "ledgerwell-chess-club-demo"}, {Name: "gardeners", Key: "ledgerwell-gardeners-demo"},
}

// process is one started program.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	code int
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// wait returns the exit code of a process that was told to end.
func (p *process) wait(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
		return p.code
	case <-time.After(patience):
		t.Fatalf("%s did not end", p.name)
		return -1
	}
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// router is one router with its addresses.
type router struct {
	*process
	name                  string
	callers, admin, peers string
	centre, settings      string
	cut                   bool // it cannot reach the log
}

// deployment is a set of routers and stand-ins.
type deployment struct {
	t        *testing.T
	dir      string
	log      string
	list     string
	engines  []string
	services []string
	routers  []*router
	procs    []*process
}

func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// start runs a program and ends it with the test.
func (d *deployment) start(name, program string, args ...string) *process {
	d.t.Helper()
	file, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		d.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(bin, program), args...)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = cmd.Wait()
		_ = file.Close()
		p.code = cmd.ProcessState.ExitCode()
	}()
	d.procs = append(d.procs, p)
	return p
}

// options describe a deployment.
type options struct {
	routers, engines, services int
	engineArgs, logArgs        []string
	// cut is the number of routers, the last ones, that cannot reach the log.
	cut int
	// settings are added to the settings of every router: section, key, value.
	settings [][3]string
}

// deploy starts a deployment with the table in force on all routers.
func deploy(t *testing.T, o options) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), log: freeAddress(t), list: freeAddress(t)}
	t.Cleanup(d.stop)
	var list []lstsrv.Instance
	centres := []string{"dub-a", "dub-b", "dub-c", "dub-d"}
	weights := freeAddress(t)
	d.start("weights", "standin", "weights", "--addr", weights, "--load", "500ms")
	for i := range o.engines {
		a := freeAddress(t)
		d.engines = append(d.engines, a)
		args := append([]string{"engine", "--addr", a, "--model", "scribe", "--version", "scribe-1", "--fence",
			"--adapter", "lodgements", "--weights", weights}, o.engineArgs...)
		d.start(fmt.Sprintf("engine-%d", i), "standin", args...)
		list = append(list, lstsrv.Instance{ID: fmt.Sprintf("scribe-%d", i), Kind: "Engine", Group: "scribe", Address: a,
			DataCentre: centres[i%4], Region: "eu-dub", State: "Live"})
	}
	for i := range o.services {
		a := freeAddress(t)
		d.services = append(d.services, a)
		d.start(fmt.Sprintf("service-%d", i), "standin", "service", "--addr", a)
		list = append(list, lstsrv.Instance{ID: fmt.Sprintf("tally-%d", i), Kind: "Service", Group: "tally", Address: a,
			DataCentre: centres[i%4], Region: "eu-dub", State: "Live"})
	}
	for i := range o.routers {
		r := &router{name: fmt.Sprintf("entry-%d", i), callers: freeAddress(t), admin: freeAddress(t), peers: freeAddress(t),
			centre: centres[i%4], cut: i >= o.routers-o.cut}
		r.settings = d.writeSettings(r, o.settings)
		d.routers = append(d.routers, r)
		list = append(list, lstsrv.Instance{ID: r.name, Kind: "Router", Address: r.callers, PeerAddress: r.peers,
			AdminAddress: r.admin, DataCentre: r.centre, Region: "eu-dub", State: "Live"})
	}
	file := filepath.Join(d.dir, "list.json")
	data, err := json.Marshal(struct{ Instances []lstsrv.Instance }{list})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		t.Fatal(err)
	}
	d.start("log", "standin", append([]string{"log", "--addr", d.log, "--rate", "300"}, o.logArgs...)...)
	d.start("list", "standin", "list", "--addr", d.list, "--file", file, "--lag", "1s")
	d.waitHTTP(d.log+"/v1/streams/config/records", d.list+"/v1/instances")
	for _, r := range d.routers {
		d.startRouter(r)
	}
	if out, code := d.command("table", "apply", "--log", d.log, sheet); code != 0 {
		t.Fatalf("table apply: exit %d: %s", code, out)
	}
	for _, r := range d.routers {
		d.waitReady(r)
	}
	return d
}

// writeSettings writes the settings file of a router.
func (d *deployment) writeSettings(r *router, extra [][3]string) string {
	d.t.Helper()
	log := d.log
	if r.cut {
		log = "127.0.0.1:9" // nothing listens on the discard port
	}
	values := [][3]string{
		{"Instance", "Name", r.name}, {"Instance", "DataCentre", r.centre}, {"Instance", "Region", "eu-dub"},
		{"Listen", "Callers", r.callers}, {"Listen", "Operators", r.admin}, {"Listen", "Peers", r.peers},
		{"Operators", "KeyHash", operatorKeyHash()}, {"Peers", "Key", "0123456789abcdef"}, {"Log", "Address", log},
		{"List", "Address", d.list}, {"Advice", "Validity", "1s"},
	}
	var b bytes.Buffer
	for _, v := range append(values, extra...) {
		fmt.Fprintf(&b, "[%s]\n%s = %s\n", v[0], v[1], v[2])
	}
	file := filepath.Join(d.dir, r.name+".ini")
	if err := os.WriteFile(file, b.Bytes(), 0o644); err != nil {
		d.t.Fatal(err)
	}
	return file
}

func (d *deployment) startRouter(r *router) {
	r.process = d.start(r.name, "quetzalmount", "serve", "--settings", r.settings)
}

// stop ends all processes and shows the end of the routers' logs if the test failed.
func (d *deployment) stop() {
	if d.t.Failed() {
		// The runtime writes the stacks of all goroutines to the log of each router and ends it.
		for _, r := range d.routers {
			_ = r.cmd.Process.Signal(syscall.SIGQUIT)
			<-r.done
		}
	}
	for _, p := range d.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if !d.t.Failed() {
		return
	}
	kept, err := os.MkdirTemp("", "quetzalmount-logs")
	if err != nil {
		d.t.Log(err)
		return
	}
	d.t.Logf("the logs of all processes are in %s", kept)
	if err := os.CopyFS(kept, os.DirFS(d.dir)); err != nil {
		d.t.Log(err)
	}
}

// command runs the operators' command line and returns its output and exit code.
func (d *deployment) command(args ...string) (string, int) {
	d.t.Helper()
	cmd := exec.Command(filepath.Join(bin, "quetzalmount"), args...)
	cmd.Env = append(os.Environ(), "QUETZALMOUNT_OPERATOR_KEY="+operatorKey)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		d.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// instances returns the flags that name the operators' addresses of routers.
func (d *deployment) instances() []string {
	var addresses []string
	for _, r := range d.routers {
		addresses = append(addresses, r.admin)
	}
	return []string{"--instances", strings.Join(addresses, ",")}
}

// eventually waits until cond holds. It fails at once if a router ended by itself.
func (d *deployment) eventually(what string, cond func() bool) {
	d.t.Helper()
	for _, r := range d.routers {
		if r.process != nil && r.ended() && r.code > 0 {
			d.t.Fatalf("%s ended with %d while waiting for: %s", r.name, r.code, what)
		}
	}
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return
		}
	}
	d.t.Fatalf("%s: not after %v", what, patience)
}

var probe = &http.Client{Timeout: 2 * time.Second}

func (d *deployment) waitHTTP(urls ...string) {
	d.t.Helper()
	for _, u := range urls {
		d.eventually(u, func() bool { return status(u) == http.StatusOK })
	}
}

func status(url string) int {
	res, err := probe.Get("http://" + url)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func (d *deployment) waitReady(r *router) { d.waitHTTP(r.callers + "/readyz") }

// fault puts faults to a stand-in.
func (d *deployment) fault(address string, faults any) {
	d.t.Helper()
	data, err := json.Marshal(faults)
	if err != nil {
		d.t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+address+"/admin/faults", bytes.NewReader(data))
	if err != nil {
		d.t.Fatal(err)
	}
	res, err := probe.Do(req)
	if err != nil {
		d.t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode >= 300 {
		d.t.Fatalf("faults of %s: %s", address, res.Status)
	}
}

func (d *deployment) logFaults(f logsrv.Faults) { d.fault(d.log, f) }

// load returns traffic of several teams.
func (d *deployment) load(seed uint64, length time.Duration, completions, calls float64) *loadgn.Run {
	o := loadgn.Options{
		Teams: teams, Models: []string{"scribe"}, Service: "tally", Calls: []string{"post-lodgement"}, Services: d.services,
		Duration: length, CompletionsPerSecond: completions, CallsPerSecond: calls, PromptTokens: [3]int{4000, 4000, 2000},
		MaxTokens: 20, Seed: seed,
	}
	for _, r := range d.routers {
		o.Entries = append(o.Entries, r.callers)
	}
	return loadgn.New(o)
}

// during runs traffic while f breaks things, and checks that nothing was lost, doubled, short or wrong.
func (d *deployment) during(run *loadgn.Run, f func()) *loadgn.Summary {
	d.t.Helper()
	type result struct {
		sum *loadgn.Summary
		err error
	}
	done := make(chan result, 1)
	go func() {
		sum, err := run.Do(context.Background())
		done <- result{sum, err}
	}()
	f()
	r := <-done
	if r.err != nil {
		d.t.Fatal(r.err)
	}
	out, err := json.Marshal(r.sum)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Logf("summary: %s", out)
	if r.sum.Failed() {
		d.t.Errorf("answers were lost, doubled, short or wrong")
	}
	if r.sum.Served == 0 {
		d.t.Errorf("nothing was served")
	}
	return r.sum
}

// lines returns the lines of a router's log that contain text.
func (r *router) lines(t *testing.T, d *deployment, text string) []string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(d.dir, r.name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// writeCert writes a certificate for 127.0.0.1 that signs itself, and its key.
func writeCert(t *testing.T) (certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for file, block := range map[string]*pem.Block{
		certFile: {Type: "CERTIFICATE", Bytes: der}, keyFile: {Type: "PRIVATE KEY", Bytes: raw},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return certFile, keyFile
}
