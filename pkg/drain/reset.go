package drain

import "context"

// Values of net.TCPConn.SetLinger.
const (
	lingerReset   = 0  // a close resets the connection
	lingerDefault = -1 // a close ends the connection in order, behind all that was written
)

// ResetUnlessWhole states that the response to the request of ctx ends with its connection.
// Until whole is called, a close of the connection for whatever reason, the end of the process
// included, is a reset, so that a part of the response cannot be taken for all of it. ctx is
// that of a request on a Server; with any other one, nothing happens.
func ResetUnlessWhole(ctx context.Context) (whole func()) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return func() {}
	}
	c.setLinger(lingerReset)
	return func() { c.setLinger(lingerDefault) }
}

// setLinger sets what a close does, if the connection can do that. It fails only if the
// connection is closed.
func (c *conn) setLinger(seconds int) {
	if inner, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = inner.SetLinger(seconds)
	}
}
