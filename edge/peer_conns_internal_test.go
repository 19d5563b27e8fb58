package edge

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against connections of strangers that keep known instances from the port between instances.
func TestPeerConnsGiveWayToKnownInstances(t *testing.T) {
	conns := newPeerConns(2)
	open := func(known bool) *peerConn {
		here, there := net.Pipe()
		t.Cleanup(func() { _, _ = here.Close(), there.Close() })
		return &peerConn{Conn: here, conns: conns, known: known}
	}
	answered, silent := open(false), open(false)
	must.Nil(t, conns.add(answered))
	must.Nil(t, conns.add(silent))
	answered.conns.mu.Lock()
	answered.answered = true
	answered.conns.mu.Unlock()

	stranger := open(false)
	must.Eq(t, silent, conns.add(stranger), must.Sprint("a silent connection gives way to a newer one"))
	first, second, third := open(true), open(true), open(true)
	must.Eq(t, stranger, conns.add(first), must.Sprint("a connection without a response goes first"))
	late := open(false)
	must.Eq(t, late, conns.add(late), must.Sprint("an answered connection stays beside a stranger"))
	must.Eq(t, answered, conns.add(second), must.Sprint("it gives way to a known instance"))

	added := make(chan *peerConn, 1)
	go func() { added <- conns.add(third) }()
	conns.remove(first)
	must.Nil(t, <-added, must.Sprint("a known instance waits for another one"))
}
