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
	// freezeTimeout bounds the wait until a process stands still.
	freezeTimeout = 5 * time.Second
	freezePoll    = time.Millisecond
)

// Spec says what to start.
type Spec struct {
	// Path of the program, for instance from Program.
	Path string
	Args []string
	// Env is added to the environment of this process.
	Env []string
}

// Process is a program that was started.
type Process struct {
	cmd       *exec.Cmd
	name      string
	addresses *addresses
	log       *log
	exited    chan struct{}
}

// Start starts a program. It must be ended by Stop or Kill.
func Start(s Spec) (*Process, error) {
	p := &Process{
		cmd:       exec.Command(s.Path, s.Args...),
		name:      strings.Join(append([]string{s.Path}, s.Args...), " "),
		addresses: newAddresses(),
		log:       &log{},
		exited:    make(chan struct{}),
	}
	p.cmd.Env = append(os.Environ(), s.Env...)
	p.cmd.Stderr = p.log
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, p.name)
	}
	if err := startBound(p.cmd); err != nil {
		return nil, errors.Wrap(err, p.name)
	}
	go func() {
		defer close(p.exited)
		p.addresses.read(stdout)
		_ = p.cmd.Wait()
	}()
	return p, nil
}

// Address waits until the process prints that it listens for what, and
// returns "ip:port". It fails if the process ends or the context does.
func (p *Process) Address(ctx context.Context, what string) (string, error) {
	for {
		address, changed := p.addresses.get(what)
		if address != "" {
			return address, nil
		}
		select {
		case <-changed:
		case <-p.exited:
			return "", errors.Newf("%s: ended without listening for %s: %s", p.name, what, p.log)
		case <-ctx.Done():
			return "", errors.Wrapf(ctx.Err(), "%s: not listening for %s: %s", p.name, what, p.log)
		}
	}
}

// PID is the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Log returns the latest of what the process has written to its standard
// error.
func (p *Process) Log() string { return p.log.String() }

// Exited is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode is the process's exit code after its end; -1 if a signal ended it.
func (p *Process) ExitCode() int {
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}

// Stop asks the process to end (SIGTERM) and kills it if it hasn't within
// the timeout. It returns the exit code.
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

// Kill ends the process at once (SIGKILL) and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Suspend stops the process where it is (SIGSTOP) and returns once it stands
// still.
func (p *Process) Suspend() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrapf(err, "freeze %s", p.name)
	}
	deadline := time.Now().Add(freezeTimeout)
	for time.Now().Before(deadline) {
		if state, err := processState(p.PID()); err != nil || state == "T" {
			return errors.Wrapf(err, "freeze %s", p.name)
		}
		time.Sleep(freezePoll)
	}
	return errors.Newf("freeze %s: it goes on", p.name)
}

// Resume lets a frozen process go on (SIGCONT).
func (p *Process) Resume() error {
	return errors.Wrapf(p.cmd.Process.Signal(syscall.SIGCONT), "thaw %s", p.name)
}

// processState returns the letter of a process's state, as proc(5) has it.
func processState(pid int) (string, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return "", err
	}
	_, after, ok := strings.Cut(string(stat), ") ")
	if !ok || after == "" {
		return "", errors.Newf("state of process %d: %q", pid, stat)
	}
	return after[:1], nil
}
