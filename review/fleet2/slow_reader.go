package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

func init() { cases["slow-reader"] = slowReader }

const (
	// answerBytes is the length of the answers, readBytes how much of it the callers read at a
	// time, with readPause in between.
	answerBytes = 15 << 20
	readBytes   = 5 << 20
	readPause   = 2000 * time.Millisecond
	// slowReaders is the number of callers.
	slowReaders = 3
	// segmentBytes is the segment size of the callers' connections, that of an Ethernet, and
	// receiveBytes the size of their receive buffers.
	segmentBytes = 1460
	receiveBytes = 64 << 10
)

// slowReader has callers that read their answers slowly while the instance that they use is
// stopped as planned. All of them would have read the whole answer before the end of the grace
// period.
func slowReader(f *fleet, trouble bool) (bool, error) {
	if err := f.putConfig(7, []string{apiKey}, route("designs", "/designs/", "idempotent", "artwork", 10, 2.5, 2)); err != nil {
		return false, err
	}
	for i := range 3 {
		t, err := newTarget(f.rec, fmt.Sprintf("i-%d", i), "artwork", 6, 6, 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		t.bodyBytes = answerBytes
		f.register(t)
	}
	if err := f.startInstances(2); err != nil {
		return false, err
	}
	// Everything is undisturbed for contact_s before the first request.
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	incomplete := 0
	for n := range slowReaders {
		wg.Go(func() {
			if !f.readSlowly(n, f.address(0, portCallers)) {
				mu.Lock()
				incomplete++
				mu.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.signal(0, syscall.SIGTERM)
		time.AfterFunc(graceS*time.Second, func() {
			_ = f.instances[0].cmd.Process.Kill()
		})
	}
	wg.Wait()
	f.rec.printf("%d of %d answers are incomplete", incomplete, slowReaders)
	return incomplete > 0, nil
}

// readSlowly sends a request and reads its answer slowly. It reports whether the answer was
// complete.
func (f *fleet) readSlowly(n int, address string) bool {
	id := fmt.Sprintf("%016x", n+1)
	c, err := dialSlowReader(address)
	if err != nil {
		f.rec.printf("caller %d: %v", n, err)
		return true
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	f.rec.printf("caller %d sends %s", n, id)
	_, err = fmt.Fprintf(c, "GET /designs/a HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 12000\r\nAuthorization: Token %s\r\n\r\n",
		host, headerAttempt, id, headerDeadline, apiKey)
	if err != nil {
		f.rec.printf("caller %d: %v", n, err)
		return true
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		f.rec.printf("caller %d got no answer to %s, which ran %d times: %v", n, id, f.runsOf(id), err)
		return false
	}
	total := int64(0)
	for {
		read, err := io.CopyN(io.Discard, resp.Body, readBytes)
		total += read
		f.rec.printf("caller %d has read %d of %d bytes of the answer to %s: status %d, %v", n, total, resp.ContentLength, id, resp.StatusCode, err)
		if total == resp.ContentLength {
			return true
		}
		if err != nil {
			return false
		}
		time.Sleep(readPause)
	}
}

// dialSlowReader opens a connection with the segments of an Ethernet and a small receive buffer.
func dialSlowReader(address string) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		cerr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes)
			if err == nil {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
			}
		})
		if cerr != nil {
			return cerr
		}
		return err
	}}
	return d.DialContext(context.Background(), "tcp4", address)
}
