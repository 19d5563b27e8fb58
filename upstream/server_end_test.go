package upstream_test

import (
	"bufio"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/upstream"
)

// Guards against taking a server that resets a connection and lives on for one that ended.
func TestEndOfTheServerIsToldFromAResetConnection(t *testing.T) {
	for _, ends := range []bool{false, true} {
		s := serve(t, func(s *scriptedServer, _ int, c net.Conn, r *bufio.Reader) {
			s.request(r)
			if ends {
				_ = s.listener.Close()
			}
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		p := upstream.NewPool(nil, nil)
		r := postRequest("1")
		r.DetectEnd = true
		resp := s.do(t, p, r)
		must.Eq(t, upstream.Broken, resp.Outcome)
		must.Eq(t, ends, resp.ServerEnded)
	}
}

// Guards against taking a server that sends something else than a response for one that ended.
func TestServerThatSendsNoResponseHasNotEnded(t *testing.T) {
	s := serve(t, func(s *scriptedServer, _ int, c net.Conn, r *bufio.Reader) {
		s.request(r)
		_ = s.listener.Close()
		_, _ = c.Write([]byte("hello\r\n\r\n"))
		_, _ = r.ReadByte()
	})
	r := postRequest("1")
	r.DetectEnd = true
	resp := s.do(t, upstream.NewPool(nil, nil), r)
	must.Eq(t, upstream.Broken, resp.Outcome)
	must.False(t, resp.ServerEnded)
}
