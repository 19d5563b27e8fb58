package client

import (
	"context"
	"net"
)

// WrapConns wraps each connection that the client opens.
func (c *Client) WrapConns(wrap func(net.Conn) net.Conn) {
	dial := c.transport.DialContext
	c.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wrap(conn), nil
	}
}
