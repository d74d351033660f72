package fleet

import (
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// endTime is how long a process that was told to stop may take before it is killed.
const endTime = 12 * time.Second

// proc is a program that the soak has started, and the only kind of process that it signals.
type proc struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// start runs a program with its output appended to a file. lines takes the output as well if it is not nil.
func start(log, program string, args []string, lines func(io.Reader)) (*proc, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = file, file
	read := make(chan struct{})
	close(read)
	if lines != nil {
		cmd.Stdout = nil
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, errors.Wrap(err, "open output")
		}
		read = make(chan struct{})
		go func() {
			defer close(read)
			lines(io.TeeReader(out, file))
		}()
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", program)
	}
	p := &proc{cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		<-read
		_ = cmd.Wait() // how it ended does not matter, only that it has
		_ = file.Close()
	}()
	return p, nil
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks the process to end, and reports whether it did in time.
func (p *proc) stop(limit time.Duration) bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		p.kill()
		return false
	}
}

func (p *proc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
