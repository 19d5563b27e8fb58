package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// results has the status that callers got for each request, 0 for none.
type results struct {
	mu       sync.Mutex
	statuses map[string]int
}

// orderer sends orders one after the other on a kept connection.
func (f *fleet) orderer(n int, address string, end time.Time, r *results) {
	var c net.Conn
	var in *bufio.Reader
	for i := 0; time.Now().Before(end); i++ {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp4", address); err != nil {
				return
			}
			in = bufio.NewReader(c)
		}
		id := fmt.Sprintf("%04x%08x", n, i)
		status, retryAfter, keep := order(c, in, id)
		f.rec.printf("caller %d got %d for %s", n, status, id)
		r.mu.Lock()
		r.statuses[id] = status
		r.mu.Unlock()
		if !keep {
			_ = c.Close()
			c = nil
		}
		time.Sleep(retryAfter)
	}
	if c != nil {
		_ = c.Close()
	}
}

// order sends an order and returns the status of the answer, 0 if there is none, how long its caller
// is told to wait, and whether the connection may be kept.
func order(c net.Conn, in *bufio.Reader, id string) (status int, retryAfter time.Duration, keep bool) {
	const body = "one order"
	_ = c.SetDeadline(time.Now().Add(7 * time.Second))
	_, err := fmt.Fprintf(c, "POST /orders/a HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 6000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		host, headerAttempt, id, headerDeadline, apiKey, len(body), body)
	if err != nil {
		return 0, 0, false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, 0, false
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, false
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), !resp.Close && !strings.EqualFold(resp.Header.Get("Connection"), "close")
}
