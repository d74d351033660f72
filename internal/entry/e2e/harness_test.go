// Package e2e_test runs routers and stand-ins as processes on the loopback interface, and injects faults.
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

// binDir is the directory of the built programs.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "quetzalmount-e2e")
	if err != nil {
		panic(err)
	}
	binDir = dir
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
	tableFile   = "../../../examples/ledgerwell.csv"
	operatorKey = "demo-operator-key"
	// waitTimeout bounds each wait for a condition. It is much longer than any of them takes, so that only a test that would hang
	// reaches it.
	waitTimeout = 30 * time.Second
)

// teams are teams of the example table, with their demo keys. The one with low limits is not among them.
var teams = []loadgn.Team{
	{Name: "harbour-rowing", Key: "ledgerwell-harbour-rowing-demo"}, {Name: "quay-theatre", Key: "ledgerwell-quay-theatre-demo"},
	{Name: "chess-club", Key: "ledgerwell-chess-club-demo"}, {Name: "gardeners", Key: "ledgerwell-gardeners-demo"},
}

// process is a started program. exitCode is valid once done is closed.
type process struct {
	name     string
	cmd      *exec.Cmd
	done     chan struct{}
	exitCode int
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// waitExit waits until the process has exited and returns its exit code.
func (p *process) waitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
		return p.exitCode
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not end", p.name)
		return -1
	}
}

// exited reports whether the process has exited.
func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// router is a router with its addresses and settings.
type router struct {
	*process
	name                                           string
	callersAddress, operatorsAddress, peersAddress string
	dataCentre, settingsFile                       string
	logUnreachable                                 bool
	// openFiles is the number of descriptors of the process, 0 for those of the test.
	openFiles int
}

// deployment is a set of routers and stand-ins.
type deployment struct {
	t                *testing.T
	dir              string
	logAddress       string
	listAddress      string
	engineAddresses  []string
	serviceAddresses []string
	routers          []*router
	processes        []*process
}

func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// start starts a program, which stopAll ends. Its output goes to a log file in d.dir.
func (d *deployment) start(name, program string, args ...string) *process {
	d.t.Helper()
	return d.startCommand(name, exec.Command(filepath.Join(binDir, program), args...))
}

// startCommand is start with a command.
func (d *deployment) startCommand(name string, cmd *exec.Cmd) *process {
	d.t.Helper()
	file, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		d.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = cmd.Wait()
		_ = file.Close()
		p.exitCode = cmd.ProcessState.ExitCode()
	}()
	d.processes = append(d.processes, p)
	return p
}

// options describe a deployment.
type options struct {
	routers, engines, services int
	engineArgs, logArgs        []string
	// logUnreachable is the number of routers that can't reach the log. These are the last ones.
	logUnreachable int
	// settings are additional settings of every router: section, key and value.
	settings [][3]string
	// openFiles is the number of descriptors of each router, 0 for those of the test.
	openFiles int
}

// deploy starts a deployment and waits until the table is in force on all routers.
func deploy(t *testing.T, o options) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), logAddress: freeAddress(t), listAddress: freeAddress(t)}
	t.Cleanup(d.stopAll)
	var instances []lstsrv.Instance
	dataCentres := []string{"dub-a", "dub-b", "dub-c", "dub-d"}
	weights := freeAddress(t)
	d.start("weights", "standin", "weights", "--addr", weights, "--load", "500ms")
	for i := range o.engines {
		a := freeAddress(t)
		d.engineAddresses = append(d.engineAddresses, a)
		args := append([]string{"engine", "--addr", a, "--model", "scribe", "--version", "scribe-1", "--fence",
			"--adapter", "lodgements", "--weights", weights}, o.engineArgs...)
		d.start(fmt.Sprintf("engine-%d", i), "standin", args...)
		instances = append(instances, lstsrv.Instance{ID: fmt.Sprintf("scribe-%d", i), Kind: "Engine", Group: "scribe", Address: a,
			DataCentre: dataCentres[i%4], Region: "eu-dub", State: "Live"})
	}
	for i := range o.services {
		a := freeAddress(t)
		d.serviceAddresses = append(d.serviceAddresses, a)
		d.start(fmt.Sprintf("service-%d", i), "standin", "service", "--addr", a)
		instances = append(instances, lstsrv.Instance{ID: fmt.Sprintf("tally-%d", i), Kind: "Service", Group: "tally", Address: a,
			DataCentre: dataCentres[i%4], Region: "eu-dub", State: "Live"})
	}
	for i := range o.routers {
		r := &router{name: fmt.Sprintf("entry-%d", i), callersAddress: freeAddress(t), operatorsAddress: freeAddress(t), peersAddress: freeAddress(t),
			dataCentre: dataCentres[i%4], logUnreachable: i >= o.routers-o.logUnreachable, openFiles: o.openFiles}
		r.settingsFile = d.writeSettings(r, o.settings)
		d.routers = append(d.routers, r)
		instances = append(instances, lstsrv.Instance{ID: r.name, Kind: "Router", Address: r.callersAddress, PeerAddress: r.peersAddress,
			AdminAddress: r.operatorsAddress, DataCentre: r.dataCentre, Region: "eu-dub", State: "Live"})
	}
	file := filepath.Join(d.dir, "list.json")
	data, err := json.Marshal(struct{ Instances []lstsrv.Instance }{instances})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		t.Fatal(err)
	}
	d.start("log", "standin", append([]string{"log", "--addr", d.logAddress, "--rate", "300"}, o.logArgs...)...)
	d.start("list", "standin", "list", "--addr", d.listAddress, "--file", file, "--lag", "1s")
	d.waitHTTP(d.logAddress+"/v1/streams/config/records", d.listAddress+"/v1/instances")
	for _, r := range d.routers {
		d.startRouter(r)
	}
	if out, code := d.command("table", "apply", "--log", d.logAddress, tableFile); code != 0 {
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
	log := d.logAddress
	if r.logUnreachable {
		log = "127.0.0.1:9" // nothing listens on the discard port
	}
	values := [][3]string{
		{"Instance", "Name", r.name}, {"Instance", "DataCentre", r.dataCentre}, {"Instance", "Region", "eu-dub"},
		{"Listen", "Callers", r.callersAddress}, {"Listen", "Operators", r.operatorsAddress}, {"Listen", "Peers", r.peersAddress},
		{"Operators", "KeyHash", operatorKeyHash()}, {"Peers", "Key", "0123456789abcdef"}, {"Log", "Address", log},
		{"List", "Address", d.listAddress}, {"Advice", "Validity", "1s"},
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
	if r.openFiles == 0 {
		r.process = d.start(r.name, "quetzalmount", "serve", "--settings", r.settingsFile)
		return
	}
	r.process = d.startCommand(r.name, exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" serve --settings "$1"`, r.openFiles),
		filepath.Join(binDir, "quetzalmount"), r.settingsFile))
}

// stopAll ends all processes. If the test failed, it copies their logs to a directory that outlives the test.
func (d *deployment) stopAll() {
	if d.t.Failed() {
		// On SIGQUIT the Go runtime writes the stacks of all goroutines to the router's log and exits.
		for _, r := range d.routers {
			_ = r.cmd.Process.Signal(syscall.SIGQUIT)
			<-r.done
		}
	}
	for _, p := range d.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if !d.t.Failed() {
		return
	}
	copyDir, err := os.MkdirTemp("", "quetzalmount-logs")
	if err != nil {
		d.t.Log(err)
		return
	}
	d.t.Logf("the logs of all processes are in %s", copyDir)
	if err := os.CopyFS(copyDir, os.DirFS(d.dir)); err != nil {
		d.t.Log(err)
	}
}

// command runs the quetzalmount command and returns its output and exit code.
func (d *deployment) command(args ...string) (string, int) {
	d.t.Helper()
	cmd := exec.Command(filepath.Join(binDir, "quetzalmount"), args...)
	cmd.Env = append(os.Environ(), "QUETZALMOUNT_OPERATOR_KEY="+operatorKey)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		d.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// instancesFlag returns the flag --instances with the operators' addresses of all routers.
func (d *deployment) instancesFlag() []string {
	var addresses []string
	for _, r := range d.routers {
		addresses = append(addresses, r.operatorsAddress)
	}
	return []string{"--instances", strings.Join(addresses, ",")}
}

// eventually waits until holds returns true, for at most waitTimeout. It fails at once if a router has already exited with an error.
func (d *deployment) eventually(condition string, holds func() bool) {
	d.t.Helper()
	for _, r := range d.routers {
		if r.process != nil && r.exited() && r.exitCode > 0 {
			d.t.Fatalf("%s ended with %d while waiting for: %s", r.name, r.exitCode, condition)
		}
	}
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	d.t.Fatalf("%s: not after %v", condition, waitTimeout)
}

var probeClient = &http.Client{Timeout: 2 * time.Second}

func (d *deployment) waitHTTP(urls ...string) {
	d.t.Helper()
	for _, u := range urls {
		d.eventually(u, func() bool { return getStatus(u) == http.StatusOK })
	}
}

func getStatus(url string) int {
	res, err := probeClient.Get("http://" + url)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func (d *deployment) waitReady(r *router) { d.waitHTTP(r.callersAddress + "/readyz") }

// setFaults sets the faults of the stand-in at an address.
func (d *deployment) setFaults(address string, faults any) {
	d.t.Helper()
	data, err := json.Marshal(faults)
	if err != nil {
		d.t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+address+"/admin/faults", bytes.NewReader(data))
	if err != nil {
		d.t.Fatal(err)
	}
	res, err := probeClient.Do(req)
	if err != nil {
		d.t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode >= 300 {
		d.t.Fatalf("faults of %s: %s", address, res.Status)
	}
}

func (d *deployment) setLogFaults(f logsrv.Faults) { d.setFaults(d.logAddress, f) }

// newLoad returns a load of all teams, with completions and calls per second.
func (d *deployment) newLoad(seed uint64, duration time.Duration, completions, calls float64) *loadgn.Run {
	o := loadgn.Options{
		Teams: teams, Models: []string{"scribe"}, Service: "tally", Calls: []string{"post-lodgement"}, Services: d.serviceAddresses,
		Duration: duration, CompletionsPerSecond: completions, CallsPerSecond: calls, PromptTokens: [3]int{4000, 4000, 2000},
		MaxTokens: 20, Seed: seed,
	}
	for _, r := range d.routers {
		o.Entries = append(o.Entries, r.callersAddress)
	}
	return loadgn.New(o)
}

// runLoad runs a load while f injects faults. It fails the test if nothing was served, or if an answer was lost, duplicated,
// truncated or wrong.
func (d *deployment) runLoad(run *loadgn.Run, f func()) *loadgn.Summary {
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
		d.t.Errorf("answers were lost, duplicated, truncated or wrong")
	}
	if r.sum.Served == 0 {
		d.t.Errorf("nothing was served")
	}
	return r.sum
}

// logLines returns the lines of a router's log that contain substr.
func (r *router) logLines(t *testing.T, d *deployment, substr string) []string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(d.dir, r.name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, substr) {
			out = append(out, line)
		}
	}
	return out
}

// writeCert writes a self-signed certificate for 127.0.0.1 and its key.
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
