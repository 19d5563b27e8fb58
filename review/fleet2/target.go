package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform between callers, instances and backend servers.
const (
	headerAttempt     = "X-Attempt-Id"
	headerExpect      = "X-Expect-Instance"
	headerNotExecuted = "X-Not-Executed"
	headerSeal        = "X-Response-Seal"
	headerDeadline    = "X-Deadline-Ms"
)

// closeHeader ends the connection after an answer.
const closeHeader = "Connection: close\r\n"

// bodyBytes is the length of the targets' answers.
const bodyBytes = 400

// target is a backend server that speaks the platform's protocol: one request at a time on a
// connection, a number of slots and a short queue.
type target struct {
	id, service  string
	slots, queue int
	work         time.Duration
	born         time.Time
	rec          *record
	listener     net.Listener
	slot         chan struct{}
	// leaving means that its answers ask to close the connection.
	leaving atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	held  int
	runs  map[string]int
	// arrivals has the times at which requests that weren't rejected arrived.
	arrivals []time.Time
}

func newTarget(rec *record, id, service string, slots, queue int, work time.Duration) (*target, error) {
	return newTargetAt(rec, "127.0.0.1:0", id, service, slots, queue, work)
}

func newTargetAt(rec *record, address, id, service string, slots, queue int, work time.Duration) (*target, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	t := &target{
		id: id, service: service, slots: slots, queue: queue, work: work, born: time.Now(), rec: rec,
		listener: l, slot: make(chan struct{}, slots), runs: make(map[string]int),
		conns: make(map[net.Conn]struct{}),
	}
	go t.accept()
	return t, nil
}

func (t *target) address() string { return t.listener.Addr().String() }

// close ends the target: it closes its connections, whatever is in progress.
func (t *target) close() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
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

// serve serves a connection.
func (t *target) serve(c net.Conn) {
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer := t.answer(r)
		if _, err := io.WriteString(c, answer); err != nil || strings.Contains(answer, closeHeader) {
			return
		}
	}
}

// answer runs a request, or rejects it, and returns the answer as it is sent.
func (t *target) answer(r *http.Request) string {
	id := r.Header.Get(headerAttempt)
	if r.Header.Get(headerExpect) != t.id {
		return "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + t.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	if !t.enter() {
		t.rec.printf("target %s rejects %s as full", t.id, id)
		return "HTTP/1.1 503 Service Unavailable\r\n" + headerNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	defer t.leave()
	t.slot <- struct{}{}
	t.mu.Lock()
	t.runs[id]++
	t.arrivals = append(t.arrivals, time.Now())
	t.mu.Unlock()
	t.rec.printf("target %s runs %s", t.id, id)
	time.Sleep(t.work)
	<-t.slot
	return t.success(id)
}

func (t *target) success(id string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	if t.leaving.Load() {
		b.WriteString(closeHeader)
	}
	body := strings.Repeat("x", bodyBytes)
	fmt.Fprintf(&b, "%s: %s\r\n%s: seal.%s\r\nContent-Length: %d\r\n\r\n%s", headerAttempt, id, headerSeal, id, len(body), body)
	return b.String()
}

// entry returns what the target writes about itself.
func (t *target) entry(state string, seq int) []byte {
	b, err := json.Marshal(map[string]any{
		"service": t.service, "address": t.address(), "zone": dataCentre, "version": "v1", "slots": t.slots,
		"state": state, "warmup_left_s": 0, "seq": seq, "born": t.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	return b
}

// arrivalsAfter returns how many requests that weren't rejected arrived after a time.
func (t *target) arrivalsAfter(at time.Time) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.arrivals {
		if a.After(at) {
			n++
		}
	}
	return n
}

// hasRun reports whether the target has begun to work on a request.
func (t *target) hasRun(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id] > 0
}

// lost returns the number of requests that the target had begun and that weren't served.
func (r *results) lost(t *target) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, status := range r.statuses {
		if status != http.StatusOK && t.hasRun(id) {
			n++
			t.rec.printf("%s, which %s had begun, got %d", id, t.id, status)
		}
	}
	return n
}

// enter reports whether there is a slot or a place in the queue.
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

// runsOf returns how often the targets ran a request.
func (f *fleet) runsOf(id string) (n int) {
	for _, t := range f.targets {
		t.mu.Lock()
		n += t.runs[id]
		t.mu.Unlock()
	}
	return n
}
