package framing

import (
	"net"
	"net/http"
)

// ErrorField is the header field that marks a request whose framing is not certain. Its
// value says why. Callers cannot send it: the field is removed from their requests.
const ErrorField = "Lentilpin-Framing-Error"

// Error returns why the framing of a request is not certain, and removes the mark. It
// returns false for sound requests. A request with an error has no body; the handler must
// close the connection after its response.
func Error(r *http.Request) (reason string, isUncertain bool) {
	values, isUncertain := r.Header[ErrorField]
	if !isUncertain {
		return "", false
	}
	delete(r.Header, ErrorField)
	return values[0], true
}

// NewListener returns a listener whose connections pass on only requests of certain
// framing. maxLineBytes bounds a line of a head and the trailers of a request.
func NewListener(l net.Listener, maxLineBytes int) net.Listener {
	return listener{l, maxLineBytes}
}

type listener struct {
	net.Listener
	maxLineBytes int
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: reader{maxLineBytes: l.maxLineBytes}}, nil
}

// conn is a connection of a caller. net/http calls Read from one goroutine at a time.
type conn struct {
	net.Conn
	reader reader
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for len(c.reader.out) == 0 && len(p) > 0 {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, err
		}
		// An error is returned again by the next read of the connection.
		c.reader.feed(p[:n])
	}
	n := copy(p, c.reader.out)
	c.reader.out = c.reader.out[n:]
	if len(c.reader.out) == 0 {
		c.reader.out = nil // connections are idle for most of their time
	}
	return n, nil
}
