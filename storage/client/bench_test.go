package client_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/standin"
	"foxtailspoke/storage"
	"foxtailspoke/storage/client"
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func benchmark(b *testing.B, call func(ctx context.Context, c *client.Client, i int) error) {
	p, err := standin.StartPlatform(standin.PlatformOptions{})
	must.NoError(b, err)
	b.Cleanup(p.Close)
	c, err := client.New(p.URL(), client.Settings{})
	must.NoError(b, err)
	b.Cleanup(c.Close)
	var bytes atomic.Int64
	c.WrapConns(func(conn net.Conn) net.Conn { return countingConn{conn, &bytes} })
	for i := range 500 {
		row := []storage.Put{{Table: storage.Control, Key: fmt.Sprintf("key/%064d", i), Value: []byte(`{"workspace":"cebu"}`)}}
		_, err := p.Tables().Write(storage.Txn{Attempt: fmt.Sprint("row", i), Puts: row})
		must.NoError(b, err)
	}
	i := 0
	for b.Loop() {
		must.NoError(b, call(b.Context(), c, i))
		i++
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

func BenchmarkReadUnchanged(b *testing.B) {
	benchmark(b, func(ctx context.Context, c *client.Client, _ int) error {
		_, err := c.Read(ctx, storage.ReadRequest{Table: storage.Control, Since: 500})
		return err
	})
}

func BenchmarkReadWhole(b *testing.B) {
	benchmark(b, func(ctx context.Context, c *client.Client, _ int) error {
		_, err := c.Read(ctx, storage.ReadRequest{Table: storage.Control})
		return err
	})
}

func BenchmarkWrite(b *testing.B) {
	benchmark(b, func(ctx context.Context, c *client.Client, i int) error {
		put := []storage.Put{{Table: storage.Audit, Key: fmt.Sprint(i), Value: []byte("{}")}}
		_, err := c.Write(ctx, storage.Txn{Attempt: fmt.Sprint(i), Puts: put})
		return err
	})
}
