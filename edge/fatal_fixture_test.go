package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/edge/settings"
)

// mortalServers are backend servers whose process ends when it works on a request for
// fatalPath.
type mortalServers struct {
	f *fleet
	// work is the time until the process ends.
	work time.Duration
	// survives reports which servers serve the request instead; nil means none.
	survives func(id string) bool
	// slowWork is the time that servers need for requests whose path ends in "/slow".
	slowWork time.Duration
	// restartAfter is the time until an ended server starts again with a new id; 0 means
	// never.
	restartAfter time.Duration

	mu sync.Mutex
	// sends has the time at which each fatal request reached a server, ends that at which
	// a server ended.
	sends, ends []time.Time
	servers     []*http.Server
	started     int
}

const fatalPath = "/lookup/fatal"

func newMortalServers(f *fleet) *mortalServers {
	m := &mortalServers{f: f}
	f.t.Cleanup(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, s := range m.servers {
			_ = s.Close()
		}
	})
	return m
}

// start starts n servers.
func (m *mortalServers) start(n int) *mortalServers {
	m.f.t.Helper()
	for range n {
		must.NoError(m.f.t, m.startOne())
	}
	return m
}

func (m *mortalServers) startOne() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.started++
	b := &backend{id: fmt.Sprintf("i-mortal-%d", m.started), zone: "dc", executed: make(map[string]int)}
	s := &http.Server{}
	b.answer = func(w http.ResponseWriter, r *http.Request) { m.answer(b, s, w, r) }
	s.Handler = b
	m.servers = append(m.servers, s)
	go func() { _ = s.Serve(l) }()
	m.f.entry(b.id, "s", l.Addr().String(), int64(m.started))
	return nil
}

func (m *mortalServers) answer(b *backend, s *http.Server, w http.ResponseWriter, r *http.Request) {
	fatal := strings.HasSuffix(r.URL.Path, "/fatal")
	if fatal {
		m.mu.Lock()
		m.sends = append(m.sends, time.Now())
		m.mu.Unlock()
	}
	if strings.HasSuffix(r.URL.Path, "/slow") {
		time.Sleep(m.slowWork)
	}
	if !fatal || (m.survives != nil && m.survives(b.id)) {
		w.Header().Set("X-Response-Seal", "seal")
		return
	}
	time.Sleep(m.work)
	m.mu.Lock()
	m.ends = append(m.ends, time.Now())
	m.mu.Unlock()
	_ = s.Close()
	if m.restartAfter > 0 {
		time.AfterFunc(m.restartAfter, func() { _ = m.startOne() })
	}
	panic(http.ErrAbortHandler)
}

// endAll ends the first n servers.
func (m *mortalServers) endAll(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.servers[:n] {
		_ = s.Close()
	}
}

func (m *mortalServers) sendCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sends)
}

// maxEndedServers is the number of servers that may end under a request before it must not
// be sent to another one.
const maxEndedServers = 3

// sendsAfterLimit returns the number of times that a fatal request reached a server after
// maxEndedServers had ended.
func (m *mortalServers) sendsAfterLimit() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ends) < maxEndedServers {
		return 0
	}
	n := 0
	for _, at := range m.sends {
		if at.After(m.ends[maxEndedServers-1]) {
			n++
		}
	}
	return n
}

// repeat sends the fatal request count times, to one of the given instances after the
// other, and a lookup of another path to each. It returns the number of these that were served.
func (m *mortalServers) repeat(method, path string, count int, instances ...int) (served int) {
	m.f.t.Helper()
	for i := range count {
		n := instances[i%len(instances)]
		m.f.call(n, method, path, "", nil)
		if r, _ := m.f.lookup(n); r.status == http.StatusOK {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	return served
}

// resettingServer resets the connection of requests for fatalPath while broken is set, and
// lives on.
func (f *fleet) resettingServer(id string, broken *atomic.Bool) *backend {
	return f.backend(id, func(w http.ResponseWriter, r *http.Request) {
		if broken.Load() && r.URL.Path == fatalPath {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Response-Seal", "seal")
	})
}

// restart ends all instances, starts two others and returns their indices once they are ready.
func (f *fleet) restart() (first, second int) {
	f.t.Helper()
	f.endAll()
	first = len(f.instances)
	second = first + 1
	for range 2 {
		f.start(func(s *settings.Settings) { s.Seeds = []string{f.address(first, 3), f.address(second, 3)} })
	}
	for _, n := range []int{first, second} {
		eventually(f.t, 8*time.Second, "instance is ready", func() bool { return f.ready(n) })
	}
	return first, second
}

// endAll ends all instances and waits until none runs.
func (f *fleet) endAll() {
	f.t.Helper()
	for _, i := range f.instances {
		i.cancel()
	}
	for _, i := range f.instances {
		i.done <- <-i.done
	}
}

func requireFewSends(t *testing.T, m *mortalServers) {
	t.Helper()
	must.LessEq(t, maxEndedServers, m.sendCount(), must.Sprint("servers that a fatal request was sent to"))
}

// restartingServer is a server whose process ends during a fatal request and is started again
// at once, under the same id and address.
type restartingServer struct {
	f       *fleet
	id      string
	address string
	sends   *atomic.Int64

	mu       sync.Mutex
	run      *serverRun
	startsMS int64
}

// serverRun is one run of a restartingServer, and the listener of its HTTP server.
type serverRun struct {
	net.Listener
	http  *http.Server
	conns chan net.Conn
	ended chan struct{}
	end   func()
}

// Accept implements net.Listener.
func (r *serverRun) Accept() (net.Conn, error) {
	select {
	case c := <-r.conns:
		return c, nil
	case <-r.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. The port stays open for the next run.
func (r *serverRun) Close() error {
	r.end()
	return nil
}

// restartingServer starts a server; sends counts the fatal requests that reach it.
func (f *fleet) restartingServer(id string, sends *atomic.Int64) {
	f.t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(f.t, err)
	s := &restartingServer{f: f, id: id, address: l.Addr().String(), sends: sends, startsMS: 1}
	s.run = s.start(l)
	f.entry(id, "s", s.address, s.startsMS)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			run := s.run
			s.mu.Unlock()
			select {
			case run.conns <- c:
			case <-run.ended:
				_ = c.Close()
			}
		}
	}()
	f.t.Cleanup(func() {
		_ = l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = s.run.http.Close()
	})
}

func (s *restartingServer) start(l net.Listener) *serverRun {
	run := &serverRun{Listener: l, conns: make(chan net.Conn), ended: make(chan struct{})}
	run.end = sync.OnceFunc(func() { close(run.ended) })
	b := &backend{id: s.id, zone: "dc", executed: make(map[string]int)}
	b.answer = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != fatalPath {
			w.Header().Set("X-Response-Seal", "seal")
			return
		}
		s.sends.Add(1)
		s.restart(run)
		panic(http.ErrAbortHandler)
	}
	run.http = &http.Server{Handler: b}
	go func() { _ = run.http.Serve(run) }()
	return run
}

func (s *restartingServer) restart(former *serverRun) {
	s.mu.Lock()
	s.run = s.start(former.Listener)
	s.startsMS++
	startsMS := s.startsMS
	s.mu.Unlock()
	_ = former.http.Close()
	time.AfterFunc(50*time.Millisecond, func() { s.f.entry(s.id, "s", s.address, startsMS) })
}
