package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lateAnswerInstances = 3
	lateAnswerTargets   = 5
	// The callers send more at a time than the slots and the queues of the targets hold.
	lateAnswerCallers = 60
	targetSlots       = 2
	targetQueue       = 4
	// orderWork is the time that a target works on a request.
	orderWork = 50 * time.Millisecond
	// doubleShare and doubleFor are the dose of the site's entry
	// { kind = "garble", how = "extra late", share = 0.6, x = 0.03, for_s = 5.0 }; three of five
	// targets are 0.6 of them.
	doubleShare   = 0.03
	doubleTargets = 3
	doubleFor     = 5 * time.Second
	doubleGap     = 3 * time.Second
	doubleRounds  = 8
	// retryWait is what a caller waits after a refusal.
	retryWait = 500 * time.Millisecond
)

func init() { cases["late-answer"] = lateAnswer }

// lateAnswer sends requests that may run once at most, while some targets send some of their
// answers twice, the second one late.
func lateAnswer(r *record, trouble bool) (result, error) {
	f, err := newFleet(r, lateAnswerInstances)
	if err != nil {
		return result{}, err
	}
	defer f.stopAll()
	if err := f.putConfig(orderConfig()); err != nil {
		return result{}, err
	}
	var targets []*target
	for i := range lateAnswerTargets {
		t, err := newTarget(f, fmt.Sprintf("i-%d", i), "orders", targetSlots, targetQueue)
		if err != nil {
			return result{}, err
		}
		t.work = orderWork
		targets = append(targets, t)
	}
	if err := f.startAll(); err != nil {
		return result{}, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served, rejected, failed atomic.Int64
	var mu sync.Mutex
	var refusedIDs []string
	for n := range lateAnswerCallers {
		wg.Go(func() {
			orders(r, f.address(n%lateAnswerInstances, portCallers), n, stop, func(id string, status int) {
				switch status {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					rejected.Add(1)
					mu.Lock()
					refusedIDs = append(refusedIDs, id)
					mu.Unlock()
				default:
					failed.Add(1)
				}
			})
		})
	}
	time.Sleep(3 * time.Second)
	for range doubleRounds {
		for _, t := range targets[:doubleTargets] {
			if trouble {
				t.setDoubleShare(doubleShare)
			}
		}
		time.Sleep(doubleFor)
		for _, t := range targets {
			t.setDoubleShare(0)
		}
		time.Sleep(doubleGap)
	}
	close(stop)
	wg.Wait()
	time.Sleep(lateAnswerWait)
	runs, answers, doubled := make(map[string]int), 0, 0
	for i, t := range targets {
		t.mu.Lock()
		for id, n := range t.runs {
			runs[id] += n
		}
		if i < doubleTargets {
			answers += t.answers
			doubled += t.doubled
		}
		t.mu.Unlock()
	}
	twice, refusedRun := 0, 0
	for id, n := range runs {
		if n > 1 {
			twice++
			r.line("TWICE: %s ran %d times", id, n)
		}
	}
	for _, id := range refusedIDs {
		if runs[id] > 0 {
			refusedRun++
			r.line("REFUSED: %s was answered as not run, and ran", id)
		}
	}
	r.say("%d answered 200, %d 503 or 429, %d otherwise; the faulty targets sent %d answers, %d of them twice", served.Load(), rejected.Load(), failed.Load(), answers, doubled)
	r.say("TWICE: %d requests ran more than once; REFUSED: %d were answered as not run and ran", twice, refusedRun)
	if served.Load() < 500 {
		return result{}, fmt.Errorf("only %d requests were served", served.Load())
	}
	return result{broken: twice > 0}, nil
}

// orderConfig is the desired state: one route whose requests may run once at most.
func orderConfig() map[string]any {
	return map[string]any{
		"version": "00000007",
		"routes": []any{map[string]any{
			"name": "r-orders", "host": "orders.example", "prefix": "/orders/", "route_kind": "non_idempotent", "timeout_s": 4, "aim_s": 2,
			"priority": 1, "service": "orders", "max_attempts": 2, "public": true,
		}},
		"services": []any{map[string]any{"name": "orders", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}

// orders sends requests one after the other on a kept connection until stop is closed.
func orders(rec *record, address string, caller int, stop <-chan struct{}, done func(id string, status int)) {
	var c net.Conn
	var in *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-time.After(time.Duration(rand.IntN(20)) * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp4", address, time.Second); err != nil {
				c = nil
				continue
			}
			in = bufio.NewReader(c)
		}
		id := fmt.Sprintf("%04x%012x", caller, n)
		rec.line("caller %d sends %s to %s", caller, id, address)
		status := order(c, in, id)
		rec.line("caller %d gets %d for %s", caller, status, id)
		done(id, status)
		if status != http.StatusOK {
			_ = c.Close()
			c = nil
			time.Sleep(retryWait)
		}
	}
}

// order sends one request and returns the status of its answer, 0 if there was none.
func order(c net.Conn, in *bufio.Reader, id string) int {
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /orders/2f HTTP/1.1\r\nHost: orders.example\r\n%s: %s\r\n%s: 6000\r\nContent-Length: 300\r\n\r\n%0300d", headerAttempt, id, headerDeadline, 0); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
