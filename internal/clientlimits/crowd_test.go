package clientlimits_test

import (
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crowdSize is the number of connections that misbehave at a time, and crowdTime how long.
	crowdSize = 300
	crowdTime = 4 * time.Second
	// allPortsCrowd is the size of each crowd where all ports have one.
	allPortsCrowd = 500
	// unfinishedBytes is the size of a head that is never finished; all instances accept it until a
	// configuration says otherwise.
	unfinishedBytes = 60 << 10
	// wholeBytes is the size of a whole head within the limits of the configuration.
	wholeBytes = 15 << 10
	// bufferBytes fill most of the buffer that net/http reads connections into.
	bufferBytes = 3900
)

// distinctLines returns header lines of 3 to 5 bytes with distinct names, of n bytes at least.
func distinctLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\n")
	}
	return b.String()
}

// equalLines returns header lines with the same name, of n bytes at least.
func equalLines(n int) string { return strings.Repeat("a:\n", n/3+1) }

// begin returns the beginning of a head.
func begin(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 10000\r\n"
}

// crowd runs connections to an address until crowdTime is over. Each one that ends is replaced.
func crowd(address string, size int, play func(c net.Conn)) {
	end := time.Now().Add(crowdTime)
	var wg sync.WaitGroup
	for range size {
		wg.Go(func() {
			for time.Now().Before(end) {
				c, err := net.DialTimeout("tcp4", address, time.Until(end))
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				_ = c.SetDeadline(end)
				play(c)
				_ = c.Close()
			}
		})
	}
	wg.Wait()
}

// sendAndHold sends bytes and holds the connection as long as it is open.
func sendAndHold(head string) func(net.Conn) {
	return func(c net.Conn) {
		if _, err := io.WriteString(c, head); err == nil {
			_, _ = io.Copy(io.Discard, c)
		}
	}
}

// sendWithoutEnd sends bytes again and again, whatever is answered.
func sendWithoutEnd(beginning, repeated string) func(net.Conn) {
	block := strings.Repeat(repeated, 16<<10/len(repeated))
	return func(c net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, c) }()
		_, err := io.WriteString(c, beginning)
		for err == nil {
			_, err = io.WriteString(c, block)
		}
	}
}
