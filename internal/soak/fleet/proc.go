package fleet

import (
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// stopTimeout is the time after SIGTERM after which an engine that still runs is killed.
const stopTimeout = drainServeTime + 10*time.Second

// proc is a child process. The soak test signals no other processes.
type proc struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startProc starts a program and appends its output to the file log. If handleOutput is not nil, it reads the standard output as well.
func startProc(log, program string, args []string, handleOutput func(io.Reader)) (*proc, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = file, file
	outputDone := make(chan struct{})
	close(outputDone)
	if handleOutput != nil {
		cmd.Stdout = nil
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, errors.Wrap(err, "open output")
		}
		outputDone = make(chan struct{})
		go func() {
			defer close(outputDone)
			handleOutput(io.TeeReader(out, file))
		}()
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", program)
	}
	p := &proc{cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		<-outputDone
		_ = cmd.Wait() // the exit status does not matter
		_ = file.Close()
	}()
	return p, nil
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits until the process has ended.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop sends SIGTERM and reports whether the process ended within the timeout. If not, it kills the process.
func (p *proc) stop(timeout time.Duration) bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		p.kill()
		return false
	}
}

func (p *proc) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
