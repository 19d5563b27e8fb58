package edge

import (
	"log/slog"
	"math"

	"golang.org/x/sys/unix"

	"foxtailspoke/edge/settings"
	"foxtailspoke/event"
	"foxtailspoke/pipeline"
)

// connectionShare is the part of the process's descriptors that the connections to a port may take.
type connectionShare float64

// Shares of the ports and of the connections to backend servers and to forwarding instances. A tenth
// is left to the rest, such as the calls of the store.
const (
	callersShare        connectionShare = 0.3
	serversShare        connectionShare = 0.35
	forwardingShare     connectionShare = 1. / 16
	forwardersShare     connectionShare = 1. / 16
	directoryShare      connectionShare = 1. / 16
	readinessShare      connectionShare = 1. / 32
	metricsShare        connectionShare = 1. / 64
	peersShare          connectionShare = 1. / 64
	connectionSharesSum                 = callersShare + serversShare + forwardingShare + forwardersShare + directoryShare +
		readinessShare + metricsShare + peersShare
)

const (
	// connectionBytes is the memory of an idle connection: its buffers and the stack of its reader.
	connectionBytes = 16 << 10
	// connectionMemoryShare is the part of the machine's memory that the connections to a port may
	// take while they are idle.
	connectionMemoryShare = 1. / 8
	// minConnections is the least number of connections to a port, minPeerConnections that to the port
	// between instances.
	minConnections     = 4
	minPeerConnections = 32
)

// connectionLimit returns how many connections a port accepts.
func connectionLimit(share connectionShare, descriptors, machineBytes int64) int {
	limit := float64(share) * float64(descriptors)
	if machineBytes > 0 {
		limit = min(limit, connectionMemoryShare*float64(machineBytes)/connectionBytes)
	}
	return max(int(limit), minConnections)
}

// descriptorLimit returns the number of descriptors that the process may have: the limit of the
// settings or that of the operating system, whichever is lower.
func descriptorLimit(s settings.Settings) int64 {
	limit := int64(math.MaxInt32)
	if s.MaxDescriptors > 0 {
		limit = s.MaxDescriptors
	}
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err == nil && r.Cur < uint64(limit) {
		limit = int64(r.Cur)
	}
	return limit
}

// limitConnections bounds the connections to the port of a server.
func (e *Edge) limitConnections(s *pipeline.Server, share connectionShare) {
	s.MaxConnections = connectionLimit(share, descriptorLimit(e.settings), machineBytes(e.settings))
	s.OnEvicted = e.handleEvicted
}

// newPeerConns returns the connections to the port between instances.
func (e *Edge) newPeerConns() *peerConns {
	limit := connectionLimit(peersShare, descriptorLimit(e.settings), machineBytes(e.settings))
	return newPeerConns(max(limit, minPeerConnections))
}

// limitServerConnections bounds the connections to backend servers and to forwarding instances.
func (e *Edge) limitServerConnections() {
	descriptors := descriptorLimit(e.settings)
	e.pool.SetMaxConnections(connectionLimit(serversShare, descriptors, 0))
	e.peerPool.SetMaxConnections(connectionLimit(forwardersShare, descriptors, 0))
}

// handleEvicted records that a connection was closed for another one.
func (e *Edge) handleEvicted(remoteAddr string) {
	e.metrics.connectionsEvicted.Inc()
	if e.budget.Allow(e.now(), routineLogShare) {
		event.ConnectionEvicted.Log(e.log, slog.String("caller", remoteAddr))
	}
}
