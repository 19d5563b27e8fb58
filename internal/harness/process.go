package harness

import (
	"context"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// suspendTimeout limits the wait until a process is in the stopped state.
	suspendTimeout      = 5 * time.Second
	suspendPollInterval = time.Millisecond
)

// Spec describes a process to start.
type Spec struct {
	// Path is the path of the executable, such as one returned by Program.
	Path string
	Args []string
	// Env is appended to the environment of the calling process.
	Env []string
}

// Process is a child process.
type Process struct {
	cmd       *exec.Cmd
	name      string
	addresses *addresses
	log       *logBuffer
	exited    chan struct{}
}

// Start starts a process. The caller must end it with Stop or Kill.
func Start(s Spec) (*Process, error) {
	p := &Process{
		cmd:       exec.Command(s.Path, s.Args...),
		name:      strings.Join(append([]string{s.Path}, s.Args...), " "),
		addresses: newAddresses(),
		log:       &logBuffer{},
		exited:    make(chan struct{}),
	}
	p.cmd.Env = append(os.Environ(), s.Env...)
	p.cmd.Stderr = p.log
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, p.name)
	}
	if err := startWithDeathSignal(p.cmd); err != nil {
		return nil, errors.Wrap(err, p.name)
	}
	go func() {
		defer close(p.exited)
		p.addresses.consume(stdout)
		_ = p.cmd.Wait()
	}()
	return p, nil
}

// Address waits until the process prints its listen address for what and
// returns it as "ip:port". It returns an error if the process exits or ctx is
// done first.
func (p *Process) Address(ctx context.Context, what string) (string, error) {
	for {
		address, changed := p.addresses.get(what)
		if address != "" {
			return address, nil
		}
		select {
		case <-changed:
		case <-p.exited:
			return "", errors.Newf("%s: exited without listening for %s: %s", p.name, what, p.log)
		case <-ctx.Done():
			return "", errors.Wrapf(ctx.Err(), "%s: not listening for %s: %s", p.name, what, p.log)
		}
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Log returns the end of the process's standard error, up to maxLogBytes.
func (p *Process) Log() string { return p.log.String() }

// Exited returns a channel that is closed once the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode waits for the process to exit and returns its exit code, or -1 if
// it was terminated by a signal.
func (p *Process) ExitCode() int {
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}

// Stop sends SIGTERM, and SIGKILL if the process has not exited within the
// timeout. It resumes a suspended process first and returns the exit code.
func (p *Process) Stop(timeout time.Duration) int {
	_ = p.Resume()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-timer.C:
		p.Kill()
	}
	return p.ExitCode()
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Suspend sends SIGSTOP and waits until the process is in the stopped state.
func (p *Process) Suspend() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrapf(err, "suspend %s", p.name)
	}
	deadline := time.Now().Add(suspendTimeout)
	for time.Now().Before(deadline) {
		if state, err := processState(p.PID()); err != nil || state == "T" {
			return errors.Wrapf(err, "suspend %s", p.name)
		}
		time.Sleep(suspendPollInterval)
	}
	return errors.Newf("suspend %s: process did not stop", p.name)
}

// Resume sends SIGCONT to a suspended process.
func (p *Process) Resume() error {
	return errors.Wrapf(p.cmd.Process.Signal(syscall.SIGCONT), "resume %s", p.name)
}

// processState returns the one-letter process state from /proc/PID/stat; see
// proc(5).
func processState(pid int) (string, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return "", err
	}
	_, after, ok := strings.Cut(string(stat), ") ")
	if !ok || after == "" {
		return "", errors.Newf("parse state of process %d: %q", pid, stat)
	}
	return after[:1], nil
}
