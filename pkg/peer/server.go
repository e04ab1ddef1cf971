package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"lentilpin/pkg/events"
	"lentilpin/pkg/peer/peerpb"
)

// acceptRetryDelay is the delay after a failed accept, whose usual cause is a
// shortage of file descriptors.
const acceptRetryDelay = 100 * time.Millisecond

// closeDelay is the time from the last reply on a connection to closing the
// connection during shutdown. A drpc client discards a buffered reply if it
// detects the end of the connection before it has read the reply.
const closeDelay = 250 * time.Millisecond

// Serve accepts connections from peers and dispatches their calls to s until the
// context ends. It then closes the listener, refuses further calls, waits for the
// calls in progress and returns nil. It returns an error if the service cannot be
// registered or the listener is closed before the context ends.
func Serve(ctx context.Context, l net.Listener, s peerpb.DRPCPeerServer, o Options) error {
	options := o.withDefaults()
	srv := &server{options: options, handshakes: handshakes{options: options}, mux: drpcmux.New(), connections: map[*connection]struct{}{}}
	if err := srv.mux.Register(s, limitedDescription{options: srv.options}); err != nil {
		return errors.Wrap(err, "register peer service")
	}
	srv.drpc = drpcserver.NewWithOptions(srv, drpcserver.Options{Manager: managerOptions(serverIdleFactor * srv.options.IdleTimeout)})

	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() {
		<-ctx.Done()
		_ = l.Close()
		srv.drain()
	})
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			if c := srv.register(conn); c != nil {
				running.Go(func() { srv.serve(c) })
			}
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept peer connection")
		default:
			srv.options.Recorder.Record(eventAcceptFailed, events.F("error", err))
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
		}
	}
}

// server serves the connections of one listener.
type server struct {
	options    *Options
	handshakes handshakes
	mux        *drpcmux.Mux
	drpc       *drpcserver.Server

	mu          sync.Mutex
	draining    bool
	connections map[*connection]struct{} // open connections
}

// connection is an open connection from a peer.
type connection struct {
	net.Conn
	handshake *handshake
	ctx       context.Context
	cancel    context.CancelFunc
	busy      bool // guarded by server.mu: a call is in progress
	draining  bool // guarded by server.mu: no further call may begin
}

// end closes the connection and cancels its context. The context is needed
// because the drpc manager does not detect a closed socket while it holds a
// message that belongs to no call.
func (c *connection) end() {
	c.cancel()
	_ = c.Close()
}

// register adds a new connection. If the server is draining or has reached
// MaxConnections, it closes the connection and returns nil.
func (s *server) register(conn net.Conn) *connection {
	s.mu.Lock()
	full := len(s.connections) >= s.options.MaxConnections
	if full || s.draining {
		s.mu.Unlock()
		_ = conn.Close()
		if full {
			s.options.recordLimited(eventConnectionLimit, events.F("peer", conn.RemoteAddr().String()))
		}
		return nil
	}
	c := &connection{Conn: conn}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	s.connections[c] = struct{}{}
	s.mu.Unlock()
	c.handshake = s.handshakes.begin(c.end)
	return c
}

// serve handles the calls of a connection until the connection ends.
func (s *server) serve(c *connection) {
	defer c.cancel()
	err := s.drpc.ServeOne(c.ctx, c)
	c.handshake.finish()
	s.mu.Lock()
	delete(s.connections, c)
	s.mu.Unlock()
	if drpc.ProtocolError.Has(err) || drpc.InternalError.Has(err) {
		s.options.recordLimited(eventRequestRefused, events.F("peer", c.RemoteAddr().String()),
			events.F("reason", "protocol error"), events.F("error", err))
	}
}

// drain makes the server close every connection closeDelay after its last call
// ends, and idle connections closeDelay from now.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.connections {
		c.draining = true
		if !c.busy {
			time.AfterFunc(closeDelay, c.end)
		}
	}
}

// begin marks the connection as busy and reports whether the call may proceed. It
// closes a connection that is draining.
func (s *server) begin(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy = !c.draining
	if c.draining {
		c.end() // the client has read the last reply, otherwise it would not start another call
	}
	return c.busy
}

// end marks the connection as idle and, if it is draining, schedules its closing.
func (s *server) end(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy = false
	if c.draining {
		time.AfterFunc(closeDelay, c.end)
	}
}

// HandleRPC implements drpc.Handler.
func (s *server) HandleRPC(stream drpc.Stream, name string) error {
	transport, _ := drpcctx.Transport(stream.Context())
	c := transport.(*connection)
	if !s.begin(c) {
		return net.ErrClosed
	}
	defer s.end(c)
	err := s.handle(stream, name, c)
	var r refusal
	if errors.As(err, &r) {
		c.end()
		s.options.recordLimited(eventRequestRefused, events.F("peer", c.RemoteAddr().String()),
			events.F("call", name[:min(len(name), 64)]), events.F("reason", string(r)))
	}
	return err
}

// handle checks the method and the secret and dispatches the call. It closes the
// connection if the call exceeds the maximum timeout of the method.
func (s *server) handle(stream drpc.Stream, name string, c *connection) error {
	method, ok := methods[name]
	if !ok {
		return refusedUnknownMethod
	}
	if !s.options.authorized(stream.Context()) {
		return refusedWrongSecret
	}
	c.handshake.finish()
	timer := time.AfterFunc(method.maxTimeout, func() {
		c.end()
		s.options.Recorder.Record(eventRequestTimeout, events.F("peer", c.RemoteAddr().String()), events.F("call", name))
	})
	defer timer.Stop()
	return s.mux.HandleRPC(stream, name)
}
