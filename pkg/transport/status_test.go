package transport_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/transport"
)

// Guards against a response whose status is not one of RFC 9110, section 15, that is
// passed on or skipped, against its connection being used again, and against a request
// that is reported as not run although the backend server has received it.
func TestInvalidStatus(t *testing.T) {
	const rest = "Content-Length: 0\r\n\r\n"
	const ok = "HTTP/1.1 200 OK\r\n" + rest
	for _, tt := range []struct {
		desc, raw string
		want      int // status; 0: no response
	}{
		{"000", "HTTP/1.1 000 x\r\n" + rest, 0},
		{"000 and a response", "HTTP/1.1 000 x\r\n" + rest + ok, 0},
		{"099", "HTTP/1.1 099 x\r\n" + rest + ok, 0},
		{"plus sign", "HTTP/1.1 +20 x\r\n" + rest + ok, 0},
		{"minus sign", "HTTP/1.1 -00 x\r\n" + rest + ok, 0},
		{"two digits", "HTTP/1.1 20 x\r\n" + rest, 0},
		{"four digits", "HTTP/1.1 2000 x\r\n" + rest, 0},
		{"letter", "HTTP/1.1 2O0 x\r\n" + rest, 0},
		{"none", "HTTP/1.1 \r\n" + rest, 0},
		{"600", "HTTP/1.1 600 x\r\n" + rest, 0},
		{"999", "HTTP/1.1 999 x\r\n" + rest, 0},
		{"599", "HTTP/1.1 599 x\r\n" + rest, 599},
		{"599 without a reason", "HTTP/1.1 599\r\n" + rest, 599},
		{"interim response", "HTTP/1.1 199 x\r\n\r\n" + ok, 200},
		{"interim response and no head", "HTTP/1.1 103 x\r\n\r\nno head\r\n\r\n" + ok, 0},
		{"interim response and an invalid status", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 999 x\r\n" + rest, 0},
		{"interim response with an invalid field", "HTTP/1.1 103 x\r\nno field\r\n\r\n" + ok, 0},
	} {
		for _, isProbe := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, probe %t", tt.desc, isProbe), func(t *testing.T) {
				s := serveResponse(t, tt.raw, true)
				p := newPool(t, nil, transport.Options{})
				r := newGetRequest("/health")
				r.Probe = isProbe
				for range 2 {
					waitReuseDelay()
					resp, _, err := fetch(withTimeout(t, testTimeout), p, s.Address(), r)
					if tt.want != 0 {
						require.NoError(t, err)
						require.Equal(t, tt.want, resp.Status)
						continue
					}
					var f *transport.Failure
					require.ErrorAs(t, err, &f)
					require.Equal(t, transport.Malformed, f.Kind)
					require.False(t, f.NotRun)
				}
				if tt.want == 0 {
					require.Equal(t, 2, s.Connections())
				}
			})
		}
	}
}
