package main

import (
	"bufio"
	"encoding/json"
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

const (
	headerAttempt  = "X-Attempt-Id"
	headerExpect   = "X-Expect-Instance"
	headerDeadline = "X-Deadline-Ms"

	beatInterval = 1500 * time.Millisecond
	// lateAnswerWait is when a late second answer is sent if no further request arrives.
	lateAnswerWait = 2 * time.Second
)

// target is a backend server. It follows PROTOCOL.md, "Targets", and the messages that
// "fleetbench wire" prints.
type target struct {
	id, service string
	slots       int
	// queue is the number of requests that wait for a slot; further ones are rejected.
	queue     int
	work      time.Duration
	bodyBytes int
	record    *record
	fleet     *fleet
	listener  net.Listener
	taken     chan struct{}

	mu sync.Mutex
	// runs has the number of times that each request ran here.
	runs map[string]int
	// doubleShare is the share of the answers that are sent a second time.
	doubleShare      float64
	answers, doubled int
	// held is the number of requests that run or wait.
	held int
}

func newTarget(f *fleet, id, service string, slots, queue int) (*target, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{
		id: id, service: service, slots: slots, queue: queue, work: 20 * time.Millisecond, record: f.record, fleet: f, listener: l,
		taken: make(chan struct{}, slots), runs: make(map[string]int), bodyBytes: 400,
	}
	go t.beat(time.Now().UnixMilli())
	go t.accept()
	return t, nil
}

func (t *target) beat(born int64) {
	for seq := 1; ; seq++ {
		b, err := json.Marshal(map[string]any{
			"service": t.service, "address": t.listener.Addr().String(), "zone": "zone-a", "version": "v1",
			"slots": t.slots, "state": "ready", "warmup_left_s": 0, "seq": seq, "born": born,
		})
		if err != nil {
			panic(err)
		}
		t.fleet.store.Put("servers", t.id, b)
		time.Sleep(beatInterval)
	}
}

func (t *target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

func (t *target) setDoubleShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.doubleShare = share
}

// serve serves a connection, one request at a time.
func (t *target) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	// late is a second answer that is still to be sent.
	late := ""
	for {
		if late != "" {
			_ = c.SetReadDeadline(time.Now().Add(lateAnswerWait))
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			if late != "" {
				_, _ = io.WriteString(c, late)
			}
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if late != "" {
			t.record.line("%s sends a late second answer, after %s has arrived on the connection", t.id, r.Header.Get(headerAttempt))
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		answer := t.answer(r)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if t.doubles() {
			late = answer
			t.record.line("%s will send its answer to %s twice: %s", t.id, r.Header.Get(headerAttempt), strings.SplitN(answer, "\r\n", 2)[0])
		}
	}
}

func (t *target) doubles() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers++
	if rand.Float64() >= t.doubleShare {
		return false
	}
	t.doubled++
	return true
}

// enter reports whether the target has a slot or a place in its queue for a request.
func (t *target) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held >= t.slots+t.queue {
		return false
	}
	t.held++
	return true
}

func (t *target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held--
}

// answer returns the bytes of the answer to a request, which runs unless it is rejected.
func (t *target) answer(r *http.Request) string {
	id := r.Header.Get(headerAttempt)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != t.id {
		return "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + t.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	if !t.enter() {
		t.record.line("%s is full and rejects %s", t.id, id)
		return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	defer t.leave()
	t.taken <- struct{}{}
	defer func() { <-t.taken }()
	t.mu.Lock()
	t.runs[id]++
	t.mu.Unlock()
	t.record.line("%s runs %s", t.id, id)
	work := t.work
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil && time.Duration(ms)*time.Millisecond < work {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return fmt.Sprintf("HTTP/1.1 504 Gateway Timeout\r\n%s: %s\r\nX-Response-Seal: %s.%s\r\nContent-Length: 0\r\n\r\n", headerAttempt, id, t.id, id)
	}
	time.Sleep(work)
	body := strings.Repeat("x", t.bodyBytes)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nX-Response-Seal: %s.%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		headerAttempt, id, t.id, id, len(body), body)
}
