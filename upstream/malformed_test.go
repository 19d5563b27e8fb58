package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/upstream"
)

const (
	// uploadBytes is more than the buffers of both sides take, so that the upload is still being
	// written when the response arrives.
	uploadBytes = 8 << 20
	// resetAttempts is the number of uploads, with resets up to maxResetDelay after the response.
	resetAttempts = 200
	maxResetDelay = 9 * time.Millisecond
)

func uploadRequest() upstream.Request {
	r := postRequest("1")
	r.Body = make([]byte, uploadBytes)
	return r
}

// upload sends a request to a server that runs respond once it has read the head.
func upload(t *testing.T, r upstream.Request, respond func(c net.Conn, in *bufio.Reader, head *http.Request)) upstream.Response {
	t.Helper()
	s := serve(t, func(_ *scriptedServer, _ int, c net.Conn, in *bufio.Reader) {
		head, err := http.ReadRequest(in)
		if err == nil {
			respond(c, in, head)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return upstream.NewPool(nil, nil).Do(ctx, s.listener.Addr().String(), r)
}

// Guards against a response without length that is reset on the way and passed on as complete.
func TestResetResponseWithoutLengthIsIncomplete(t *testing.T) {
	t.Parallel()
	completed := 0
	for i := range resetAttempts {
		resp := upload(t, uploadRequest(), func(c net.Conn, _ *bufio.Reader, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"+strings.Repeat("x", 16))
			time.Sleep(maxResetDelay * time.Duration(i) / resetAttempts)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		if resp.Outcome == upstream.Completed {
			completed++
		}
	}
	must.Zero(t, completed, must.Sprintf("of %d", resetAttempts))
}

// Guards against early responses that are ready and not delivered.
func TestEarlyResponseToAnUploadIsDelivered(t *testing.T) {
	t.Parallel()
	for name, respond := range map[string]func(c net.Conn, in *bufio.Reader, head *http.Request){
		"with length": func(c net.Conn, _ *bufio.Reader, _ *http.Request) {
			_, _ = io.WriteString(c, responseText("1", "ok"))
		},
		"chunked": func(c net.Conn, _ *bufio.Reader, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		},
		"without length, the upload read": func(c net.Conn, _ *bufio.Reader, head *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok")
			_, _ = io.Copy(io.Discard, head.Body)
		},
		"without length, half closed": func(c net.Conn, _ *bufio.Reader, head *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok")
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, head.Body)
		},
	} {
		for range 25 {
			resp := upload(t, uploadRequest(), respond)
			must.Eq(t, upstream.Completed, resp.Outcome, must.Sprintf("%s: %v", name, resp.Err))
			must.Eq(t, "ok", string(resp.Body))
		}
	}
}

// respondRaw returns the outcome of a request that a server answers with the given bytes.
func respondRaw(t *testing.T, text string) upstream.Response {
	t.Helper()
	return upload(t, postRequest("1"), func(c net.Conn, _ *bufio.Reader, head *http.Request) {
		_, _ = io.Copy(io.Discard, head.Body)
		_, _ = io.WriteString(c, text)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
}

// Guards against a body that is taken for the next response, as its own status is none.
func TestResponseWithInvalidStatusIsBroken(t *testing.T) {
	t.Parallel()
	inner := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nno"
	for _, status := range []string{"000", "001", "099"} {
		resp := respondRaw(t, "HTTP/1.1 "+status+" X\r\nX-Id: 1\r\nContent-Length: 50\r\n\r\n"+inner)
		must.Eq(t, upstream.Broken, resp.Outcome, must.Sprintf("status %s gave %d %q", status, resp.Status, resp.Body))
	}
	// Nothing asked for another protocol.
	resp := respondRaw(t, "HTTP/1.1 101 Switching Protocols\r\nX-Id: 1\r\n\r\nxx")
	must.Eq(t, upstream.Broken, resp.Outcome)
	resp = respondRaw(t, "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n"+responseText("1", "ok"))
	must.Eq(t, "ok", string(resp.Body))
}

// Guards against responses that are passed on though a field name is invalid, with that field or
// with a body that is framed otherwise than the server meant.
func TestResponseWithInvalidFieldNameIsBroken(t *testing.T) {
	t.Parallel()
	for _, field := range []string{
		"Bad name: 1", "Bad\x01name: 1", "Bad\tname: 1", "Bad\x7fname: 1", "X-A : 1", "X-A\t: 1", ": 1", "X-A: \x01", "X\x80: 1",
	} {
		resp := respondRaw(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"+field+"\r\nContent-Length: 2\r\n\r\nok")
		must.Eq(t, upstream.Broken, resp.Outcome, must.Sprintf("%q", field))
		resp = respondRaw(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+field+"\r\n\r\n")
		must.Eq(t, upstream.Broken, resp.Outcome, must.Sprintf("trailer %q", field))
		resp = respondRaw(t, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\n"+responseText("1", "ok"))
		must.Eq(t, upstream.Broken, resp.Outcome, must.Sprintf("interim response with %q", field))
	}
	resp := respondRaw(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length : 2\r\n\r\nokmore")
	must.Eq(t, upstream.Broken, resp.Outcome, must.Sprintf("body %q", resp.Body))
	resp = respondRaw(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	must.Eq(t, upstream.Broken, resp.Outcome, must.Sprintf("body %q", resp.Body))
}
