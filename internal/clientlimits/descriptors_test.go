package clientlimits_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
			var peak atomic.Int64
			stop := make(chan struct{})
			watched := make(chan struct{})
			go func() {
				defer close(watched)
				for {
					select {
					case <-stop:
						return
					case <-time.After(10 * time.Millisecond):
						peak.Store(max(peak.Load(), int64(openDescriptors(t, f.processes[0]))))
					}
				}
			}()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				crowd(f.address(0, port), silentConns, sendAndHold(""))
			}()
			for range 3 {
				time.Sleep(crowdTime / 4)
				f.awaitStatus(0, portReadiness, "/api/readyz")
				f.awaitStatus(0, portCallers, "/lookup/1")
			}
			<-ended
			close(stop)
			<-watched
			t.Logf("peak of %d descriptors", peak.Load())
			must.Less(t, descriptorLimit, int(peak.Load()))
			f.verify()
		})
	}
}

// Guards against keeping so many connections that a process runs out of memory.
func TestSilentConnectionsStayWithinMemory(t *testing.T) {
	f := startFleet(t, 1, 0, startServer(t))
	crowd(f.address(0, portCallers), 4000, func(c net.Conn) { sendAndHold("G")(c) })
	f.verify()
}
