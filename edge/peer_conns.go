package edge

import (
	"container/list"
	"net"
	"net/netip"
	"sync"
)

// peerConns are the open connections to the port between instances, the oldest first.
type peerConns struct {
	// max is the number of connections that are accepted.
	max int

	mu   sync.Mutex
	open list.List
	// closed is signalled when a connection is removed.
	closed sync.Cond
}

func newPeerConns(limit int) *peerConns {
	p := &peerConns{max: limit}
	p.closed.L = &p.mu
	return p
}

// peerConn is a connection to the port between instances.
type peerConn struct {
	net.Conn
	conns *peerConns
	// known means that an instance of the fleet has its address.
	known bool
	// answered means that a response is or was being written. conns.mu guards it, and element.
	answered bool
	element  *list.Element
}

// Write implements net.Conn.
func (c *peerConn) Write(b []byte) (int, error) {
	c.conns.mu.Lock()
	c.answered = true
	c.conns.mu.Unlock()
	return c.Conn.Write(b)
}

// add adds a connection. If there are as many as are accepted, the one that needs its place least is
// closed and returned, which may be the new one. While known instances have them all, a known one waits.
func (p *peerConns) add(c *peerConn) (evicted *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.open.Len() >= p.max {
		if evicted = p.victimLocked(c.known); evicted == nil && c.known {
			p.closed.Wait()
			continue
		}
		if evicted == nil {
			evicted = c
		}
		// An error means that the connection is closed already.
		_ = evicted.Close()
		p.removeLocked(evicted)
		break
	}
	if evicted != c {
		c.element = p.open.PushBack(c)
	}
	return evicted
}

// victimLocked returns the connection that may be closed for a new one: the oldest one that no known
// instance has opened and that hasn't been answered. For a known instance, others that none has opened
// may be closed too.
func (p *peerConns) victimLocked(forKnown bool) *peerConn {
	var answered *peerConn
	for e := p.open.Front(); e != nil; e = e.Next() {
		switch c := e.Value.(*peerConn); {
		case c.known:
		case !c.answered:
			return c
		case answered == nil && forKnown:
			answered = c
		}
	}
	return answered
}

func (p *peerConns) remove(c *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeLocked(c)
}

func (p *peerConns) removeLocked(c *peerConn) {
	if c.element != nil {
		p.open.Remove(c.element)
		c.element = nil
		p.closed.Signal()
	}
}

// isKnownInstance reports whether an instance of the fleet has the address "ip:port", whatever its port.
func (e *Edge) isKnownInstance(address string) bool {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Is4() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.state.messenger.Fleet().All()[ipv4Number(a.Addr())]
	return ok
}
