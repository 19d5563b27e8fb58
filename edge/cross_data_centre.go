package edge

import (
	"net"
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"
)

// trafficPurpose is the purpose of bytes that an instance sends to other data centres.
type trafficPurpose string

const (
	// purposeRequests: callers' requests, sent to backend servers.
	purposeRequests trafficPurpose = "requests"
	// purposeForwarded: requests sent to other instances for forwarding, and the answers to
	// such requests.
	purposeForwarded trafficPurpose = "forwarded"
	// purposeSnapshots: replies to other instances that lack a part of what this one knows.
	purposeSnapshots trafficPurpose = "snapshots"
	// purposeMessages: datagrams between instances.
	purposeMessages trafficPurpose = "messages"
)

func newCrossDataCentreBytes() *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "cross_data_centre_bytes_total",
		Help: "Bytes that this instance sent to other data centres, by purpose; without headers of the network.",
	}, []string{"purpose"})
	for _, p := range []trafficPurpose{purposeRequests, purposeForwarded, purposeSnapshots, purposeMessages} {
		c.WithLabelValues(string(p))
	}
	return c
}

// countBytesSent counts bytes that were sent to a data centre; those within this instance's
// own one, or sent to an instance whose data centre is unknown, aren't counted.
func (e *Edge) countBytesSent(p trafficPurpose, dataCentre string, n int) {
	if dataCentre != "" && dataCentre != e.settings.DataCentre && n > 0 {
		e.metrics.crossDataCentreBytes.WithLabelValues(string(p)).Add(float64(n))
	}
}

// peerDataCentreLocked returns the data centre of another instance, "" if it is unknown.
func (e *Edge) peerDataCentreLocked(id uint32) string {
	if m, ok := e.state.messenger.Fleet().All()[id]; ok {
		return m.DataCentre
	}
	return ""
}

// peerDataCentre returns the data centre of the instance at an address "ip:port", "" if it is
// unknown.
func (e *Edge) peerDataCentre(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Is4() {
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peerDataCentreLocked(ipv4Number(a.Addr()))
}

// countedConn counts the bytes that are written to another instance.
type countedConn struct {
	net.Conn
	edge       *Edge
	purpose    trafficPurpose
	dataCentre string
}

// Write implements io.Writer.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.edge.countBytesSent(c.purpose, c.dataCentre, n)
	return n, err
}
