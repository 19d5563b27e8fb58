package standin

import (
	"net"
	"sync"
	"time"
)

const (
	// chunkSizeBytes and maxChunks bound what a direction of a connection holds.
	chunkSizeBytes  = 16 << 10
	maxQueuedChunks = 64
)

// relayedConn is the two halves of one relayed connection.
type relayedConn struct {
	link           *Link
	client, target *net.TCPConn
	// bothEnded is closed when both sides have ended their sending: what is held
	// then has nobody left to wait for it.
	bothEnded chan struct{}

	mu              sync.Mutex
	endedDirections int
	// wasReset keeps the usual end of one side from reaching the other.
	wasReset bool
}

// chunk is what one read brought. The last one of a direction is the end.
type chunk struct {
	data   []byte
	readAt time.Time
	last   bool
}

func newRelayedConn(l *Link, client, target *net.TCPConn) *relayedConn {
	return &relayedConn{link: l, client: client, target: target, bothEnded: make(chan struct{})}
}

// reset ends the connection on both sides without its usual end.
func (r *relayedConn) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wasReset = true
	for _, c := range []*net.TCPConn{r.client, r.target} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// run relays until both directions have ended.
func (r *relayedConn) run() {
	var directions sync.WaitGroup
	directions.Go(func() {
		r.relayDirection(r.client, r.target, func(s LinkState) (Flow, time.Duration) {
			return s.Forward, time.Duration(s.ForwardDelay)
		})
	})
	directions.Go(func() {
		r.relayDirection(r.target, r.client, func(s LinkState) (Flow, time.Duration) {
			return s.Backward, time.Duration(s.BackwardDelay)
		})
	})
	directions.Wait()
}

// relayDirection relays one direction. Reading goes on while bytes are held, so that
// the end of a connection is noticed.
func (r *relayedConn) relayDirection(from, to *net.TCPConn, flowOf func(LinkState) (Flow, time.Duration)) {
	chunks := make(chan chunk, maxQueuedChunks)
	writerDone := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() { r.readChunks(from, chunks, writerDone) })
	r.writeChunks(to, chunks, flowOf)
	close(writerDone)
	_ = from.CloseRead()
	reader.Wait()
}

func (r *relayedConn) readChunks(from *net.TCPConn, chunks chan<- chunk, writerDone <-chan struct{}) {
	for {
		buffer := make([]byte, chunkSizeBytes)
		n, err := from.Read(buffer)
		c := chunk{data: buffer[:n], readAt: time.Now(), last: err != nil}
		if c.last {
			r.directionEnded()
		}
		select {
		case chunks <- c:
		case <-writerDone:
			return
		}
		if c.last {
			return
		}
	}
}

func (r *relayedConn) directionEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endedDirections++
	if r.endedDirections == 2 {
		close(r.bothEnded)
	}
}

// writeChunks sends what was read, as the link's state allows.
func (r *relayedConn) writeChunks(to *net.TCPConn, chunks <-chan chunk, flowOf func(LinkState) (Flow, time.Duration)) {
	open := func(s LinkState) bool {
		flow, _ := flowOf(s)
		return flow != FlowCut
	}
	for c := range chunks {
		_, delay := flowOf(r.link.State())
		r.sleep(time.Until(c.readAt.Add(delay)))
		if !r.link.awaitState(open, r.bothEnded) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
		if c.last {
			r.closeWrite(to)
			return
		}
	}
}

func (r *relayedConn) closeWrite(to *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.wasReset {
		_ = to.CloseWrite()
	}
}

func (r *relayedConn) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.link.ctx.Done():
	}
}
