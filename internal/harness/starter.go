package harness

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// startRequest asks the starter thread to start a command.
type startRequest struct {
	cmd  *exec.Cmd
	done chan<- error
}

// starter returns the request channel of the thread that requests all processes.
//
// A test that is killed or panics can't stop its child processes, so the
// kernel kills them through PDEATHSIG. That signal is sent when the thread that
// started the child exits, not when its process does. The Go runtime may end
// threads at any time, so the starter goroutine stays locked to one thread.
var starter = sync.OnceValue(func() chan<- startRequest {
	requests := make(chan startRequest)
	go func() {
		runtime.LockOSThread()
		for s := range requests {
			s.done <- s.cmd.Start()
		}
	}()
	return requests
})

// startWithDeathSignal starts a command that is killed when this process dies.
func startWithDeathSignal(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error, 1)
	starter() <- startRequest{cmd, done}
	return <-done
}
