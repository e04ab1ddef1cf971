package drain

import (
	"context"
	"net"
	"time"
)

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// AwaitBody states that the request of ctx waits for its body and has not begun to run, so
// that its connection may be closed for another one. arrived ends that; it returns false if
// the connection was closed, and the request must not run then. ctx is that of a request
// on a Server; with any other one, arrived returns true.
func AwaitBody(ctx context.Context) (arrived func() bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return func() bool { return true }
	}
	c.setAwaitsBody(true)
	return func() bool { return c.setAwaitsBody(false) }
}

// setAwaitsBody reports whether the connection is open.
func (c *conn) setAwaitsBody(awaits bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsBody, c.bodySince, c.bodyBytes = awaits, time.Now(), 0
	return !c.isClosed
}
