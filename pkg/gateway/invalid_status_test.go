package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/standin/pipe"
)

// Guards against a request that is reported as not run, or refused with a status that
// guarantees it, although a backend server has run it: its response had no valid status or
// no valid head, and no further attempt ran.
func TestRunAfterInvalidResponse(t *testing.T) {
	for _, tt := range []struct {
		desc   string
		faults []pipe.Fault // of the backend servers in the order of the attempts
	}{
		{"only attempt", []pipe.Fault{pipe.InvalidStatus}},
		{"interim response first", []pipe.Fault{pipe.InvalidAfterInterim}},
		{"blank in the name of a field", []pipe.Fault{pipe.InvalidField}},
		{"blank in the name of a field, then a refusal", []pipe.Fault{pipe.InvalidField, pipe.Shed}},
		{"the second backend server refuses", []pipe.Fault{pipe.InvalidStatus, pipe.Shed}},
		{"the second connection is refused", []pipe.Fault{pipe.InvalidStatus, pipe.RefuseConnection}},
		{"a broken connection, then a refusal", []pipe.Fault{pipe.CloseAfterRun, pipe.Shed}},
	} {
		for _, isOrder := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, order %t", tt.desc, isOrder), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixtureWith(t, 1, len(tt.faults), unframedTreeText)
					defer f.close()
					f.assignFaults(tt.faults)
					r := read("a")
					if isOrder {
						r = order("a", f.owners[0].Issue(time.Minute))
					}
					got := f.send(f.gateways[0], r)
					require.Equal(t, 1, f.countRuns("a"))
					require.Equal(t, http.StatusBadGateway, got.Code)
					require.Equal(t, "unknown", got.Header().Get(runHeader))
					require.Empty(t, got.Header().Get("Retry-After"))
				})
			})
		}
	}
}

// Guards against an order that is run again, or reported as not run, because the peer to
// which it was handed sends a response without a valid status, without a valid head, or one
// that no instance sends: without a length, or without the run.
func TestRunAfterInvalidResponseOfPeer(t *testing.T) {
	const rest = " x\r\nContent-Length: 0\r\n\r\n"
	const head = "HTTP/1.1 200 x\r\nLentilpin-Run: ran\r\n"
	for _, raw := range []string{
		"HTTP/1.1 000" + rest, "HTTP/1.1 999" + rest, "HTTP/1.1 103 x\r\n\r\nno" + rest,
		head + "X A: 1\r\nContent-Length: 0\r\n\r\n", head + "\r\npart", "HTTP/1.1 200" + rest,
		"HTTP/1.1 200 x\r\nLentilpin-Run: maybe\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(fmt.Sprintf("%q", raw), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixtureWith(t, 2, 4, unframedTreeText)
				defer f.close()
				peer := pipe.NewListener()
				defer func() { require.NoError(t, peer.Close()) }()
				received := 0
				f.peerListeners[1] = peer
				f.loops.Go(func() {
					for c, err := peer.Accept(); err == nil; c, err = peer.Accept() {
						if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
							received++
							_, _ = io.Copy(io.Discard, r.Body)
							_, _ = io.WriteString(c, raw)
						}
						_ = c.Close()
					}
				})
				f.cutFromBackends(0, cut{})
				got := f.send(f.gateways[0], order("a", f.owners[0].Issue(time.Minute)))
				require.Equal(t, http.StatusBadGateway, got.Code, raw)
				require.Equal(t, "unknown", got.Header().Get(runHeader))
				require.Equal(t, 1, received)
			})
		})
	}
}
