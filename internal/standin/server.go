package standin

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const readHeaderTimeout = 10 * time.Second

// server is an HTTP server on its own listener.
type server struct {
	listener   net.Listener
	httpServer *http.Server
	cancel     context.CancelFunc
	done       chan struct{}
}

// startServer starts a server on address, "ip:port"; port 0 selects a free port.
func startServer(address string, handler http.Handler, log *slog.Logger) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return startServerOnListener(listener, handler, log), nil
}

// startServerOnListener starts a server, which runs until close or shutdown.
// Closing it cancels the contexts of the requests in progress.
func startServerOnListener(listener net.Listener, handler http.Handler, log *slog.Logger) *server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{
		listener: listener,
		cancel:   cancel,
		done:     make(chan struct{}),
		httpServer: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			ConnContext:       contextWithConn,
			BaseContext:       func(net.Listener) context.Context { return ctx },
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		},
	}
	go func() {
		defer close(s.done)
		_ = s.httpServer.Serve(listener)
	}()
	return s
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) url() string { return "http://" + s.address() }

// close closes all connections immediately and cancels the requests in progress.
func (s *server) close() {
	s.cancel()
	_ = s.httpServer.Close()
	<-s.done
}

// shutdown waits until the requests in progress have ended or ctx is done, then
// closes the server.
func (s *server) shutdown(ctx context.Context) {
	_ = s.httpServer.Shutdown(ctx)
	s.close()
}

// loggerOrDiscard returns log, or a logger that discards everything if log is nil.
func loggerOrDiscard(log *slog.Logger) *slog.Logger {
	if log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return log
}
