package standin

import (
	"net"
	"sync"
	"time"
)

const (
	// chunkSize and maxChunks bound what a direction of a connection holds.
	chunkSize = 16 << 10
	maxChunks = 64
)

// pair is the two halves of one relayed connection.
type pair struct {
	link      *Link
	near, far *net.TCPConn
	// over is closed when both sides have ended their sending: what is held
	// then has nobody left to wait for it.
	over chan struct{}

	mu    sync.Mutex
	ended int
	// wasReset keeps the usual end of one side from reaching the other.
	wasReset bool
}

// chunk is what one read brought. The last one of a direction is the end.
type chunk struct {
	data []byte
	at   time.Time
	end  bool
}

func newPair(l *Link, near, far *net.TCPConn) *pair {
	return &pair{link: l, near: near, far: far, over: make(chan struct{})}
}

// reset ends the connection on both sides without its usual end.
func (p *pair) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wasReset = true
	for _, c := range []*net.TCPConn{p.near, p.far} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// run relays until both directions have ended.
func (p *pair) run() {
	var directions sync.WaitGroup
	directions.Go(func() {
		p.pump(p.near, p.far, func(s LinkState) (Flow, time.Duration) {
			return s.Forward, time.Duration(s.ForwardDelay)
		})
	})
	directions.Go(func() {
		p.pump(p.far, p.near, func(s LinkState) (Flow, time.Duration) {
			return s.Backward, time.Duration(s.BackwardDelay)
		})
	})
	directions.Wait()
}

// pump relays one direction. Reading goes on while bytes are held, so that
// the end of a connection is noticed.
func (p *pair) pump(from, to *net.TCPConn, direction func(LinkState) (Flow, time.Duration)) {
	chunks := make(chan chunk, maxChunks)
	broken := make(chan struct{})
	var reading sync.WaitGroup
	reading.Go(func() { p.read(from, chunks, broken) })
	p.write(to, chunks, direction)
	close(broken)
	_ = from.CloseRead()
	reading.Wait()
}

func (p *pair) read(from *net.TCPConn, chunks chan<- chunk, broken <-chan struct{}) {
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		c := chunk{data: buffer[:n], at: time.Now(), end: err != nil}
		if c.end {
			p.end()
		}
		select {
		case chunks <- c:
		case <-broken:
			return
		}
		if c.end {
			return
		}
	}
}

func (p *pair) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended++
	if p.ended == 2 {
		close(p.over)
	}
}

// write sends what was read, as the link's state allows.
func (p *pair) write(to *net.TCPConn, chunks <-chan chunk, direction func(LinkState) (Flow, time.Duration)) {
	open := func(s LinkState) bool {
		flow, _ := direction(s)
		return flow != FlowCut
	}
	for c := range chunks {
		_, delay := direction(p.link.State())
		p.sleep(time.Until(c.at.Add(delay)))
		if !p.link.awaitState(open, p.over) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
		if c.end {
			p.closeWrite(to)
			return
		}
	}
}

func (p *pair) closeWrite(to *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.wasReset {
		_ = to.CloseWrite()
	}
}

func (p *pair) sleep(d time.Duration) {
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
