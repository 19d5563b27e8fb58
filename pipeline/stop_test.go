package pipeline_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/pipeline"
)

// lateListener accepts one connection once the context has ended.
type lateListener struct {
	net.Listener
	ctx  context.Context
	conn net.Conn
}

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	<-l.ctx.Done()
	return l.conn, nil
}

// Guards against a connection that is accepted as the server stops and stays open without
// anyone to serve it.
func TestConnectionAcceptedAtTheEndIsClosed(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	ours, theirs := net.Pipe()
	must.NoError(t, ours.SetReadDeadline(time.Now().Add(time.Second)))
	ctx, cancel := context.WithCancel(context.Background())
	s := &pipeline.Server{Handler: http.NotFoundHandler()}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, lateListener{l, ctx, theirs}) }()
	cancel()
	<-done
	_, err = ours.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}
