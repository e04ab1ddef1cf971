// Package loopback makes the listeners of stand-ins, which must not be reachable from
// other machines.
package loopback

import (
	"net"

	"github.com/go-faster/errors"
)

// ErrNotLoopback is returned for an address that other machines can reach.
var ErrNotLoopback = errors.New("not a loopback address")

// Listen listens on an address, IP:port. It returns ErrNotLoopback without listening
// unless that is a loopback address.
func Listen(address string) (*net.TCPListener, error) {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	if !a.IP.IsLoopback() {
		return nil, errors.Wrapf(ErrNotLoopback, "listen on %q", address)
	}
	return net.ListenTCP("tcp", a)
}
