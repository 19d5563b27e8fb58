package upstream_test

import (
	"bufio"
	"context"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/upstream"
)

// endlessResponses has the beginning of a response and the bytes that follow it without end.
var endlessResponses = map[string]struct{ begin, repeated string }{
	"status line":        {"", "x"},
	"reason":             {"HTTP/1.1 200 ", "x"},
	"header line":        {"HTTP/1.1 200 OK\r\nX-A: ", "x"},
	"header lines":       {"HTTP/1.1 200 OK\r\n", "X-A: some value\r\n"},
	"interim responses":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"body to the end":    {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "x"},
	"chunks of one byte": {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"long chunks":        {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
	"chunk extension":    {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailers":           {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: some value\r\n"},
	"long body":          {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 99999999999\r\n\r\n", "x"},
}

const (
	// endlessConns is the number of responses without end at a time.
	endlessConns = 12
	// maxEndlessHeap is about half of the memory of the smallest machines, 184 MB.
	maxEndlessHeap = 96 << 20
	// maxEndlessBytes bounds what a server can send before the attempt ends: the longest body
	// and what the buffers of both sides hold.
	maxEndlessBytes = 32 << 20
	// endlessDeadline is the deadline of the requests. They must not end by it, however slow
	// the machine is.
	endlessDeadline = 8 * time.Second
)

// Guards against responses without end that use up the memory of an instance, or hold requests
// until their deadline.
func TestEndlessResponsesEndEarly(t *testing.T) {
	for name, r := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			block := []byte(strings.Repeat(r.repeated, 64<<10/len(r.repeated)))
			s := serve(t, func(s *scriptedServer, _ int, c net.Conn, in *bufio.Reader) {
				s.request(in)
				_, err := c.Write([]byte(r.begin))
				for n := 0; err == nil; n += len(block) {
					if n > maxEndlessBytes {
						t.Errorf("the server could send %d bytes", n)
						return
					}
					_, err = c.Write(block)
				}
			})
			p := upstream.NewPool(nil, nil)
			peak := peakHeap()
			start := time.Now()
			var wg sync.WaitGroup
			for range endlessConns {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), endlessDeadline)
					defer cancel()
					if resp := p.Do(ctx, s.listener.Addr().String(), postRequest("1")); resp.Outcome != upstream.Broken {
						t.Errorf("outcome %v (%v)", resp.Outcome, resp.Err)
					}
				})
			}
			wg.Wait()
			took, heap := time.Since(start), peak()
			t.Logf("%d MB, %v", heap>>20, took)
			must.Less(t, maxEndlessHeap, heap)
		})
	}
}

// Guards against a pool that keeps the share of its memory that failed responses had.
func TestLongResponsesFollowEndlessOnes(t *testing.T) {
	long := strings.Repeat("x", 3<<20)
	s := serve(t, func(s *scriptedServer, n int, c net.Conn, in *bufio.Reader) {
		id, _ := s.request(in)
		_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n\r\n" + long))
		for err == nil && n <= endlessConns {
			_, err = c.Write([]byte(long))
		}
	})
	p := upstream.NewPool(nil, nil)
	for range endlessConns {
		must.Eq(t, upstream.Broken, s.do(t, p, postRequest("1")).Outcome)
	}
	for range 20 {
		resp := s.do(t, p, postRequest("1"))
		must.Eq(t, upstream.Completed, resp.Outcome)
		must.Eq(t, len(long), len(resp.Body))
	}
}

// peakHeap measures the heap until the returned function is called, which returns its peak in bytes.
func peakHeap() func() uint64 {
	runtime.GC()
	stop, done := make(chan struct{}), make(chan uint64)
	go func() {
		peak := uint64(0)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
			select {
			case <-stop:
				done <- peak
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(stop)
		return <-done
	}
}
