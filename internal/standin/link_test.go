package standin_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
)

// startTarget starts a listener for links to connect to. It returns its address
// and a channel of the connections it accepts.
func startTarget(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	conns := make(chan net.Conn, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns <- conn
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String(), conns
}

// startConnectedLink returns a link and both ends of a connection through it.
func startConnectedLink(t *testing.T) (l *standin.Link, clientConn, targetConn net.Conn) {
	t.Helper()
	address, conns := startTarget(t)
	l, err := standin.StartLink(standin.LinkOptions{Name: "l", Target: address}, nil)
	must.NoError(t, err)
	t.Cleanup(l.Close)
	clientConn = dial(t, l.Address())
	return l, clientConn, waitAccepted(t, conns)
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func waitAccepted(t *testing.T, conns <-chan net.Conn) net.Conn {
	t.Helper()
	select {
	case conn := <-conns:
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	case <-time.After(testTimeout):
		t.Fatal("the target accepted no connection in time")
		return nil
	}
}

func mustSend(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	must.NoError(t, err)
}

func mustReceive(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	got := make([]byte, len(text))
	_, err := io.ReadFull(conn, got)
	must.NoError(t, err)
	must.Eq(t, text, string(got))
}

func mustReceiveNothing(t *testing.T, conn net.Conn) {
	t.Helper()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(shortTimeout)))
	_, err := conn.Read(make([]byte, 1))
	must.True(t, isTimeout(err), must.Sprint(err))
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// With one direction cut, bytes in that direction are buffered without an error
// on either side, bytes in the other direction are delivered, and no byte is
// lost when the link is restored.
func TestLinkCutOneWay(t *testing.T) {
	for _, forward := range []bool{true, false} {
		l, clientConn, targetConn := startConnectedLink(t)
		from, to := clientConn, targetConn
		cut := standin.LinkState{Forward: standin.FlowCut, Backward: standin.FlowOpen}
		if !forward {
			from, to = targetConn, clientConn
			cut = standin.LinkState{Backward: standin.FlowCut}
		}
		mustSend(t, from, "1")
		mustReceive(t, to, "1")
		must.NoError(t, l.SetState(cut))
		mustSend(t, from, "held")
		mustReceiveNothing(t, to)
		mustSend(t, to, "heard")
		mustReceive(t, from, "heard")
		must.NoError(t, l.SetState(standin.LinkState{}))
		mustReceive(t, to, "held")
	}
}

// The end of a connection that is closed during a cut must not reach the other
// side before the link is restored.
func TestLinkCutDelaysEOF(t *testing.T) {
	l, clientConn, targetConn := startConnectedLink(t)
	must.NoError(t, l.SetState(standin.LinkState{Forward: standin.FlowCut}))
	mustSend(t, clientConn, "last")
	must.NoError(t, clientConn.(*net.TCPConn).CloseWrite())
	mustReceiveNothing(t, targetConn)
	must.NoError(t, l.SetState(standin.LinkState{}))
	mustReceive(t, targetConn, "last")
	_, err := targetConn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	mustSend(t, targetConn, "reply")
	mustReceive(t, clientConn, "reply")
}

// A connection opened while either direction is cut must not reach the target,
// because a TCP handshake would not complete. It reaches the target after the
// link is restored.
func TestLinkConnectsOnlyWithBothDirectionsOpen(t *testing.T) {
	address, conns := startTarget(t)
	l, err := standin.StartLink(standin.LinkOptions{Name: "l", Target: address}, nil)
	must.NoError(t, err)
	t.Cleanup(l.Close)
	for _, s := range []standin.LinkState{{Forward: standin.FlowCut}, {Backward: standin.FlowCut}} {
		must.NoError(t, l.SetState(s))
		clientConn := dial(t, l.Address())
		mustSend(t, clientConn, "hello")
		mustReceiveNothing(t, clientConn)
		must.Zero(t, len(conns))
		must.NoError(t, l.SetState(standin.LinkState{}))
		mustReceive(t, waitAccepted(t, conns), "hello")
	}
}

func TestLinkDelays(t *testing.T) {
	l, clientConn, targetConn := startConnectedLink(t)
	const delay = 40 * time.Millisecond
	must.NoError(t, l.SetState(standin.LinkState{ForwardDelay: config.Duration(delay)}))
	start := time.Now()
	mustSend(t, clientConn, "x")
	mustReceive(t, targetConn, "x")
	must.GreaterEq(t, delay, time.Since(start))
}

// Large concurrent transfers in both directions must arrive complete and in
// order.
func TestLinkRelaysLargeTransfers(t *testing.T) {
	_, clientConn, targetConn := startConnectedLink(t)
	text := strings.Repeat("0123456789abcdef", 1<<17)
	go func() { _, _ = io.WriteString(clientConn, text) }()
	go func() { _, _ = io.WriteString(targetConn, text) }()
	mustReceive(t, clientConn, text)
	mustReceive(t, targetConn, text)
}

// If nothing listens on the target address, the client's connection must be
// closed, as if it were refused.
func TestLinkToClosedPort(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	l, err := standin.StartLink(standin.LinkOptions{Name: "l", Target: closed.Addr().String()}, nil)
	must.NoError(t, err)
	t.Cleanup(l.Close)
	clientConn, err := net.Dial("tcp", l.Address())
	if err != nil {
		must.ErrorIs(t, err, syscall.ECONNRESET, must.Sprint("the reset may arrive before Dial returns"))
		return
	}
	t.Cleanup(func() { _ = clientConn.Close() })
	must.NoError(t, clientConn.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = clientConn.Read(make([]byte, 1))
	must.Error(t, err)
	must.False(t, isTimeout(err))
}

// Closing a link that buffers bytes and has a connection waiting for the target
// must end both connections, not block.
func TestLinkClosesDuringCut(t *testing.T) {
	l, clientConn, _ := startConnectedLink(t)
	must.NoError(t, l.SetState(standin.LinkState{Forward: standin.FlowCut, Backward: standin.FlowCut}))
	mustSend(t, clientConn, "held")
	pending := dial(t, l.Address())
	l.Close()
	for _, conn := range []net.Conn{clientConn, pending} {
		must.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		_, err := conn.Read(make([]byte, 1))
		must.Error(t, err)
		must.False(t, isTimeout(err))
	}
}

func TestLinksControlAPI(t *testing.T) {
	address, _ := startTarget(t)
	ls, err := standin.StartLinks("", []standin.LinkOptions{{Name: "a-b", Target: address}, {Name: "b-a", Target: address}}, nil)
	must.NoError(t, err)
	t.Cleanup(ls.Close)
	url := ls.ControlURL() + "/control/links"
	post := func(path, body string) int { return callControlAPI(t, http.MethodPost, url+path, body).status }

	must.Eq(t, http.StatusOK, post("/a-b", `{"forward":"cut","backward":"open"}`))
	must.Eq(t, http.StatusOK, post("/a-b", `{"backwardDelay":"5ms"}`))
	want := standin.LinkState{
		Forward: standin.FlowCut, Backward: standin.FlowOpen, BackwardDelay: config.Duration(5 * time.Millisecond),
	}
	must.Eq(t, want, ls.Link("a-b").State())
	must.Eq(t, standin.LinkState{}, ls.Link("b-a").State())

	must.Eq(t, http.StatusNotFound, post("/nosuch", `{}`))
	must.Eq(t, http.StatusBadRequest, post("/a-b", `{"forward":"shut"}`))
	must.Eq(t, http.StatusBadRequest, post("", `{"b-a":{"forward":"cut"},"nosuch":{}}`))
	must.Eq(t, standin.LinkState{}, ls.Link("b-a").State())
	must.Eq(t, http.StatusOK, post("", `{"b-a":{"forward":"cut"},"a-b":{}}`))
	must.Eq(t, standin.LinkState{Forward: standin.FlowCut}, ls.Link("b-a").State())
	must.Eq(t, standin.LinkState{}, ls.Link("a-b").State())

	_, err = standin.StartLinks("", []standin.LinkOptions{{Name: "x", Target: address}, {Name: "x", Target: address}}, nil)
	must.Error(t, err)
	_, err = standin.StartLinks("", []standin.LinkOptions{{Name: "x"}}, nil)
	must.Error(t, err)
}

// ResetConnections simulates a middlebox that resets connections: both ends of an
// open connection must get the reset, and a new connection must work.
func TestLinkResetConnectionsReachesBothSides(t *testing.T) {
	address, conns := startTarget(t)
	l, err := standin.StartLink(standin.LinkOptions{Name: "l", Target: address}, nil)
	must.NoError(t, err)
	t.Cleanup(l.Close)
	clientConn := dial(t, l.Address())
	targetConn := waitAccepted(t, conns)
	mustSend(t, clientConn, "a")
	_, err = io.ReadFull(targetConn, make([]byte, 1))
	must.NoError(t, err)
	l.ResetConnections()
	for _, conn := range []net.Conn{clientConn, targetConn} {
		must.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		_, err := conn.Read(make([]byte, 1))
		must.ErrorIs(t, err, syscall.ECONNRESET)
	}
	mustSend(t, dial(t, l.Address()), "b")
	_, err = io.ReadFull(waitAccepted(t, conns), make([]byte, 1))
	must.NoError(t, err)
}
