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

// scriptedServer is a backend server that runs a function for each connection
// and counts the requests that arrived.
type scriptedServer struct {
	listener net.Listener
	arrived  atomic.Int32
	opened   atomic.Int32
}

func serve(t *testing.T, do func(s *scriptedServer, n int, c net.Conn, r *bufio.Reader)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	s := &scriptedServer{listener: l}
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

// request reads a whole request and returns its id.
func (s *scriptedServer) request(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, req.Body)
	s.arrived.Add(1)
	return req.Header.Get("X-Id"), err == nil
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) }

func postRequest(id string) upstream.Request {
	return upstream.Request{
		Method: http.MethodPost, Target: "/a//b?x=%20", Host: "h", Header: http.Header{"X-Id": {id}},
		Body: []byte("order"), IDHeader: "X-Id", ID: id,
	}
}

func (s *scriptedServer) do(t *testing.T, p *upstream.Pool, r upstream.Request) upstream.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return p.Do(ctx, s.listener.Addr().String(), r)
}

// answerAll answers all requests of a connection.
func answerAll(s *scriptedServer, _ int, c net.Conn, r *bufio.Reader) {
	for {
		id, ok := s.request(r)
		if !ok {
			return
		}
		_, _ = io.WriteString(c, responseText(id, "ok"))
	}
}

func TestConnectionIsReused(t *testing.T) {
	s := serve(t, answerAll)
	p := upstream.NewPool(nil, nil)
	for _, id := range []string{"1", "2", "3"} {
		resp := s.do(t, p, postRequest(id))
		must.Eq(t, upstream.Completed, resp.Outcome)
		must.Eq(t, "ok", string(resp.Body))
	}
	must.Eq(t, 1, p.ConnectionsOpened())
}

// The server drops connections idle for 0.3 s and resets whatever arrives on
// them. A non-idempotent request was lost that way; it must go on a new
// connection. A request that can be repeated may try the old one.
func TestNonIdempotentRequestAvoidsLongIdleConnection(t *testing.T) {
	s := serve(t, func(s *scriptedServer, _ int, c net.Conn, r *bufio.Reader) {
		for last := time.Now(); ; last = time.Now() {
			id, ok := s.request(r)
			if !ok {
				return
			}
			if time.Since(last) > 300*time.Millisecond {
				_ = c.(*net.TCPConn).SetLinger(0)
				return
			}
			_, _ = io.WriteString(c, responseText(id, "ok"))
		}
	})
	p := upstream.NewPool(nil, nil)
	nonIdempotent := func(id string) upstream.Request {
		r := postRequest(id)
		r.NonIdempotent = true
		return r
	}
	must.Eq(t, upstream.Completed, s.do(t, p, nonIdempotent("1")).Outcome)
	must.Eq(t, upstream.Completed, s.do(t, p, nonIdempotent("2")).Outcome)
	must.Eq(t, 1, p.ConnectionsOpened())
	time.Sleep(350 * time.Millisecond)
	must.Eq(t, upstream.Completed, s.do(t, p, nonIdempotent("3")).Outcome)
	must.Eq(t, 2, p.ConnectionsOpened())
	time.Sleep(350 * time.Millisecond)
	must.Eq(t, upstream.Broken, s.do(t, p, postRequest("4")).Outcome)
}

func TestTargetIsSentUnchanged(t *testing.T) {
	got := make(chan string, 1)
	s := serve(t, func(_ *scriptedServer, _ int, c net.Conn, r *bufio.Reader) {
		line, _ := r.ReadString('\n')
		got <- line
		_ = c.Close()
	})
	s.do(t, upstream.NewPool(nil, nil), postRequest("1"))
	must.Eq(t, "POST /a//b?x=%20 HTTP/1.1\r\n", <-got)
}

// The server runs a request on a kept-alive connection and closes it without a
// response. A client that retries by itself would run the request twice.
func TestRequestOnDyingConnectionIsNotRetried(t *testing.T) {
	s := serve(t, func(s *scriptedServer, _ int, c net.Conn, r *bufio.Reader) {
		id, _ := s.request(r)
		_, _ = io.WriteString(c, responseText(id, "ok"))
		s.request(r)
	})
	p := upstream.NewPool(nil, nil)
	must.Eq(t, upstream.Completed, s.do(t, p, postRequest("1")).Outcome)
	must.Eq(t, upstream.Broken, s.do(t, p, postRequest("2")).Outcome)
	must.Eq(t, 2, s.arrived.Load())
}

// The server closes idle connections. The next request must not be sent on one
// that is already closed: whether it ran would be unknown.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := serve(t, func(s *scriptedServer, _ int, c net.Conn, r *bufio.Reader) {
		id, _ := s.request(r)
		_, _ = io.WriteString(c, responseText(id, "ok"))
	})
	p := upstream.NewPool(nil, nil)
	for _, id := range []string{"1", "2", "3"} {
		must.Eq(t, upstream.Completed, s.do(t, p, postRequest(id)).Outcome)
		time.Sleep(20 * time.Millisecond)
	}
	must.Eq(t, 3, s.arrived.Load())
	must.Eq(t, 3, p.ConnectionsOpened())
}

// A second response to the first request precedes the response to the second. A
// caller would get the response to another request.
func TestStrayResponseIsSkipped(t *testing.T) {
	s := serve(t, func(s *scriptedServer, _ int, c net.Conn, r *bufio.Reader) {
		first, _ := s.request(r)
		_, _ = io.WriteString(c, responseText(first, "one"))
		second, _ := s.request(r)
		_, _ = io.WriteString(c, responseText(first, "one")+responseText(second, "two"))
	})
	p := upstream.NewPool(nil, nil)
	s.do(t, p, postRequest("1"))
	resp := s.do(t, p, postRequest("2"))
	must.Eq(t, upstream.Completed, resp.Outcome)
	must.Eq(t, "two", string(resp.Body))
}

func TestOnlyStrayResponsesMeansBroken(t *testing.T) {
	s := serve(t, func(s *scriptedServer, _ int, c net.Conn, r *bufio.Reader) {
		s.request(r)
		_, _ = io.WriteString(c, responseText("9", "x"))
	})
	resp := s.do(t, upstream.NewPool(nil, nil), postRequest("1"))
	must.Eq(t, upstream.Broken, resp.Outcome)
}

// Unsolicited bytes after a response belong to no request. The connection must
// not be reused.
func TestConnectionWithPendingInputIsNotUsed(t *testing.T) {
	s := serve(t, func(s *scriptedServer, _ int, c net.Conn, r *bufio.Reader) {
		id, _ := s.request(r)
		_, _ = io.WriteString(c, responseText(id, "ok"))
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		_, _ = r.ReadByte()
	})
	p := upstream.NewPool(nil, nil)
	must.Eq(t, upstream.Completed, s.do(t, p, postRequest("1")).Outcome)
	time.Sleep(30 * time.Millisecond)
	must.Eq(t, upstream.Completed, s.do(t, p, postRequest("2")).Outcome)
	must.Eq(t, 2, p.ConnectionsOpened())
}

func TestTruncatedResponseMeansBroken(t *testing.T) {
	tests := map[string]string{
		"short body":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nshort",
		"half chunk":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"half headers": "HTTP/1.1 200 OK\r\nX-I",
		"no answer":    "hello\r\n\r\n",
		"nothing":      "",
	}
	for name, bytes := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(s *scriptedServer, _ int, c net.Conn, r *bufio.Reader) {
				s.request(r)
				_, _ = io.WriteString(c, bytes)
			})
			must.Eq(t, upstream.Broken, s.do(t, upstream.NewPool(nil, nil), postRequest("1")).Outcome)
		})
	}
}

// A response without a length ends with its connection. A reset instead of a
// clean close means that data is missing.
func TestResponseWithoutLengthNeedsCleanClose(t *testing.T) {
	for _, reset := range []bool{false, true} {
		s := serve(t, func(s *scriptedServer, _ int, c net.Conn, r *bufio.Reader) {
			s.request(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nbody")
			time.Sleep(10 * time.Millisecond)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		resp := s.do(t, upstream.NewPool(nil, nil), postRequest("1"))
		if reset {
			must.Eq(t, upstream.Broken, resp.Outcome)
		} else {
			must.Eq(t, upstream.Completed, resp.Outcome)
			must.Eq(t, "body", string(resp.Body))
		}
	}
}

// The server refuses a long upload before it has read it, and keeps reading.
// The rest of the body must not be followed by another request on the
// connection.
func TestEarlyResponseEndsConnection(t *testing.T) {
	s := serve(t, func(_ *scriptedServer, n int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, responseText(req.Header.Get("X-Id"), "no"))
		if n == 1 {
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = io.Copy(io.Discard, r)
	})
	p := upstream.NewPool(nil, nil)
	long := postRequest("1")
	long.Body = []byte(strings.Repeat("x", 16<<20))
	must.Eq(t, upstream.Completed, s.do(t, p, long).Outcome)
	must.Eq(t, upstream.Completed, s.do(t, p, postRequest("2")).Outcome)
	must.Eq(t, 2, p.ConnectionsOpened())
}

func TestNoConnectionMeansNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	resp := upstream.NewPool(nil, nil).Do(context.Background(), l.Addr().String(), postRequest("1"))
	must.Eq(t, upstream.NotSent, resp.Outcome)
	must.Error(t, resp.Err)
}

// When the caller disconnects, the connection to the server must be closed at
// once, so that the server can drop the work.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(s *scriptedServer, _ int, _ net.Conn, r *bufio.Reader) {
		s.request(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	resp := upstream.NewPool(nil, nil).Do(ctx, s.listener.Addr().String(), postRequest("1"))
	must.Eq(t, upstream.Cancelled, resp.Outcome)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("connection to the server still open 1 s after the cancellation")
	}
}

func TestNoResponseInTimeMeansTimedOut(t *testing.T) {
	s := serve(t, func(s *scriptedServer, _ int, _ net.Conn, r *bufio.Reader) {
		s.request(r)
		_, _ = r.ReadByte()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	resp := upstream.NewPool(nil, nil).Do(ctx, s.listener.Addr().String(), postRequest("1"))
	must.Eq(t, upstream.TimedOut, resp.Outcome)
}

// Servers tell how long they keep an idle connection. A request sent at the end
// of that time may cross the server's close.
func TestIdleConnectionIsDroppedBeforeServerTimeout(t *testing.T) {
	s := serve(t, func(s *scriptedServer, _ int, c net.Conn, r *bufio.Reader) {
		for {
			id, ok := s.request(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := upstream.NewPool(nil, nil)
	s.do(t, p, postRequest("1"))
	s.do(t, p, postRequest("2"))
	must.Eq(t, 1, p.ConnectionsOpened())
	time.Sleep(550 * time.Millisecond)
	s.do(t, p, postRequest("3"))
	must.Eq(t, 2, p.ConnectionsOpened())
}

// Guards against opening a connection to a server that can't be reached with each request.
func TestRequestForKeptConnectionsOpensNone(t *testing.T) {
	s := serve(t, answerAll)
	p := upstream.NewPool(nil, nil)
	r := postRequest("1")
	r.KeptConnectionOnly = true
	resp := s.do(t, p, r)
	must.Eq(t, upstream.NotSent, resp.Outcome)
	must.ErrorIs(t, resp.Err, upstream.ErrNoKeptConnection)
	must.Eq(t, 0, s.opened.Load())

	p.Connect(context.Background(), s.listener.Addr().String())
	must.Eq(t, upstream.Completed, s.do(t, p, r).Outcome)
	must.Eq(t, 1, s.opened.Load())

	p.CloseAllIdle()
	must.Eq(t, upstream.NotSent, s.do(t, p, r).Outcome)
}

// Guards against taking a caller that leaves for a server that can't be reached.
func TestCancelledDialIsNotReported(t *testing.T) {
	var results []error
	p := upstream.NewPool(func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}, func(_ string, err error) { results = append(results, err) })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	must.Eq(t, upstream.NotSent, p.Do(ctx, "127.0.0.1:1", postRequest("1")).Outcome)
	must.SliceEmpty(t, results)
	must.Eq(t, upstream.NotSent, p.Do(context.Background(), "127.0.0.1:1", postRequest("2")).Outcome)
	must.Len(t, 1, results)
	must.ErrorIs(t, results[0], context.DeadlineExceeded)
}

// Guards against connections that are counted for ever, or in use beyond the bound.
func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, func(s *scriptedServer, n int, c net.Conn, r *bufio.Reader) {
		for {
			id, ok := s.request(r)
			if !ok {
				return
			}
			if id == "slow" {
				<-release
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	other := serve(t, answerAll)
	p := upstream.NewPool(nil, nil)
	p.SetMaxConnections(2)
	slow := make(chan upstream.Response)
	for range 2 {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			slow <- p.Do(ctx, s.listener.Addr().String(), postRequest("slow"))
		}()
	}
	for end := time.Now().Add(5 * time.Second); s.arrived.Load() < 2; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end))
	}
	resp := other.do(t, p, postRequest("1"))
	must.Eq(t, upstream.NotSent, resp.Outcome)
	must.ErrorIs(t, resp.Err, upstream.ErrTooManyConnections)
	close(release)
	must.Eq(t, upstream.Completed, (<-slow).Outcome)
	must.Eq(t, upstream.Completed, (<-slow).Outcome)
	// Idle connections, refused ones and broken ones make room.
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	for range 5 {
		must.Eq(t, upstream.Completed, other.do(t, p, postRequest("1")).Outcome)
		must.Eq(t, upstream.Completed, s.do(t, p, postRequest("2")).Outcome)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		must.Eq(t, upstream.NotSent, p.Do(ctx, closed.Addr().String(), postRequest("3")).Outcome)
		cancel()
	}
	p.CloseAllIdle()
	must.Eq(t, upstream.Completed, other.do(t, p, postRequest("1")).Outcome)
}
