package peer

import (
	"context"
	"encoding/gob"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

type ping struct{ N int }

type pong struct{ N int }

func init() {
	gob.Register(ping{})
	gob.Register(pong{})
}

// maxTestConns is the number of connections that the server of a test accepts.
const maxTestConns = 10

// startServer serves handle on the loopback interface until the test ends. It
// returns the address and a channel of clients whose handshake failed.
func startServer(t *testing.T, secret string, handle Handler) (string, chan string) {
	t.Helper()
	s, err := NewServer([]byte(secret), maxTestConns, time.Second, handle)
	must.NoError(t, err)
	failed := make(chan string, 10)
	s.OnHandshakeFailure(func(address string) { failed <- address })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String(), failed
}

func echo(_ string, body any) (any, bool) {
	p, ok := body.(ping)
	return pong(p), ok
}

func TestCall(t *testing.T) {
	address, _ := startServer(t, "secret", echo)
	c := NewClient("a", []byte("secret"), time.Second)
	defer c.Close()
	for i := range 3 {
		reply, err := c.Call(context.Background(), address, ping{N: i})
		must.NoError(t, err)
		must.Eq(t, any(pong{N: i}), reply)
	}
	written, read := c.Traffic()
	must.Positive(t, written)
	must.Positive(t, read)
}

func TestCallWithWrongSecretFails(t *testing.T) {
	address, failed := startServer(t, "secret", echo)
	c := NewClient("a", []byte("other"), time.Second)
	defer c.Close()
	_, err := c.Call(context.Background(), address, ping{})
	must.True(t, errors.Is(err, ErrNoReply))
	must.StrContains(t, <-failed, "127.0.0.1:")
}

// Guards against connections that send nothing and keep other instances out.
func TestSilentConnectionsGiveWay(t *testing.T) {
	address, _ := startServer(t, "secret", echo)
	for range maxTestConns {
		silent, err := net.Dial("tcp", address)
		must.NoError(t, err)
		defer func() { _ = silent.Close() }()
	}
	c := NewClient("a", []byte("secret"), 5*time.Second)
	defer c.Close()
	_, err := c.Call(context.Background(), address, ping{})
	must.NoError(t, err)
}

// Guards against a call queueing behind one that has timed out. The peer hangs
// on the first call; the next call must use a new connection.
func TestCallAfterTimeoutReconnects(t *testing.T) {
	hung := make(chan struct{})
	defer close(hung)
	var calls atomic.Int32
	address, _ := startServer(t, "secret", func(from string, body any) (any, bool) {
		if calls.Add(1) == 1 {
			<-hung
		}
		return echo(from, body)
	})
	c := NewClient("a", []byte("secret"), time.Second)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Call(ctx, address, ping{})
	must.True(t, errors.Is(err, ErrNoReply))
	_, err = c.Call(context.Background(), address, ping{N: 7})
	must.NoError(t, err)
}

// Guards against a hung peer blocking calls to other peers. The hung peer accepts
// connections but does not start the handshake; Traffic is called while a call to
// it is waiting.
func TestHungPeerDoesNotBlockOthers(t *testing.T) {
	hung, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = hung.Close() }()
	live, _ := startServer(t, "secret", echo)
	c := NewClient("a", []byte("secret"), time.Minute)
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var waiting sync.WaitGroup
	waiting.Go(func() { _, _ = c.Call(ctx, hung.Addr().String(), ping{}) })
	conn, err := hung.Accept() // the call now waits for the server's nonce
	must.NoError(t, err)
	result := make(chan error, 1)
	waiting.Go(func() {
		c.Traffic()
		_, err := c.Call(ctx, live, ping{})
		result <- err
	})
	select {
	case err := <-result:
		must.NoError(t, err)
	case <-time.After(5 * time.Second):
		t.Error("call to the live peer is blocked by the hung peer")
	}
	cancel()
	_ = conn.Close()
	waiting.Wait()
}
