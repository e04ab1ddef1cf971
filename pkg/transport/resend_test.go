package transport_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/transport"
	"lentilpin/standin/socket"
)

const orderBody = `{"item":"briquettes","sacks":4}`

// closeOnSecondRequest starts a server that responds to every request, but reads
// the second request of the first connection completely and closes the
// connection without a response. It counts the POST requests that it has read.
func closeOnSecondRequest(t *testing.T) (*socket.Server, *atomic.Int32) {
	var posts atomic.Int32
	s := startServer(t, func(c net.Conn, connection int) {
		n := 0
		socket.ServeRequests(c, func(r *http.Request, _ []byte) bool {
			n++
			if r.Method == http.MethodPost {
				posts.Add(1)
			}
			if connection == 1 && n == 2 {
				return false
			}
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return err == nil
		})
	})
	return s, &posts
}

// Documents why this package replaces http.Transport: http.Transport sends a
// POST with Idempotency-Key twice when a reused connection closes after the
// request was read. It does so even if GetBody is nil, as long as the request
// has no body. If this test fails, http.Transport has changed and the decision
// in docs/decisions/transport.md should be reviewed.
func TestHTTPTransportResendsPost(t *testing.T) {
	tests := []struct {
		desc    string
		body    string
		getBody bool
		posts   int32
	}{
		{"body with GetBody", orderBody, true, 2},
		{"no body", "", false, 2},
		{"body without GetBody", orderBody, false, 1},
	}
	for _, tc := range tests {
		s, posts := closeOnSecondRequest(t)
		tr := &http.Transport{}
		send := func(method string, body io.Reader) error {
			r, err := http.NewRequestWithContext(withTimeout(t, testTimeout), method, "http://"+s.Address()+"/tilaus/1", body)
			require.NoError(t, err)
			r.Header.Set("Idempotency-Key", "k1")
			if !tc.getBody {
				r.GetBody = nil
			}
			resp, err := tr.RoundTrip(r)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			return resp.Body.Close()
		}
		require.NoError(t, send(http.MethodGet, nil))
		err := send(http.MethodPost, strings.NewReader(tc.body))
		require.Equal(t, tc.posts == 1, err != nil, "%s: a POST that was sent twice looks like a success", tc.desc)
		require.Equal(t, tc.posts, posts.Load(), tc.desc)
		tr.CloseIdleConnections()
	}
}

// Guards against a POST that is sent twice when a reused connection closes after
// the request was read.
func TestPoolSendsPostOnce(t *testing.T) {
	s, posts := closeOnSecondRequest(t)
	p := newPool(t, nil, transport.Options{})
	_, _, err := fetch(withTimeout(t, testTimeout), p, s.Address(), newGetRequest("/tilaus/1"))
	require.NoError(t, err)
	waitReuseDelay()
	r := newPostRequest("/tilaus/1", []byte(orderBody))
	r.Header = http.Header{"Idempotency-Key": {"k1"}}
	_, f := p.Do(withTimeout(t, testTimeout), s.Address(), r)
	require.NotNil(t, f)
	require.Equal(t, transport.Read, f.Kind)
	require.False(t, f.NotRun, "the backend server has read the request")
	require.EqualValues(t, 1, posts.Load())
	require.Equal(t, 1, s.Connections(), "the POST must have used the existing connection")
}
