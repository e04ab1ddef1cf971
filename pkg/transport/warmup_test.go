package transport_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/transport"
)

// Guards against a cold backend server that counts as warm, because of a malformed value
// or a response without the field, and against services without a limit for which the
// field is read.
func TestRemainingWarmup(t *testing.T) {
	for _, tt := range []struct {
		desc, lines string
		perSecond   float64
		want        time.Duration // -1: not stated
	}{
		{"cold", "X-Warmup: 2400\r\n", 6.3, 2400 * time.Millisecond},
		{"fraction and spaces", "x-warmup:  0.5 \r\n", 6.3, 500 * time.Microsecond},
		{"warm", "X-Warmup: 0\r\n", 6.3, 0},
		{"more than a day", "X-Warmup: 1e300\r\n", 6.3, 24 * time.Hour},
		{"no field", "", 6.3, -1},
		{"repeated", "X-Warmup: 1\r\nX-Warmup: 0\r\n", 6.3, -1},
		{"negative", "X-Warmup: -1\r\n", 6.3, -1},
		{"not a number", "X-Warmup: NaN\r\n", 6.3, -1},
		{"no limit", "X-Warmup: 2400\r\n", 0, -1},
	} {
		s := serveResponse(t, "HTTP/1.1 200 OK\r\n"+tt.lines+"Content-Length: 0\r\n\r\n", true)
		p := newPool(t, func(d *dynamic.Service) { d.Headers.Warmup, d.Warmup.PerSecond = "X-Warmup", tt.perSecond }, transport.Options{})
		resp, _, err := fetch(withTimeout(t, testTimeout), p, s.Address(), newGetRequest("/health"))
		require.NoError(t, err, tt.desc)
		require.Equal(t, tt.want >= 0, resp.Signals.HasWarmupLeft, tt.desc)
		require.Equal(t, max(0, tt.want), resp.Signals.WarmupLeft, tt.desc)
	}
}
