package transport_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/transport"
)

// Guards against a response that is passed on, with a line that is no field or with bytes
// that are not its body, although its head or its trailers are not well formed; against one
// whose connection is used again, and against a request that is reported as not run although
// the backend server has received it. package framing tests the grammar.
func TestMalformedHeads(t *testing.T) {
	const ok, body = "HTTP/1.1 200 OK\r\n", "2\r\nok\r\n0\r\n\r\n"
	const chunked, withLength = ok + "Transfer-Encoding: chunked\r\n", ok + "Content-Length: 2\r\n"
	const interim = "HTTP/1.1 103 x\r\n"
	for _, tt := range []struct {
		raw       string
		inTrailer bool // the head is well formed
	}{
		{raw: withLength + "X A: 1\r\n\r\nok"},
		{raw: withLength + "X-A : 1\r\n\r\nok"},
		{raw: withLength + "X-A\t: 1\r\n\r\nok"},
		{raw: withLength + "X\x01A: 1\r\n\r\nok"},
		{raw: withLength + "X-A: 1\r\n folded\r\n\r\nok"},
		{raw: ok + "Content-Length : 2\r\n\r\nok"},
		{raw: ok + "Transfer-Encoding : chunked\r\n\r\n" + body},
		{raw: ok + "X-A: 1\r\n Transfer-Encoding: chunked\r\n\r\n" + body},
		{raw: withLength + "Transfer-Encoding: chunked\r\n\r\n" + body},
		{raw: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + body},
		{raw: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body},
		{raw: "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{raw: "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{raw: "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nok"},
		{raw: interim + "X A: 1\r\n\r\n" + withLength + "\r\nok"},
		{raw: interim + "\r\n" + withLength + "X A: 1\r\n\r\nok"},
		{raw: interim + "\r\n" + interim + "X-A : 1\r\n\r\n" + withLength + "\r\nok"},
		{raw: "HTTP/1.1 503 x\r\nBackend-Shed : not-run\r\nContent-Length: 0\r\n\r\n"},
		{raw: "HTTP/1.1 503 x\r\nBackend-Shed: not-run\r\nX A: 1\r\nContent-Length: 0\r\n\r\n"},
		{raw: chunked + "\r\n2\r\nok\r\n0\r\nX A: 1\r\n\r\n", inTrailer: true},
		{raw: chunked + "\r\n2\r\nok\r\n0\r\nX-A : 1\r\n\r\n", inTrailer: true},
		{raw: chunked + "Trailer: X A\r\n\r\n2\r\nok\r\n0\r\n\r\n", inTrailer: true},
	} {
		for _, isProbe := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, probe %t", tt.raw, isProbe), func(t *testing.T) {
				s := serveResponse(t, tt.raw, false)
				recorder := &fakeRecorder{}
				p := newPool(t, permitUploads, transport.Options{Recorder: recorder})
				r := newGetRequest("/health")
				r.Probe = isProbe
				for range 2 {
					waitReuseDelay()
					_, _, err := fetch(withTimeout(t, testTimeout), p, s.Address(), r)
					if tt.inTrailer {
						require.ErrorIs(t, err, transport.ErrTruncated)
						continue
					}
					var f *transport.Failure
					require.ErrorAs(t, err, &f)
					require.Equal(t, transport.Malformed, f.Kind)
					require.False(t, f.NotRun)
				}
				require.Equal(t, 2, s.Connections())
				require.Equal(t, 2, recorder.count(5003)+recorder.count(5004))
			})
		}
	}
}
