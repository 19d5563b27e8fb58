package upstream

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// endProbeTimeout bounds the connection attempt after a broken response: several round trips
// between data centres, and short enough for a retry.
const endProbeTimeout = 60 * time.Millisecond

// closedByServer reports whether reading failed because the server closed or reset the
// connection.
func closedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// refusesConnections reports whether nothing listens at an address. Servers that live on after
// they reset a connection accept another one, which is kept for a request. The result isn't
// passed to onDial: the end of a process is no evidence about the network path.
func (p *Pool) refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()
	if !p.reserve() {
		return false
	}
	nc, err := p.dialer(ctx, address)
	if err != nil {
		p.release()
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(address, p.newConn(nc), nil)
	return false
}
