package standin

import (
	"net"
	"sync"
	"time"
)

const (
	// chunkSizeBytes and maxQueuedChunks bound the bytes that are buffered for
	// each direction of a connection.
	chunkSizeBytes  = 16 << 10
	maxQueuedChunks = 64
)

// relayedConn is a client's connection to a link and the link's connection to
// the target.
type relayedConn struct {
	link           *Link
	client, target *net.TCPConn
	// bothEnded is closed when both sides have finished sending. Data still
	// buffered by a cut is discarded then, because neither side waits for it any
	// more.
	bothEnded chan struct{}

	mu              sync.Mutex
	endedDirections int
	// wasReset keeps the end of one side from being relayed to the other as a
	// FIN.
	wasReset bool
}

// chunk is the result of one read. The last chunk of a direction carries the end
// of the stream, and possibly data.
type chunk struct {
	data   []byte
	readAt time.Time
	last   bool
}

func newRelayedConn(l *Link, client, target *net.TCPConn) *relayedConn {
	return &relayedConn{link: l, client: client, target: target, bothEnded: make(chan struct{})}
}

// reset closes both sides with a TCP reset instead of a FIN.
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

// relayDirection relays one direction. It keeps reading while the direction is
// cut, up to the bound of the buffer, so that the end of a connection is detected.
func (r *relayedConn) relayDirection(from, to *net.TCPConn, flowAndDelay func(LinkState) (Flow, time.Duration)) {
	chunks := make(chan chunk, maxQueuedChunks)
	writerDone := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() { r.readChunks(from, chunks, writerDone) })
	r.writeChunks(to, chunks, flowAndDelay)
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
			r.markDirectionEnded()
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

func (r *relayedConn) markDirectionEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endedDirections++
	if r.endedDirections == 2 {
		close(r.bothEnded)
	}
}

// writeChunks writes the chunks when the flow and the delay of the direction
// allow it.
func (r *relayedConn) writeChunks(to *net.TCPConn, chunks <-chan chunk, flowAndDelay func(LinkState) (Flow, time.Duration)) {
	open := func(s LinkState) bool {
		flow, _ := flowAndDelay(s)
		return flow != FlowCut
	}
	for c := range chunks {
		_, delay := flowAndDelay(r.link.State())
		r.sleep(time.Until(c.readAt.Add(delay)))
		if !r.link.waitForState(open, r.bothEnded) {
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
