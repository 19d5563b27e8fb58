package peer

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	written atomic.Uint64
	read    atomic.Uint64
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(uint64(n))
	return n, err
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(uint64(n))
	return n, err
}
