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

// acceptPause is the wait after a failed accept, which is usually a shortage
// of file descriptors.
const acceptPause = 100 * time.Millisecond

// linger is the time between the last reply on a connection and its closing at
// shutdown. A drpc client that meets the end of the connection before it has
// taken the reply from its buffer drops the reply.
const linger = 250 * time.Millisecond

// Serve accepts connections of peers and passes their calls to s until the
// context ends. It then closes the listener, accepts no further call, lets the
// calls in progress finish and returns nil. It returns an error if the listener fails for good.
func Serve(ctx context.Context, l net.Listener, s peerpb.DRPCPeerServer, o Options) error {
	srv := &server{options: o.withDefaults(), mux: drpcmux.New(), open: map[*connection]struct{}{}}
	if err := srv.mux.Register(s, description{options: srv.options}); err != nil {
		return errors.Wrap(err, "register peer service")
	}
	srv.drpc = drpcserver.NewWithOptions(srv, drpcserver.Options{Manager: managerOptions(serverIdleFactor * srv.options.Idle)})

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
			if c := srv.add(conn); c != nil {
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
			case <-time.After(acceptPause):
			}
		}
	}
}

// server serves all connections of one listener.
type server struct {
	options *Options
	mux     *drpcmux.Mux
	drpc    *drpcserver.Server

	mu       sync.Mutex
	draining bool
	open     map[*connection]struct{}
}

// connection is one connection of a peer.
type connection struct {
	net.Conn
	ctx      context.Context
	cancel   context.CancelFunc
	busy     bool // guarded by server.mu: a call is in progress
	draining bool // guarded by server.mu: begin no further call
}

// end closes the connection for good. The context ends as well, because the
// drpc manager does not see a closed socket while it holds a message that
// belongs to no call.
func (c *connection) end() {
	c.cancel()
	_ = c.Close()
}

// add registers a connection; it closes the connection and returns nil if
// there are too many.
func (s *server) add(conn net.Conn) *connection {
	s.mu.Lock()
	full := len(s.open) >= s.options.MaxConnections
	if full || s.draining {
		s.mu.Unlock()
		_ = conn.Close()
		if full {
			s.options.Recorder.Record(eventConnectionLimit, events.F("peer", conn.RemoteAddr().String()))
		}
		return nil
	}
	defer s.mu.Unlock()
	c := &connection{Conn: conn}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	s.open[c] = struct{}{}
	return c
}

func (s *server) serve(c *connection) {
	defer c.cancel()
	err := s.drpc.ServeOne(c.ctx, c)
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
	if drpc.ProtocolError.Has(err) || drpc.InternalError.Has(err) {
		s.options.Recorder.Record(eventRequestRefused, events.F("peer", c.RemoteAddr().String()),
			events.F("reason", "protocol error"), events.F("error", err))
	}
}

// drain has every connection closed once it is idle for the linger time.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.open {
		c.draining = true
		if !c.busy {
			time.AfterFunc(linger, c.end)
		}
	}
}

func (s *server) begin(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy = !c.draining
	if c.draining {
		c.end() // the caller has taken the last reply, or it would not call again
	}
	return c.busy
}

func (s *server) end(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy = false
	if c.draining {
		time.AfterFunc(linger, c.end)
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
		s.options.Recorder.Record(eventRequestRefused, events.F("peer", c.RemoteAddr().String()),
			events.F("call", name[:min(len(name), 64)]), events.F("reason", string(r)))
	}
	return err
}

func (s *server) handle(stream drpc.Stream, name string, c *connection) error {
	call, ok := calls[name]
	if !ok {
		return refusedUnknown
	}
	if !s.options.authorized(stream.Context()) {
		return refusedSecret
	}
	timer := time.AfterFunc(call.longest, func() {
		c.end()
		s.options.Recorder.Record(eventServeTimeout, events.F("peer", c.RemoteAddr().String()), events.F("call", name))
	})
	defer timer.Stop()
	return s.mux.HandleRPC(stream, name)
}
