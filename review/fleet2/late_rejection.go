package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["late-rejection"] = lateRejection }

const (
	// garbleShare is the share of the answers of the faulty targets of which a second copy follows.
	garbleShare = 0.03
	// garbleTime is how long they do so.
	garbleTime = 5 * time.Second
	// targetCount is the number of targets, each with two slots and two places to wait;
	// garbledTargets, 0.6 of them, are faulty.
	targetCount    = 30
	garbledTargets = 18
	lateInstances  = 3
	// orderCallers is the number of callers, each with one order at a time: two thirds more than
	// there are places.
	orderCallers = 200
)

// lateRejection has more callers than the targets have room for, so that these reject requests as
// not executed. For some seconds a share of the answers, rejections too, is sent a second time,
// late. No order may run twice, or run and be reported as not run.
func lateRejection(f *fleet, trouble bool) (bool, error) {
	if err := f.putConfig(7, []string{apiKey}, route("orders", "/orders/", "non_idempotent", "abonelik", 4, 2, 2)); err != nil {
		return false, err
	}
	var active sync.Mutex
	garbling := false
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range targetCount {
		t, err := newTarget(f.rec, fmt.Sprintf("i-%d", i), "abonelik", 2, 2, 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		if i < garbledTargets {
			t.extra = func() bool {
				active.Lock()
				defer active.Unlock()
				return garbling && rng.Float64() < garbleShare
			}
		}
		f.register(t)
	}
	if err := f.startInstances(lateInstances); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	results := &results{statuses: make(map[string]int)}
	var wg sync.WaitGroup
	end := time.Now().Add(garbleTime + 4*time.Second)
	for n := range orderCallers {
		wg.Go(func() { f.orderer(n, f.address(n%lateInstances, portCallers), end, results) })
	}
	time.Sleep(2 * time.Second)
	active.Lock()
	garbling = trouble
	active.Unlock()
	f.rec.printf("second answers: %v", trouble)
	time.Sleep(garbleTime)
	active.Lock()
	garbling = false
	active.Unlock()
	wg.Wait()
	return f.judgeOrders(results), nil
}

// results has the status that callers got for each request, 0 for none.
type results struct {
	mu       sync.Mutex
	statuses map[string]int
}

// judgeOrders reports whether an order ran twice, or ran and was reported as not run.
func (f *fleet) judgeOrders(r *results) (broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	twice, refused := 0, 0
	for id, status := range r.statuses {
		n := f.runsOf(id)
		if n > 1 {
			twice++
			f.rec.printf("TWICE: %s ran %d times, its caller got %d", id, n, status)
		}
		if n > 0 && (status == 429 || status == 503 || status == 408 || status == 421) {
			refused++
			f.rec.printf("REFUSED: %s ran %d times, its caller got %d", id, n, status)
		}
	}
	sheds, extras := 0, 0
	for _, t := range f.targets {
		sheds, extras = sheds+t.sheds, extras+t.extras
	}
	f.rec.printf("%d requests, %d rejected by targets, %d second answers; %d ran twice, %d ran and were refused",
		len(r.statuses), sheds, extras, twice, refused)
	return twice+refused > 0
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
