package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/upstream"
)

// script is a backend server that does what a function says with each
// connection, and counts the requests that arrived.
type script struct {
	listener net.Listener
	arrived  atomic.Int32
	opened   atomic.Int32
}

func serve(t *testing.T, do func(s *script, n int, c net.Conn, r *bufio.Reader)) *script {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	s := &script{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(s.opened.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				do(s, n, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// request reads one request whole and returns its id.
func (s *script) request(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, req.Body)
	s.arrived.Add(1)
	return req.Header.Get("X-Id"), err == nil
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) }

func order(id string) upstream.Request {
	return upstream.Request{
		Method: http.MethodPost, Target: "/a//b?x=%20", Host: "h", Header: http.Header{"X-Id": {id}},
		Body: []byte("order"), IDHeader: "X-Id", ID: id,
	}
}

func (s *script) do(t *testing.T, p *upstream.Pool, r upstream.Request) upstream.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return p.Do(ctx, s.listener.Addr().String(), r)
}

func TestConnectionIsUsedAgain(t *testing.T) {
	s := serve(t, func(s *script, _ int, c net.Conn, r *bufio.Reader) {
		for {
			id, ok := s.request(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	p := upstream.NewPool()
	for _, id := range []string{"1", "2", "3"} {
		a := s.do(t, p, order(id))
		must.Eq(t, upstream.Completed, a.Outcome)
		must.Eq(t, "ok", string(a.Body))
	}
	must.Eq(t, 1, p.ConnectionsOpened())
}

// The server forgets connections that rested for 0.3 s and resets what comes on
// them. An order after a quiet spell was lost that way; it must go on a new
// connection. A request that can be repeated may try the old one.
func TestOrderAfterAQuietSpellIsntSentOnARestedConnection(t *testing.T) {
	s := serve(t, func(s *script, _ int, c net.Conn, r *bufio.Reader) {
		for last := time.Now(); ; last = time.Now() {
			id, ok := s.request(r)
			if !ok {
				return
			}
			if time.Since(last) > 300*time.Millisecond {
				_ = c.(*net.TCPConn).SetLinger(0)
				return
			}
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	p := upstream.NewPool()
	once := func(id string) upstream.Request {
		r := order(id)
		r.NonIdempotent = true
		return r
	}
	must.Eq(t, upstream.Completed, s.do(t, p, once("1")).Outcome)
	must.Eq(t, upstream.Completed, s.do(t, p, once("2")).Outcome)
	must.Eq(t, 1, p.ConnectionsOpened())
	time.Sleep(350 * time.Millisecond)
	must.Eq(t, upstream.Completed, s.do(t, p, once("3")).Outcome)
	must.Eq(t, 2, p.ConnectionsOpened())
	time.Sleep(350 * time.Millisecond)
	must.Eq(t, upstream.Broken, s.do(t, p, order("4")).Outcome)
}

func TestPathArrivesByteForByte(t *testing.T) {
	got := make(chan string, 1)
	s := serve(t, func(_ *script, _ int, c net.Conn, r *bufio.Reader) {
		line, _ := r.ReadString('\n')
		got <- line
		_ = c.Close()
	})
	s.do(t, upstream.NewPool(), order("1"))
	must.Eq(t, "POST /a//b?x=%20 HTTP/1.1\r\n", <-got)
}

// The server runs an order on a kept connection and closes it without an
// answer. A client that repeats by itself would run the order twice.
func TestOrderOnADyingConnectionIsSentOnce(t *testing.T) {
	s := serve(t, func(s *script, _ int, c net.Conn, r *bufio.Reader) {
		id, _ := s.request(r)
		_, _ = io.WriteString(c, answer(id, "ok"))
		s.request(r)
	})
	p := upstream.NewPool()
	must.Eq(t, upstream.Completed, s.do(t, p, order("1")).Outcome)
	must.Eq(t, upstream.Broken, s.do(t, p, order("2")).Outcome)
	must.Eq(t, 2, s.arrived.Load())
}

// The server closes idle connections. The next order must not be sent into one
// that is closed already: whether it ran would never be known.
func TestClosedIdleConnectionIsntUsed(t *testing.T) {
	s := serve(t, func(s *script, _ int, c net.Conn, r *bufio.Reader) {
		id, _ := s.request(r)
		_, _ = io.WriteString(c, answer(id, "ok"))
	})
	p := upstream.NewPool()
	for _, id := range []string{"1", "2", "3"} {
		must.Eq(t, upstream.Completed, s.do(t, p, order(id)).Outcome)
		time.Sleep(20 * time.Millisecond)
	}
	must.Eq(t, 3, s.arrived.Load())
	must.Eq(t, 3, p.ConnectionsOpened())
}

// A second answer to the first request arrives where the answer to the second
// is due. A caller would get somebody else's answer.
func TestLateSecondAnswerIsReadPast(t *testing.T) {
	s := serve(t, func(s *script, _ int, c net.Conn, r *bufio.Reader) {
		first, _ := s.request(r)
		_, _ = io.WriteString(c, answer(first, "one"))
		second, _ := s.request(r)
		_, _ = io.WriteString(c, answer(first, "one")+answer(second, "two"))
	})
	p := upstream.NewPool()
	s.do(t, p, order("1"))
	a := s.do(t, p, order("2"))
	must.Eq(t, upstream.Completed, a.Outcome)
	must.Eq(t, "two", string(a.Body))
}

func TestOnlyForeignAnswersMeanUnknown(t *testing.T) {
	s := serve(t, func(s *script, _ int, c net.Conn, r *bufio.Reader) {
		s.request(r)
		_, _ = io.WriteString(c, answer("9", "x"))
	})
	a := s.do(t, upstream.NewPool(), order("1"))
	must.Eq(t, upstream.Broken, a.Outcome)
}

// Unasked bytes after an answer belong to no request. The connection must not
// be used again.
func TestConnectionWithUnaskedBytesIsntUsed(t *testing.T) {
	s := serve(t, func(s *script, _ int, c net.Conn, r *bufio.Reader) {
		id, _ := s.request(r)
		_, _ = io.WriteString(c, answer(id, "ok"))
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		_, _ = r.ReadByte()
	})
	p := upstream.NewPool()
	must.Eq(t, upstream.Completed, s.do(t, p, order("1")).Outcome)
	time.Sleep(30 * time.Millisecond)
	must.Eq(t, upstream.Completed, s.do(t, p, order("2")).Outcome)
	must.Eq(t, 2, p.ConnectionsOpened())
}

func TestAnswersThatBreakOffAreNoAnswers(t *testing.T) {
	tests := map[string]string{
		"short body":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nshort",
		"half chunk":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"half headers": "HTTP/1.1 200 OK\r\nX-I",
		"no answer":    "hello\r\n\r\n",
		"nothing":      "",
	}
	for name, bytes := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(s *script, _ int, c net.Conn, r *bufio.Reader) {
				s.request(r)
				_, _ = io.WriteString(c, bytes)
			})
			must.Eq(t, upstream.Broken, s.do(t, upstream.NewPool(), order("1")).Outcome)
		})
	}
}

// An answer without a length ends with its connection. A reset in place of a
// clean end means that something is missing.
func TestAnswerWithoutLengthNeedsACleanEnd(t *testing.T) {
	for _, reset := range []bool{false, true} {
		s := serve(t, func(s *script, _ int, c net.Conn, r *bufio.Reader) {
			s.request(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nbody")
			time.Sleep(10 * time.Millisecond)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		a := s.do(t, upstream.NewPool(), order("1"))
		if reset {
			must.Eq(t, upstream.Broken, a.Outcome)
		} else {
			must.Eq(t, upstream.Completed, a.Outcome)
			must.Eq(t, "body", string(a.Body))
		}
	}
}

// The server refuses a long upload before it has read it, and reads on. What is
// left of the body must not be followed by another request on the connection.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	s := serve(t, func(_ *script, n int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(req.Header.Get("X-Id"), "no"))
		if n == 1 {
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = io.Copy(io.Discard, r)
	})
	p := upstream.NewPool()
	long := order("1")
	long.Body = []byte(strings.Repeat("x", 16<<20))
	must.Eq(t, upstream.Completed, s.do(t, p, long).Outcome)
	must.Eq(t, upstream.Completed, s.do(t, p, order("2")).Outcome)
	must.Eq(t, 2, p.ConnectionsOpened())
}

func TestNoConnectionMeansNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	a := upstream.NewPool().Do(context.Background(), l.Addr().String(), order("1"))
	must.Eq(t, upstream.NotSent, a.Outcome)
	must.Error(t, a.Err)
}

// The caller leaves. The server must see the connection closed at once, so that
// it can drop the work.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(s *script, _ int, _ net.Conn, r *bufio.Reader) {
		s.request(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	a := upstream.NewPool().Do(ctx, s.listener.Addr().String(), order("1"))
	must.Eq(t, upstream.Cancelled, a.Outcome)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection stays open")
	}
}

func TestNoAnswerInTimeMeansTimedOut(t *testing.T) {
	s := serve(t, func(s *script, _ int, _ net.Conn, r *bufio.Reader) {
		s.request(r)
		_, _ = r.ReadByte()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	a := upstream.NewPool().Do(ctx, s.listener.Addr().String(), order("1"))
	must.Eq(t, upstream.TimedOut, a.Outcome)
}

// Servers say how long they keep an idle connection. A request sent just when
// that time ends may cross the server's close.
func TestKeptConnectionIsLeftBeforeTheServerClosesIt(t *testing.T) {
	s := serve(t, func(s *script, _ int, c net.Conn, r *bufio.Reader) {
		for {
			id, ok := s.request(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := upstream.NewPool()
	s.do(t, p, order("1"))
	s.do(t, p, order("2"))
	must.Eq(t, 1, p.ConnectionsOpened())
	time.Sleep(550 * time.Millisecond)
	s.do(t, p, order("3"))
	must.Eq(t, 2, p.ConnectionsOpened())
}
