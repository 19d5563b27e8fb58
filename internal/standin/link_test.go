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

// startTarget is the server behind a link. Its connections go to the test.
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

// startConnectedLink returns a link and the two ends of a connection over it.
func startConnectedLink(t *testing.T) (l *standin.Link, near, behind net.Conn) {
	t.Helper()
	address, conns := startTarget(t)
	l, err := standin.StartLink(standin.LinkOptions{Name: "l", Target: address}, nil)
	must.NoError(t, err)
	t.Cleanup(l.Close)
	near = dial(t, l.Address())
	return l, near, waitAccepted(t, conns)
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
	case <-time.After(patience):
		t.Fatal("no connection")
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
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
	got := make([]byte, len(text))
	_, err := io.ReadFull(conn, got)
	must.NoError(t, err)
	must.Eq(t, text, string(got))
}

func mustReceiveNothing(t *testing.T, conn net.Conn) {
	t.Helper()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(glance)))
	_, err := conn.Read(make([]byte, 1))
	must.True(t, isTimeout(err), must.Sprint(err))
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// One side hears the other but not the reverse. Bytes in the cut direction
// wait without a sign to either side, those in the other go on, and nothing
// is lost when the link is restored.
func TestLinkCutOneWay(t *testing.T) {
	for _, forward := range []bool{true, false} {
		l, near, behind := startConnectedLink(t)
		from, to := near, behind
		cut := standin.LinkState{Forward: standin.FlowCut, Backward: standin.FlowOpen}
		if !forward {
			from, to = behind, near
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

// A side that closes its connection behind a cut isn't noticed on the other
// side until the link is restored.
func TestLinkCutDelaysEOF(t *testing.T) {
	l, near, behind := startConnectedLink(t)
	must.NoError(t, l.SetState(standin.LinkState{Forward: standin.FlowCut}))
	mustSend(t, near, "last")
	must.NoError(t, near.(*net.TCPConn).CloseWrite())
	mustReceiveNothing(t, behind)
	must.NoError(t, l.SetState(standin.LinkState{}))
	mustReceive(t, behind, "last")
	_, err := behind.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	mustSend(t, behind, "reply")
	mustReceive(t, near, "reply")
}

// A connection made during a cut of either direction doesn't reach the other
// side, as a handshake wouldn't. It does after the link is restored.
func TestLinkConnectsOnlyWithBothDirectionsOpen(t *testing.T) {
	address, conns := startTarget(t)
	l, err := standin.StartLink(standin.LinkOptions{Name: "l", Target: address}, nil)
	must.NoError(t, err)
	t.Cleanup(l.Close)
	for _, s := range []standin.LinkState{{Forward: standin.FlowCut}, {Backward: standin.FlowCut}} {
		must.NoError(t, l.SetState(s))
		near := dial(t, l.Address())
		mustSend(t, near, "hello")
		mustReceiveNothing(t, near)
		must.Zero(t, len(conns))
		must.NoError(t, l.SetState(standin.LinkState{}))
		mustReceive(t, waitAccepted(t, conns), "hello")
	}
}

func TestLinkDelays(t *testing.T) {
	l, near, behind := startConnectedLink(t)
	const delay = 40 * time.Millisecond
	must.NoError(t, l.SetState(standin.LinkState{ForwardDelay: config.Duration(delay)}))
	began := time.Now()
	mustSend(t, near, "x")
	mustReceive(t, behind, "x")
	must.GreaterEq(t, delay, time.Since(began))
}

// Much data in both directions at once arrives whole and in order.
func TestLinkRelaysLargeTransfers(t *testing.T) {
	_, near, behind := startConnectedLink(t)
	text := strings.Repeat("0123456789abcdef", 1<<17)
	go func() { _, _ = io.WriteString(near, text) }()
	go func() { _, _ = io.WriteString(behind, text) }()
	mustReceive(t, near, text)
	mustReceive(t, behind, text)
}

// Nobody listens behind the link: the connection ends, as if refused.
func TestLinkToClosedPort(t *testing.T) {
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, dead.Close())
	l, err := standin.StartLink(standin.LinkOptions{Name: "l", Target: dead.Addr().String()}, nil)
	must.NoError(t, err)
	t.Cleanup(l.Close)
	near, err := net.Dial("tcp", l.Address())
	if err != nil {
		must.ErrorIs(t, err, syscall.ECONNRESET, must.Sprint("the end may come before Dial returns"))
		return
	}
	t.Cleanup(func() { _ = near.Close() })
	must.NoError(t, near.SetReadDeadline(time.Now().Add(patience)))
	_, err = near.Read(make([]byte, 1))
	must.Error(t, err)
	must.False(t, isTimeout(err))
}

// The links are closed while they hold bytes: nothing waits for ever.
func TestLinkClosesDuringCut(t *testing.T) {
	l, near, _ := startConnectedLink(t)
	must.NoError(t, l.SetState(standin.LinkState{Forward: standin.FlowCut, Backward: standin.FlowCut}))
	mustSend(t, near, "held")
	waiting := dial(t, l.Address())
	l.Close()
	for _, conn := range []net.Conn{near, waiting} {
		must.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
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
	post := func(path, body string) int { return control(t, http.MethodPost, url+path, body).status }

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

// Something on the way resets all connections. Both ends see it at once, and
// the next connection works.
func TestLinkResetConnectionsReachesBothSides(t *testing.T) {
	address, conns := startTarget(t)
	l, err := standin.StartLink(standin.LinkOptions{Name: "l", Target: address}, nil)
	must.NoError(t, err)
	t.Cleanup(l.Close)
	near := dial(t, l.Address())
	behind := waitAccepted(t, conns)
	mustSend(t, near, "a")
	_, err = io.ReadFull(behind, make([]byte, 1))
	must.NoError(t, err)
	l.ResetConnections()
	for _, conn := range []net.Conn{near, behind} {
		must.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
		_, err := conn.Read(make([]byte, 1))
		must.ErrorIs(t, err, syscall.ECONNRESET)
	}
	mustSend(t, dial(t, l.Address()), "b")
	_, err = io.ReadFull(waitAccepted(t, conns), make([]byte, 1))
	must.NoError(t, err)
}
