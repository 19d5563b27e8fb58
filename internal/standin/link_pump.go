package standin

import (
	"net"
	"sync"
	"time"
)

const (
	// chunkSizeBytes and maxChunks bound what a direction of a connection holds.
	chunkSizeBytes = 16 << 10
	maxQueuedChunks = 64
)

// relayedConn is the two halves of one relayed connection.
type relayedConn struct {
	link      *Link
	client, target *net.TCPConn
	// bothEnded is closed when both sides have ended their sending: what is held
	// then has nobody left to wait for it.
	bothEnded chan struct{}

	mu    sync.Mutex
	endedDirections int
	// wasReset keeps the usual end of one side from reaching the other.
	wasReset bool
}

// chunk is what one read brought. The last one of a direction is the end.
type chunk struct {
	data []byte
	readAt   time.Time
	last  bool
}

func newRelayedConn(l *Link, client, target *net.TCPConn) *relayedConn {
	return &relayedConn{link: l, client: client, target: target, bothEnded: make(chan struct{})}
}

// reset ends the connection on both sides without its usual end.
func (p *relayedConn) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wasReset = true
	for _, c := range []*net.TCPConn{p.client, p.target} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// run relays until both directions have ended.
func (p *relayedConn) run() {
	var directions sync.WaitGroup
	directions.Go(func() {
		p.relayDirection(p.client, p.target, func(s LinkState) (Flow, time.Duration) {
			return s.Forward, time.Duration(s.ForwardDelay)
		})
	})
	directions.Go(func() {
		p.relayDirection(p.target, p.client, func(s LinkState) (Flow, time.Duration) {
			return s.Backward, time.Duration(s.BackwardDelay)
		})
	})
	directions.Wait()
}

// relayDirection relays one direction. Reading goes on while bytes are held, so that
// the end of a connection is noticed.
func (p *relayedConn) relayDirection(from, to *net.TCPConn, flowOf func(LinkState) (Flow, time.Duration)) {
	chunks := make(chan chunk, maxQueuedChunks)
	writerDone := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() { p.readChunks(from, chunks, writerDone) })
	p.writeChunks(to, chunks, flowOf)
	close(writerDone)
	_ = from.CloseRead()
	reader.Wait()
}

func (p *relayedConn) readChunks(from *net.TCPConn, chunks chan<- chunk, writerDone <-chan struct{}) {
	for {
		buffer := make([]byte, chunkSizeBytes)
		n, err := from.Read(buffer)
		c := chunk{data: buffer[:n], readAt: time.Now(), last: err != nil}
		if c.last {
			p.directionEnded()
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

func (p *relayedConn) directionEnded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedDirections++
	if p.endedDirections == 2 {
		close(p.bothEnded)
	}
}

// writeChunks sends what was read, as the link's state allows.
func (p *relayedConn) writeChunks(to *net.TCPConn, chunks <-chan chunk, flowOf func(LinkState) (Flow, time.Duration)) {
	open := func(s LinkState) bool {
		flow, _ := flowOf(s)
		return flow != FlowCut
	}
	for c := range chunks {
		_, delay := flowOf(p.link.State())
		p.sleep(time.Until(c.readAt.Add(delay)))
		if !p.link.awaitState(open, p.bothEnded) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
		if c.last {
			p.closeWrite(to)
			return
		}
	}
}

func (p *relayedConn) closeWrite(to *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.wasReset {
		_ = to.CloseWrite()
	}
}

func (p *relayedConn) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.link.ctx.Done():
	}
}
