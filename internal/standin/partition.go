package standin

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// PartitionMode is what happens to the connections of a partitioned path.
type PartitionMode string

// Partition modes.
const (
	// PartitionNone: the path works.
	PartitionNone PartitionMode = ""
	// PartitionHang: no connection is established, and open ones deliver nothing until
	// the path works again.
	PartitionHang PartitionMode = "hang"
	// PartitionReset: new connections are refused, and open ones are reset.
	PartitionReset PartitionMode = "reset"
	// PartitionRefuse: new connections are refused, and open ones live on.
	PartitionRefuse PartitionMode = "refuse"
)

// partitionPollInterval is how often Follow reads its file.
const partitionPollInterval = 20 * time.Millisecond

// Partition is the network path from one client to any number of servers, which can be
// partitioned. The client opens its connections with Dial.
type Partition struct {
	// LocalIP, if set, is the IP address that connections come from. It must be set before
	// the first Dial.
	LocalIP net.IP

	mu   sync.Mutex
	mode PartitionMode
	// changed is closed when the mode changes.
	changed chan struct{}
	conns   map[*partitionedConn]struct{}
}

// NewPartition returns a path that works.
func NewPartition() *Partition {
	return &Partition{changed: make(chan struct{}), conns: make(map[*partitionedConn]struct{})}
}

// SetMode changes the state of the path.
func (p *Partition) SetMode(m PartitionMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m == p.mode {
		return
	}
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m != PartitionReset {
		return
	}
	for c := range p.conns {
		// Without lingering, closing resets the connection.
		_ = c.SetLinger(0)
		_ = c.TCPConn.Close()
	}
	clear(p.conns)
}

// Follow applies the mode that a file contains until ctx ends. A missing file means
// PartitionNone.
func (p *Partition) Follow(ctx context.Context, file string) {
	for ctx.Err() == nil {
		b, err := os.ReadFile(file)
		if err != nil {
			b = nil
		}
		p.SetMode(PartitionMode(strings.TrimSpace(string(b))))
		select {
		case <-ctx.Done():
		case <-time.After(partitionPollInterval):
		}
	}
}

func (p *Partition) current() (PartitionMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// Dial opens a TCP connection over the path.
func (p *Partition) Dial(ctx context.Context, address string) (net.Conn, error) {
	for {
		mode, changed := p.current()
		switch mode {
		case PartitionReset, PartitionRefuse:
			return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: syscall.ECONNREFUSED}
		case PartitionHang:
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: ctx.Err()}
			}
		case PartitionNone:
		}
		d := net.Dialer{KeepAlive: -1}
		if p.LocalIP != nil {
			d.LocalAddr = &net.TCPAddr{IP: p.LocalIP}
		}
		nc, err := d.DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil, err
		}
		c := &partitionedConn{TCPConn: nc.(*net.TCPConn), path: p, closed: make(chan struct{})}
		p.mu.Lock()
		p.conns[c] = struct{}{}
		p.mu.Unlock()
		return c, nil
	}
}

// partitionedConn is a connection over a Partition.
type partitionedConn struct {
	*net.TCPConn
	path *Partition

	closeOnce sync.Once
	closed    chan struct{}
}

// awaitPath waits until the path delivers.
func (c *partitionedConn) awaitPath() error {
	for {
		mode, changed := c.path.current()
		if mode != PartitionHang {
			return nil
		}
		select {
		case <-changed:
		case <-c.closed:
			return errors.Wrap(net.ErrClosed, "partitioned connection")
		}
	}
}

func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if waitErr := c.awaitPath(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write reports success at once while the path hangs, like a kernel that buffers the
// bytes, and delivers them afterwards.
func (c *partitionedConn) Write(b []byte) (int, error) {
	if mode, _ := c.path.current(); mode != PartitionHang {
		return c.TCPConn.Write(b)
	}
	held := append([]byte(nil), b...)
	go func() {
		if c.awaitPath() == nil {
			// An error shows at the next read, as on a real connection.
			_, _ = c.TCPConn.Write(held)
		}
	}()
	return len(b), nil
}

func (c *partitionedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return c.TCPConn.Close()
}
