package transport_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/transport"
	"lentilpin/standin/socket"
)

// Guards against an exchange that reads without bound, and a connection that stays
// open, when a backend server sends bytes that are no response and do not end.
func TestEndlessResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, tc := range []struct {
		desc   string
		prefix string // sent once
		repeat string // sent until the connection is closed
		inBody bool   // the head is valid
	}{
		{desc: "bytes that are no head", repeat: "\x00\x01\x02\x03"},
		{desc: "status line", prefix: "HTTP/1.1 200 ", repeat: "OK "},
		{desc: "header fields", prefix: head, repeat: "X-Filler: y\r\n"},
		{desc: "header value", prefix: head + "X-Filler: ", repeat: "y"},
		{desc: "interim responses", repeat: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{desc: "chunks", prefix: head + "Transfer-Encoding: chunked\r\n\r\n", repeat: "8000\r\n" + strings.Repeat("y", 0x8000) + "\r\n", inBody: true},
		{desc: "chunk extension", prefix: head + "Transfer-Encoding: chunked\r\n\r\n4;", repeat: "x", inBody: true},
		{desc: "trailer fields", prefix: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat: "X-Filler: y\r\n", inBody: true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			closed := make(chan struct{})
			server := startServer(t, func(c net.Conn, _ int) {
				defer close(closed)
				socket.ServeRequests(c, func(*http.Request, []byte) bool { return false })
				filler := bytes.Repeat([]byte(tc.repeat), 64<<10/len(tc.repeat))
				_, err := io.WriteString(c, tc.prefix)
				for err == nil {
					_, err = c.Write(filler)
				}
			})
			p := newPool(t, nil, transport.Options{})
			_, _, err := fetch(withTimeout(t, testTimeout), p, server.Address(), newGetRequest("/varasto/1"))
			require.Error(t, err)
			var failure *transport.Failure
			if tc.inBody {
				require.NotErrorAs(t, err, &failure)
			} else {
				require.ErrorAs(t, err, &failure)
				require.Equal(t, transport.Malformed, failure.Kind)
				require.False(t, failure.NotRun)
			}
			<-closed
			require.Zero(t, p.OpenConnections())
		})
	}
}
