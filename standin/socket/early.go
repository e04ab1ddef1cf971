package socket

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Ending is what a server does after an early response, which it has written before it has
// read the body of the request.
type Ending int

// Endings.
const (
	ResetUnread    Ending = iota // resets the connection without reading the rest of the request
	CloseAfterRest               // reads the rest of the request and closes the connection
	HalfClose                    // closes its sending side, then reads the rest of the request
	HalfCloseReset               // closes its sending side, then resets the connection without reading the rest
	KeepOpen                     // reads the rest of the request and serves the next one
)

// RespondEarly reads the heads of the requests on a connection and writes response, the
// bytes of a response, before it reads their bodies.
func RespondEarly(c net.Conn, response string, ending Ending) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
		if half, ok := c.(interface{ CloseWrite() error }); ok && (ending == HalfClose || ending == HalfCloseReset) {
			_ = half.CloseWrite() // fails if the client has closed the connection
		}
		if ending == ResetUnread || ending == HalfCloseReset {
			Reset(c)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || ending != KeepOpen {
			return
		}
	}
}
