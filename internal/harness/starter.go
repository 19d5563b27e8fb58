package harness

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// start asks the starter to start a command.
type start struct {
	cmd  *exec.Cmd
	done chan<- error
}

// starter returns the channel to the one thread that starts processes.
//
// A test that is killed, or panics, can't stop its processes, and they would
// go on for ever. The system kills them instead (PDEATHSIG), but at the end
// of the thread that started them, not of its process. The Go runtime ends
// threads as it likes, so the starter keeps one for itself for good.
var starter = sync.OnceValue(func() chan<- start {
	starts := make(chan start)
	go func() {
		runtime.LockOSThread()
		for s := range starts {
			s.done <- s.cmd.Start()
		}
	}()
	return starts
})

func startBound(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error, 1)
	starter() <- start{cmd, done}
	return <-done
}
