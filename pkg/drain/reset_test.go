package drain

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a part of a response that ends with its connection and looks like all of
// it, however the response is broken off, and against a whole one that is reset.
func TestResetUnlessWhole(t *testing.T) {
	const head = "HTTP/1.0 200 OK\r\n\r\n"
	for _, tt := range []struct {
		desc   string
		finish func(s *Server, whole func())
		whole  bool
	}{
		{"whole", func(_ *Server, whole func()) { whole() }, true},
		{"the handler returns", func(*Server, func()) {}, false},
		{"the handler panics", func(*Server, func()) { panic(http.ErrAbortHandler) }, false},
		{"the server closes", func(s *Server, _ func()) { s.Close() }, false},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			var s *Server
			s = NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				whole := ResetUnlessWhole(r.Context())
				w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				tt.finish(s, whole)
			})}, l)
			var loop sync.WaitGroup
			loop.Go(func() { _ = s.Serve() })
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			_, err = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
			require.NoError(t, err)
			got, err := io.ReadAll(c)
			require.Equal(t, tt.whole, err == nil, "%v", err)
			if tt.whole {
				require.Equal(t, head+"part", string(got))
			}
			require.NoError(t, c.Close())
			s.Close()
			loop.Wait()
		})
	}
}
