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
	const interim = "HTTP/1.1 103 x\r\n"
	type response struct {
		raw  string
		want int // status; 0: no response
	}
	tests := []response{
		{"HTTP/1.1 000 x\r\n" + rest, 0}, {"HTTP/1.1 599 x\r\n" + rest, 599}, {"HTTP/1.1 599\r\n" + rest, 599},
		{interim + "\r\n" + ok, 200}, {interim + "\r\nno head\r\n\r\n" + ok, 0}, {interim + "no field\r\n\r\n" + ok, 0},
		{interim + "\r\nHTTP/1.1 999 x\r\n" + rest, 0},
	}
	for _, status := range []string{"000", "099", "+20", "-00", "20", "2000", "2O0", "", "600", "999"} {
		tests = append(tests, response{"HTTP/1.1 " + status + " x\r\n" + rest + ok, 0})
	}
	for _, tt := range tests {
		for _, isProbe := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, probe %t", tt.raw, isProbe), func(t *testing.T) {
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
