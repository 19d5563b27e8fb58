package attempt

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/wire"
)

func newTestSender(t *testing.T) *Sender {
	s := NewSender(Settings{MaxBufferedBytes: 1 << 10, ConnectTimeout: time.Second, IdleTimeout: time.Second, ConnectionsPerServer: 4})
	t.Cleanup(s.Close)
	return s
}

func newTestRequest(address, method, body string) Request {
	b, err := ReadBody(strings.NewReader(body), int64(len(body)), 1<<10)
	if err != nil {
		panic(err)
	}
	return Request{
		Attempt: "a1", Address: address, Method: method, URI: "/orders/1?x=1",
		Header: http.Header{
			"Authorization":       {"Bearer fsk_secret"},
			"Idempotency-Key":     {"op1"},
			"Connection":          {"X-Hop"},
			"X-Hop":               {"1"},
			"X-Kept":              {"1"},
			"Foxtailspoke-Forged": {"1"},
		},
		Body: b, Workspace: "w", Operation: "op1", Timeout: 2 * time.Second,
	}
}

// startRawServer listens on a local port and calls script with the header of
// each request. It counts the requests.
func startRawServer(t *testing.T, script func(n int32, conn net.Conn, header string)) (string, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, &requests, script)
		}
	}()
	return l.Addr().String(), &requests
}

func serveRaw(conn net.Conn, requests *atomic.Int32, script func(int32, net.Conn, string)) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		var header strings.Builder
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			header.WriteString(line)
			if line == "\r\n" {
				break
			}
		}
		script(requests.Add(1), conn, header.String())
	}
}

func TestResults(t *testing.T) {
	cases := []struct {
		name, response string
		want           Result
	}{
		{"complete", "HTTP/1.1 200 OK\r\nFoxtailspoke-Attempt: a1\r\nContent-Length: 2\r\n\r\nok", Answered},
		{"id of another attempt", "HTTP/1.1 200 OK\r\nFoxtailspoke-Attempt: a0\r\nContent-Length: 2\r\n\r\nok", Mismatched},
		{"no attempt id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Mismatched},
		{"two attempt ids", "HTTP/1.1 200 OK\r\nFoxtailspoke-Attempt: a1\r\nFoxtailspoke-Attempt: a0\r\nContent-Length: 2\r\n\r\nok", Mismatched},
		{"truncated body", "HTTP/1.1 200 OK\r\nFoxtailspoke-Attempt: a1\r\nContent-Length: 9\r\n\r\nok", Incomplete},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nFoxtailspoke-Attempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", Incomplete},
		{"delimited by close", "HTTP/1.1 200 OK\r\nFoxtailspoke-Attempt: a1\r\nConnection: close\r\n\r\nok", Incomplete},
		{"refused", "HTTP/1.1 503 Busy\r\nFoxtailspoke-Attempt: a1\r\nFoxtailspoke-Outcome: not-run\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", Refused},
		{"closed without response", "", ConnectionLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, _ := startRawServer(t, func(_ int32, conn net.Conn, _ string) {
				_, _ = io.WriteString(conn, c.response)
				_ = conn.Close()
			})
			o := newTestSender(t).Send(context.Background(), newTestRequest(address, http.MethodPost, "x"))
			must.Eq(t, c.want, o.Result, must.Sprint(o.Err))
			must.Eq(t, c.want == Refused, o.ProvedNotRun())
		})
	}
}

// Guards against responses with an invalid status or field name that are passed on, with a body
// that is framed otherwise than the server meant.
func TestMalformedResponsesAreNoResult(t *testing.T) {
	const id = "Foxtailspoke-Attempt: a1\r\n"
	for _, response := range []string{
		"HTTP/1.1 000 X\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 099 X\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n" + id + "Bad name: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\nTransfer-Encoding : chunked\r\n\r\nok",
		"HTTP/1.1 101 Switching Protocols\r\n" + id + "Content-Length: 2\r\n\r\nok",
	} {
		address, _ := startRawServer(t, func(_ int32, conn net.Conn, _ string) {
			_, _ = io.WriteString(conn, response)
			_ = conn.Close()
		})
		o := newTestSender(t).Send(context.Background(), newTestRequest(address, http.MethodPost, "x"))
		must.Eq(t, ConnectionLost, o.Result, must.Sprintf("%q", response))
		must.False(t, o.ProvedNotRun())
	}
}

// Guards against a duplicate execution: the backend server reads a request on a
// kept-alive connection and closes it without a response. Because of the
// Idempotency-Key, http.Transport would resend a request without a body by
// itself.
func TestRequestOnClosedKeepAliveConnectionIsSentOnce(t *testing.T) {
	address, requests := startRawServer(t, func(n int32, conn net.Conn, _ string) {
		if n == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nFoxtailspoke-Attempt: a1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		_ = conn.Close()
	})
	s := newTestSender(t)
	must.Eq(t, Answered, s.Send(context.Background(), newTestRequest(address, http.MethodPost, "")).Result)
	o := s.Send(context.Background(), newTestRequest(address, http.MethodPost, ""))
	must.Eq(t, ConnectionLost, o.Result)
	must.False(t, o.ProvedNotRun())
	must.Eq(t, 2, requests.Load())
}

func TestKeyAndHopByHopHeadersAreNotForwarded(t *testing.T) {
	headers := make(chan string, 2)
	address, _ := startRawServer(t, func(_ int32, conn net.Conn, header string) {
		headers <- header
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\nFoxtailspoke-Attempt: a1\r\n\r\n")
	})
	s := newTestSender(t)
	s.Send(context.Background(), newTestRequest(address, http.MethodPost, ""))
	header := <-headers
	for _, removed := range []string{"fsk_secret", "Idempotency-Key", "X-Hop", "Forged", "User-Agent"} {
		must.StrNotContains(t, header, removed)
	}
	for _, kept := range []string{"POST /orders/1?x=1 ", "X-Kept: 1", "Foxtailspoke-Workspace: w", "Foxtailspoke-Operation: op1"} {
		must.StrContains(t, header, kept)
	}
	forward := newTestRequest(address, http.MethodPost, "")
	forward.Forward = true
	s.Send(context.Background(), forward)
	must.StrContains(t, <-headers, "fsk_secret")
}

// Guards against sending a request after its API key was revoked: the process is
// suspended after the decision to send, on a new or a kept-alive connection.
// Nothing must be written on resuming, which proves the request not executed.
func TestExpiredDecisionWritesNothing(t *testing.T) {
	address, requests := startRawServer(t, func(_ int32, conn net.Conn, _ string) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nFoxtailspoke-Attempt: a1\r\nContent-Length: 0\r\n\r\n")
	})
	s := newTestSender(t)
	for _, body := range []string{"x", ""} {
		r := newTestRequest(address, http.MethodPost, body)
		r.Valid = func() bool { return false }
		o := s.Send(context.Background(), r)
		must.Eq(t, Expired, o.Result, must.Sprint(o.Err))
		must.True(t, o.ProvedNotRun())
		must.Eq(t, 0, requests.Load())
	}
	r := newTestRequest(address, http.MethodPost, "")
	r.Valid = func() bool { return true }
	must.Eq(t, Answered, s.Send(context.Background(), r).Result)
	r.Valid = func() bool { return false }
	must.Eq(t, Expired, s.Send(context.Background(), r).Result)
	must.Eq(t, 1, requests.Load())
}

func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	o := newTestSender(t).Send(context.Background(), newTestRequest(l.Addr().String(), http.MethodPost, "x"))
	must.Eq(t, ConnectFailed, o.Result)
	must.True(t, o.ProvedNotRun())
}

// The backend server receives the request and does not respond. A timeout leaves
// the outcome unknown; a cancellation after the caller disconnected must be
// classified differently because it is no evidence against the backend server.
func TestTimeoutIsDistinguishedFromCancellation(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	arrived := make(chan struct{}, 2)
	address, _ := startRawServer(t, func(int32, net.Conn, string) {
		arrived <- struct{}{}
		<-release
	})
	r := newTestRequest(address, http.MethodPost, "x")
	r.Timeout = 30 * time.Millisecond
	must.Eq(t, TimedOut, newTestSender(t).Send(context.Background(), r).Result)
	<-arrived
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	must.Eq(t, Cancelled, newTestSender(t).Send(ctx, newTestRequest(address, http.MethodPost, "x")).Result)
}

func TestTruncatedStreamedResponseReturnsError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
		w.Header().Set("Content-Length", "5000")
		_, _ = w.Write(make([]byte, 4000))
	}))
	defer server.Close()
	o := newTestSender(t).Send(context.Background(), newTestRequest(server.Listener.Addr().String(), http.MethodGet, ""))
	must.Eq(t, Answered, o.Result)
	must.NotNil(t, o.Rest)
	_, err := io.ReadAll(o.Rest)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.NoError(t, o.Rest.Close())
}

// A streamed response may take longer in total than the timeout and must arrive
// complete. A response that stalls for the timeout must be aborted.
func TestTimeoutBoundsStallOfStreamedResponse(t *testing.T) {
	for name, pause := range map[string]time.Duration{"steady": 60 * time.Millisecond, "stalled": time.Hour} {
		t.Run(name, func(t *testing.T) {
			released := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
				for range 8 {
					_, _ = w.Write(make([]byte, 2000))
					_ = http.NewResponseController(w).Flush()
					select {
					case <-time.After(pause):
					case <-released:
						return
					}
				}
			}))
			defer server.Close()
			defer close(released)
			r := newTestRequest(server.Listener.Addr().String(), http.MethodGet, "")
			r.Timeout = 300 * time.Millisecond
			o := newTestSender(t).Send(context.Background(), r)
			must.NotNil(t, o.Rest)
			rest, err := io.ReadAll(o.Rest)
			must.NoError(t, o.Rest.Close())
			must.Eq(t, name == "steady", err == nil, must.Sprint(err))
			must.Eq(t, name == "steady", len(o.Body)+len(rest) == 16000)
		})
	}
}

func TestUnbufferedBodyIsSentOnce(t *testing.T) {
	large := strings.Repeat("p", 5000)
	b, err := ReadBody(strings.NewReader(large), int64(len(large)), 1000)
	must.NoError(t, err)
	must.False(t, b.Buffered())
	must.True(t, b.Available())
	first, err := b.Open()
	must.NoError(t, err)
	got, err := io.ReadAll(first)
	must.NoError(t, err)
	must.Eq(t, large, string(got))
	must.False(t, b.Available())
	_, err = b.Open()
	must.ErrorIs(t, err, ErrBodyConsumed)
	must.Eq(t, fmt.Sprint(len(large)), fmt.Sprint(b.Length()))
}
