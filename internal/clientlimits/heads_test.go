package clientlimits_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against instances that run out of memory while callers send heads of many short lines.
func TestUnfinishedHeadsOfCallers(t *testing.T) {
	for name, lines := range map[string]string{"distinct": distinctLines(unfinishedBytes), "equal": equalLines(unfinishedBytes)} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1, 0, startServer(t))
			crowd(f.address(0, portCallers), crowdSize, sendAndHold(begin("/lookup/1")+lines))
			f.verify()
		})
	}
}

// Guards against instances that run out of memory because of heads on the ports that aren't the
// callers'.
func TestUnfinishedHeadsOnOtherPorts(t *testing.T) {
	for _, port := range []int{portDirectory, portReadiness, portForwarding, portMetrics} {
		t.Run(portNames[port], func(t *testing.T) {
			f := startFleet(t, 1, 0, startServer(t))
			crowd(f.address(0, port), crowdSize, sendAndHold(begin("/api/readyz")+distinctLines(unfinishedBytes)))
			f.verify()
			f.awaitStatus(0, portReadiness, "/api/readyz")
		})
	}
}

// Guards against instances that run out of memory because of whole heads of many short lines, the
// requests of which are answered.
func TestWholeHeadsAgainAndAgain(t *testing.T) {
	head := func(path string) string { return begin(path) + distinctLines(wholeBytes-200) + "\r\n" }
	for name, c := range map[string]struct {
		port     int
		sent     string
		requests int
	}{
		"look-ups":       {portCallers, head("/lookup/1"), 1},
		"slow requests":  {portCallers, head("/slow/1"), 1},
		"pipelined":      {portCallers, strings.Repeat(head("/lookup/1"), 6), 6},
		"unknown routes": {portCallers, head("/unknown/1"), 1},
		"directory":      {portDirectory, head("/api/resolve?name=h&region=r&zone=dc"), 1},
		"forwarding":     {portForwarding, head("/lookup/1"), 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1, 0, startServer(t))
			crowd(f.address(0, c.port), crowdSize, func(conn net.Conn) {
				in := bufio.NewReader(conn)
				for {
					if _, err := io.WriteString(conn, c.sent); err != nil {
						return
					}
					for range c.requests {
						if !skipResponse(in) {
							return
						}
					}
				}
			})
			f.verify()
		})
	}
}

// Guards against instances that run out of memory while all ports have crowds and all connections of
// callers are in use.
func TestCrowdsOnAllPorts(t *testing.T) {
	f := startFleet(t, 1, 0, startServer(t))
	var wg sync.WaitGroup
	for _, port := range []int{portCallers, portDirectory, portForwarding, portReadiness, portMetrics} {
		wg.Go(func() {
			crowd(f.address(0, port), allPortsCrowd, sendAndHold(begin("/lookup/1")+distinctLines(wholeBytes)))
		})
	}
	wg.Go(func() { crowd(f.address(0, portCallers), silentConns, sendAndHold("")) })
	wg.Wait()
	f.verify()
}

// Guards against instances that allocate what a client on the instances' own port announces.
func TestAnnouncedLengthsOnPeersPort(t *testing.T) {
	f := startFleet(t, 1, 0, startServer(t))
	// A message of package gob of 9,000,000 bytes, of which only the first are sent.
	message := "\xfd\x89\x54\x40" + strings.Repeat("x", 100)
	crowd(f.address(0, portPeers), crowdSize, sendAndHold(message))
	f.verify()
}

// Guards against instances that run out of memory because of bodies that are too small to be refused.
func TestUnfinishedSmallBodies(t *testing.T) {
	f := startFleet(t, 1, 0, startServer(t))
	request := strings.Replace(begin("/order/1"), "GET", "POST", 1) + "Content-Length: 60001\r\n\r\n" + strings.Repeat("x", 60000)
	crowd(f.address(0, portCallers), silentConns, sendAndHold(request))
	f.verify()
}

// skipResponse reads a response and reports whether the connection stays open.
func skipResponse(in *bufio.Reader) bool {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close
}

// Guards against instances that run out of memory because of the trailers of bodies.
func TestTrailersOfManyLines(t *testing.T) {
	request := strings.Replace(begin("/slow/1"), "GET", "POST", 1) + "Transfer-Encoding: chunked\r\n\r\n0\r\n" +
		strings.ReplaceAll(distinctLines(3<<10), "\n", "\r\n") + "\r\n"
	f := startFleet(t, 1, 0, startServer(t))
	crowd(f.address(0, portCallers), crowdSize, sendAndHold(request))
	f.verify()
}

// Guards against instances that run out of memory because of clients that send without end.
func TestBytesWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ beginning, repeated string }{
		"one header line":           {begin("/lookup/1") + "X-A: ", "x"},
		"header lines":              {begin("/lookup/1"), "a:\n"},
		"blank lines":               {"", "\r\n"},
		"blank lines, bare":         {"", "\n"},
		"request line":              {"GET /", "x"},
		"continued lines":           {begin("/lookup/1") + "X-A: b\r\n", " c\r\n"},
		"blank lines after request": {begin("/lookup/1") + "\r\n", "\r\n"},
		"chunk extension":           {"POST /order/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1, 0, startServer(t))
			crowd(f.address(0, portCallers), crowdSize, sendWithoutEnd(c.beginning, c.repeated))
			f.verify()
		})
	}
}

// Guards against instances that run out of memory because of the heads that servers send.
func TestHeadsOfServers(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	head := "HTTP/1.1 200 OK\r\n" + distinctLines(unfinishedBytes)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveHead(c, head)
		}
	}()
	f := startFleet(t, 1, 0, l.Addr().String())
	crowd(f.address(0, portCallers), crowdSize, sendAndHold(begin("/lookup/bad")+"\r\n"))
	f.verify()
}

// serveHead answers ordinary requests, and others with a head that is never finished.
func serveHead(c net.Conn, head string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("X-Attempt-Id"))
		if r.URL.Path == "/lookup/bad" {
			answer = head
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// Guards against limits that refuse a single request within the limits of the configuration.
func TestLargestHeadsAreServedInCalm(t *testing.T) {
	f := startFleet(t, 1, 0, startServer(t))
	order := "POST /order/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nX-Attempt-Id: %d\r\nX-Deadline-Ms: 10000\r\n"
	for i, lines := range []string{
		distinctLines(maxHeaderBytes), equalLines(maxHeaderBytes), strings.Repeat("X-A: 1\r\n", maxHeaderBytes),
		"X-A: " + strings.Repeat("x", maxHeaderBytes), strings.Repeat("a: "+strings.Repeat("x", 100)+"\r\n", maxHeaderBytes/100),
	} {
		head := fmt.Sprintf(order, i)
		// The head ends at a whole line and takes exactly maxHeaderBytes.
		lines = lines[:maxHeaderBytes-len(head)-len("X-Fill: \r\n\r\n")]
		whole := lines[:strings.LastIndexByte(lines, '\n')+1]
		fill := len(lines) - len(whole)
		head += whole + "X-Fill: " + strings.Repeat("f", fill) + "\r\n\r\n"
		must.Eq(t, maxHeaderBytes, len(head))
		must.Eq(t, http.StatusOK, statusOf(t, f, head+"ok", 0), must.Sprintf("lines %d", i))
	}
	must.Eq(t, http.StatusOK, statusOf(t, f, fmt.Sprintf(order, 9)+"\r\nok", 2500*time.Millisecond))
	f.verify()
}

// statusOf sends a request on a connection of its own, half of it after a pause.
func statusOf(t *testing.T, f *fleet, request string, pause time.Duration) int {
	t.Helper()
	c, err := net.Dial("tcp4", f.address(0, portCallers))
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, request[:len(request)/2])
	must.NoError(t, err)
	time.Sleep(pause)
	_, err = io.WriteString(c, request[len(request)/2:])
	must.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	return resp.StatusCode
}
