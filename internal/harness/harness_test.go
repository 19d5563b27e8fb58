package harness_test

import (
	"context"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"foxtailspoke/internal/harness"
	"foxtailspoke/storage"
	"foxtailspoke/storage/client"
)

const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	code := m.Run()
	harness.Cleanup()
	os.Exit(code)
}

func start(t *testing.T, args ...string) *harness.Process {
	t.Helper()
	path, err := harness.Program("foxtailspoke-standin")
	must.NoError(t, err)
	p, err := harness.Start(harness.Spec{Path: path, Args: args})
	must.NoError(t, err)
	t.Cleanup(p.Kill)
	return p
}

func address(t *testing.T, p *harness.Process, what string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	a, err := p.Address(ctx, what)
	must.NoError(t, err)
	return a
}

// The platform is unavailable while its process is suspended, keeps its data
// after it is resumed, and is unavailable again once stopped.
func TestProcessSuspendResumeStop(t *testing.T) {
	p := start(t, "platform")
	c, err := client.New("http://"+address(t, p, "platform"), client.Settings{Timeout: 200 * time.Millisecond})
	must.NoError(t, err)
	defer c.Close()
	read := func() (storage.Changes, error) {
		return c.Read(t.Context(), storage.ReadRequest{Table: storage.Control})
	}
	put := []storage.Put{{Table: storage.Control, Key: "k"}}
	w, err := c.Write(t.Context(), storage.Txn{Attempt: "a", Puts: put})
	must.NoError(t, err)
	must.Eq(t, storage.Committed, w.Outcome)

	must.NoError(t, p.Suspend())
	_, err = read()
	must.ErrorIs(t, err, storage.ErrUnavailable)
	must.NoError(t, p.Resume())
	within(t, "platform answers after resume", func() bool { _, err := read(); return err == nil })
	changes, err := read()
	must.NoError(t, err)
	must.Eq(t, 1, changes.Revision)

	must.NoError(t, p.Suspend())
	must.Zero(t, p.Stop(waitTimeout), must.Sprint("a suspended process is resumed before SIGTERM"))
	must.Error(t, p.Resume(), must.Sprint("no signal is sent to an exited process"))
	_, err = read()
	must.ErrorIs(t, err, storage.ErrUnavailable)
}

// Guards against child processes killed by PDEATHSIG when a thread of this
// process exits: the kernel ties the signal to the thread that started them.
func TestProcessOutlivesThreads(t *testing.T) {
	p := start(t, "platform")
	url := "http://" + address(t, p, "control") + "/control/faults"
	for range 50 {
		var threads sync.WaitGroup
		for range 16 {
			threads.Go(func() { runtime.LockOSThread() }) // The thread exits with its goroutine.
		}
		threads.Wait()
		r, err := http.Get(url)
		must.NoError(t, err, must.Sprint("the process was killed"))
		must.NoError(t, r.Body.Close())
	}
}

// A process that does not exit on SIGTERM is killed and reaped.
func TestStopKillsAfterTimeout(t *testing.T) {
	p := start(t, "backend", "--service", "s", "--linger", "1h")
	url := "http://" + address(t, p, "backend")
	must.Eq(t, -1, p.Stop(50*time.Millisecond))
	_, err := http.Get(url)
	must.Error(t, err)
	_, err = os.Stat("/proc/" + strconv.Itoa(p.PID()))
	must.ErrorIs(t, err, os.ErrNotExist)
}

func TestStartAndAddressErrors(t *testing.T) {
	p := start(t, "platform", "--listen", "nowhere")
	_, err := p.Address(t.Context(), "platform")
	must.ErrorContains(t, err, "listen on nowhere")
	must.Eq(t, 1, p.ExitCode())
	must.StrContains(t, p.Log(), "nowhere")

	running := start(t, "platform")
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = running.Address(ended, "nosuch")
	must.ErrorIs(t, err, context.Canceled)

	_, err = harness.Program("nosuch")
	must.ErrorIs(t, err, os.ErrNotExist)
	_, err = harness.Start(harness.Spec{Path: "/nosuch"})
	must.Error(t, err)
}

// Guards against child processes that outlive a killed starter: a failed test
// would leave them running and loading the machine.
func TestChildrenDieWithParent(t *testing.T) {
	if path := os.Getenv("HARNESS_TEST_STARTER"); path != "" {
		p, err := harness.Start(harness.Spec{Path: path, Args: []string{"platform"}})
		must.NoError(t, err)
		address(t, p, "platform")
		must.NoError(t, os.WriteFile(os.Getenv("HARNESS_TEST_FILE"), []byte(strconv.Itoa(p.PID())), 0o600))
		select {}
	}
	program, err := harness.Program("foxtailspoke-standin")
	must.NoError(t, err)
	file := t.TempDir() + "/pid"
	self, err := os.Executable()
	must.NoError(t, err)
	starter, err := harness.Start(harness.Spec{
		Path: self,
		Args: []string{"-test.run", "^TestChildrenDieWithParent$", "-test.timeout", "60s"},
		Env:  []string{"HARNESS_TEST_STARTER=" + program, "HARNESS_TEST_FILE=" + file},
	})
	must.NoError(t, err)
	t.Cleanup(starter.Kill)
	var pid string
	within(t, "child process starts", func() bool {
		text, err := os.ReadFile(file)
		pid = string(text)
		return err == nil && pid != ""
	})
	must.True(t, alive(pid))
	starter.Kill()
	within(t, "child process exits", func() bool { return !alive(pid) })
}

// alive reports whether a process exists and is not a zombie.
func alive(pid string) bool {
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	return err == nil && !strings.Contains(string(stat), ") Z ")
}

func within(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(waitTimeout), wait.Gap(time.Millisecond)), must.Sprint(what))
}
