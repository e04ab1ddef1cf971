package pipe

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// errRefused is the error of a connection to a closed listener.
var errRefused = errors.New("refused")

// Listener is a net.Listener whose connections are made inside the process.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewListener returns an open listener.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener. The error is net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Connect waits until accepted is accepted. The error is a *net.OpError of a dial if the
// listener is closed or ctx ends.
func (l *Listener) Connect(ctx context.Context, accepted net.Conn) error {
	select {
	case l.conns <- accepted:
		return nil
	case <-l.closed:
	case <-ctx.Done():
	}
	return &net.OpError{Op: "dial", Err: errRefused}
}
