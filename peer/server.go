package peer

import (
	"context"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Handler handles one message. If it returns false, the call fails with
// ErrNoReply.
type Handler func(from string, body any) (reply any, ok bool)

// Server accepts calls from other instances.
type Server struct {
	secret           []byte
	rpc              *rpc.Server
	maxConns         int
	handshakeTimeout time.Duration
	// onHandshakeFailure is called for connections whose client failed to prove
	// knowledge of the secret; it may be nil.
	onHandshakeFailure func(address string)

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// unproved has the connections whose handshake isn't complete, the oldest first.
	unproved []net.Conn
	wg       sync.WaitGroup
}

// receiver is registered with net/rpc and passes calls to the handler.
type receiver struct{ handle Handler }

// Call is the RPC method of the protocol.
func (r *receiver) Call(request *Envelope, reply *Envelope) error {
	body, ok := r.handle(request.From, request.Body)
	if !ok {
		return errors.New("not answered")
	}
	reply.Body = body
	return nil
}

// NewServer returns a server that accepts at most maxConns connections, each
// of which must complete its handshake within handshakeTimeout. While there are as
// many, a new one takes the place of the oldest one that hasn't completed it.
func NewServer(secret []byte, maxConns int, handshakeTimeout time.Duration, handle Handler) (*Server, error) {
	s := &Server{
		secret:           secret,
		rpc:              rpc.NewServer(),
		maxConns:         maxConns,
		handshakeTimeout: handshakeTimeout,
		conns:            map[net.Conn]struct{}{},
	}
	if err := s.rpc.RegisterName("Peer", &receiver{handle: handle}); err != nil {
		return nil, errors.Wrap(err, "peer: register")
	}
	return s, nil
}

// OnHandshakeFailure sets the function to call with the remote address of a client
// that failed to prove knowledge of the secret. It must be called before Serve.
func (s *Server) OnHandshakeFailure(f func(address string)) { s.onHandshakeFailure = f }

// Serve accepts connections until ctx ends, then closes all of them.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.closeAll()
	})
	defer stop()
	defer s.wg.Wait()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "peer: accept")
		}
		if !s.add(conn) {
			_ = conn.Close()
			continue
		}
		s.wg.Go(func() { s.serve(conn) })
		if ctx.Err() != nil {
			s.closeAll()
		}
	}
}

func (s *Server) serve(conn net.Conn) {
	defer s.remove(conn)
	if err := serverHandshake(conn, s.secret, time.Now().Add(s.handshakeTimeout)); err != nil {
		if s.onHandshakeFailure != nil && errors.Is(err, ErrHandshake) {
			s.onHandshakeFailure(conn.RemoteAddr().String())
		}
		return
	}
	s.mu.Lock()
	s.removeUnprovedLocked(conn)
	s.mu.Unlock()
	s.rpc.ServeConn(conn)
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.maxConns {
		if len(s.unproved) == 0 {
			return false
		}
		oldest := s.unproved[0]
		_ = oldest.Close()
		delete(s.conns, oldest)
		s.removeUnprovedLocked(oldest)
	}
	s.conns[conn] = struct{}{}
	s.unproved = append(s.unproved, conn)
	return true
}

func (s *Server) removeUnprovedLocked(conn net.Conn) {
	s.unproved = slices.DeleteFunc(s.unproved, func(c net.Conn) bool { return c == conn })
}

func (s *Server) remove(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.removeUnprovedLocked(conn)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
