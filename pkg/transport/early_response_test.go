package transport_test

import (
	"net"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/transport"
	"lentilpin/standin/socket"
)

// uploadBytes is the size of a request body that does not fit into the buffers of a
// connection, so that it is still being written when an early response arrives.
const uploadBytes = 32 << 20

// permitUploads permits large request bodies and responses that end with their connection.
func permitUploads(s *dynamic.Service) {
	s.MaxBodyBytes, s.Responses.Unframed = 2*uploadBytes, true
}

// Guards against an early response that looks complete although its connection was reset:
// the write of the request reports the reset, and the following read reports the end of the
// stream. Guards as well against the loss of an early response that is known to be complete
// (RFC 9112, sections 9.5 and 9.6).
func TestEarlyResponseDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	const unframed, withLength, chunked = head + "\r\n", head + "Content-Length: 5\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		desc     string
		response string
		ending   socket.Ending
		body     string
		broken   bool // the exchange fails, or the body is incomplete
		reused   bool
		shed     bool // the head proves that the request has not run
	}{
		{desc: "without length, reset", response: unframed + "part", broken: true},
		{desc: "without length, empty, reset", response: unframed, broken: true},
		{desc: "HTTP/1.0, without length, reset", response: "HTTP/1.0 200 OK\r\n\r\npart", broken: true},
		{desc: "failure without length, reset", response: "HTTP/1.1 500 x\r\n\r\npart", broken: true},
		{desc: "refusal without length, reset", response: "HTTP/1.1 503 x\r\nBackend-Shed: not-run\r\n\r\npart", broken: true, shed: true},
		{desc: "interim response, without length, reset", response: "HTTP/1.1 100 Continue\r\n\r\n" + unframed + "part", broken: true},
		{desc: "part of the stated length, reset", response: withLength + "part", broken: true},
		{desc: "first chunk, reset", response: chunked + "4\r\npart\r\n", broken: true},
		{desc: "chunks without the empty line, reset", response: chunked + "4\r\npart\r\n0\r\n", broken: true},
		{desc: "without length, half closed, reset", response: unframed + "whole", ending: socket.HalfCloseReset, body: "whole"},
		{desc: "stated length, half closed, reset", response: withLength + "whole", ending: socket.HalfCloseReset, body: "whole"},
		{desc: "stated length, reset", response: withLength + "whole", body: "whole"},
		{desc: "HTTP/1.0, stated length, reset", response: "HTTP/1.0 413 x\r\nContent-Length: 5\r\n\r\nwhole", body: "whole"},
		{desc: "chunks, reset", response: chunked + "5\r\nwhole\r\n0\r\n\r\n", body: "whole"},
		{desc: "status without a body, reset", response: "HTTP/1.1 204 No Content\r\n\r\n"},
		{desc: "without length, closed after the rest was read", response: unframed + "whole", ending: socket.CloseAfterRest, body: "whole"},
		{desc: "without length, half closed before the rest is read", response: unframed + "whole", ending: socket.HalfClose, body: "whole"},
		{desc: "stated length, kept open", response: withLength + "whole", ending: socket.KeepOpen, body: "whole", reused: true},
		{desc: "chunks, kept open", response: chunked + "5\r\nwhole\r\n0\r\n\r\n", ending: socket.KeepOpen, body: "whole", reused: true},
	}
	for _, tt := range tests {
		for _, idempotent := range []bool{false, true} {
			t.Run(tt.desc, func(t *testing.T) {
				s := startServer(t, func(c net.Conn, _ int) { socket.RespondEarly(c, tt.response, tt.ending) })
				recorder := &fakeRecorder{}
				p := newPool(t, permitUploads, transport.Options{Recorder: recorder})
				for range 2 {
					waitReuseDelay()
					r := newPostRequest("/tilaus/1", make([]byte, uploadBytes))
					r.Idempotent = idempotent
					resp, body, err := fetch(withTimeout(t, testTimeout), p, s.Address(), r)
					if !tt.broken {
						require.NoError(t, err)
						require.Equal(t, tt.body, string(body))
						continue
					}
					require.ErrorIs(t, err, transport.ErrTruncated)
					require.Equal(t, tt.shed, resp != nil && resp.Signals.Shed)
					if f := (*transport.Failure)(nil); errors.As(err, &f) {
						require.False(t, f.NotRun)
					}
				}
				want := 2
				if tt.reused {
					want = 1
				}
				require.Equal(t, want, s.Connections())
				require.Equal(t, tt.broken, recorder.count(5003) > 0)
			})
		}
	}
}
