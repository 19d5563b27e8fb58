package clientlimits_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/harness"
)

const (
	// descriptorLimit is the limit of the processes, and silentConns the number of connections that
	// send nothing.
	descriptorLimit = 600
	silentConns     = 1500
)

// Guards against connections that send nothing and take the descriptors that an instance needs for
// its store, its servers, the platform and other callers.
func TestSilentConnectionsLeaveDescriptors(t *testing.T) {
	for _, port := range []int{portCallers, portDirectory, portReadiness, portForwarding, portMetrics, portPeers} {
		t.Run(portNames[port], func(t *testing.T) {
			f := startFleet(t, 1, descriptorLimit, startServer(t))
			peak := serveBesideCrowd(f, port, silentConns, sendAndHold(""))
			t.Logf("peak of %d descriptors", peak)
			must.Less(t, descriptorLimit, peak)
			f.verify()
		})
	}
}

// Guards against requests in progress that take the descriptors of others with their connections to
// servers.
func TestRequestsInProgressLeaveDescriptors(t *testing.T) {
	f := startFleet(t, 1, descriptorLimit, startServer(t))
	pipelined := strings.Repeat(begin("/lookup/slow")+"\r\n", 6)
	peak := serveBesideCrowd(f, portCallers, silentConns, sendAndHold(pipelined))
	t.Logf("peak of %d descriptors", peak)
	must.Less(t, descriptorLimit, peak)
	f.verify()
}

// serveBesideCrowd checks that ordinary requests are answered beside a crowd on a port, and returns the
// largest number of descriptors.
func serveBesideCrowd(f *fleet, port, size int, play func(net.Conn)) int {
	f.t.Helper()
	peak := watchDescriptors(f.t, f.processes[0])
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		crowd(f.address(0, port), size, play)
	}()
	for range 3 {
		time.Sleep(crowdTime / 4)
		f.awaitStatus(0, portReadiness, "/api/readyz")
		f.awaitStatus(0, portCallers, "/lookup/1")
	}
	<-ended
	return peak()
}

// watchDescriptors returns a function that returns the largest number of descriptors that the process has
// had until then.
func watchDescriptors(t *testing.T, p *harness.Process) func() int {
	t.Helper()
	peak := 0
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				peak = max(peak, openDescriptors(t, p))
			}
		}
	}()
	return func() int {
		close(stop)
		<-done
		return peak
	}
}

// Guards against keeping so many connections that a process runs out of memory.
func TestSilentConnectionsStayWithinMemory(t *testing.T) {
	f := startFleet(t, 1, 0, startServer(t))
	crowd(f.address(0, portCallers), 4000, func(c net.Conn) { sendAndHold("G")(c) })
	f.verify()
}

// Guards against connections that send nothing and keep other instances from the port between instances.
func TestSilentConnectionsLeavePeersPort(t *testing.T) {
	f := startFleet(t, 1, 0, startServer(t))
	for range silentConns {
		c, err := net.DialTimeout("tcp4", f.address(0, portPeers), answerTimeout)
		must.NoError(t, err)
		defer func() { _ = c.Close() }()
	}
	f.fetchSnapshot(0)
	f.verify()
}
