package transport_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/transport"
	"lentilpin/standin/socket"
)

// serveResponse starts a server that responds with raw to the requests of each
// connection. It closes the connection after the first response unless open is
// set.
func serveResponse(t *testing.T, raw string, open bool) *socket.Server {
	return startServer(t, func(c net.Conn, _ int) {
		socket.ServeRequests(c, func(r *http.Request, _ []byte) bool {
			_, err := io.WriteString(c, strings.ReplaceAll(raw, "$EXCHANGE", r.Header.Get(transport.ExchangeHeader)))
			return open && err == nil
		})
	})
}

// Guards against a truncated response that is accepted as complete: truncates at
// every byte, with the connection closed and with it reset.
func TestResponseCutAtEveryByte(t *testing.T) {
	tests := []struct{ desc, raw, body string }{
		{"Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nstock: 4 700", "stock: 4 700"},
		{"chunked coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstock\r\n3;x=y\r\n: 4\r\n0\r\n\r\n", "stock: 4"},
		{"trailer field", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n5\r\nstock\r\n0\r\nSum: 9\r\n\r\n", "stock"},
		{"interim response", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno", "no"},
		{"no body", "HTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n", ""},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			s := startServer(t, func(c net.Conn, _ int) {
				socket.ServeRequests(c, func(r *http.Request, _ []byte) bool {
					var cut int
					var ending string
					_, _ = fmt.Sscanf(r.URL.Path, "/%d/%s", &cut, &ending)
					_, _ = io.WriteString(c, tc.raw[:cut])
					if ending == "reset" {
						socket.Reset(c)
					}
					return false
				})
			})
			p := newPool(t, nil, transport.Options{})
			for cut := range len(tc.raw) + 1 {
				for _, ending := range []string{"close", "reset"} {
					_, body, err := fetch(withTimeout(t, testTimeout), p, s.Address(), newGetRequest(fmt.Sprintf("/%d/%s", cut, ending)))
					if cut < len(tc.raw) {
						require.Error(t, err, "%s after %d of %d bytes: body %q was accepted as complete", ending, cut, len(tc.raw), body)
					} else if ending == "close" {
						require.NoError(t, err)
						require.Equal(t, tc.body, string(body))
					}
				}
			}
		})
	}
}

// Guards against a truncated body whose error is not ErrTruncated.
func TestTruncatedBodyError(t *testing.T) {
	s := serveResponse(t, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nstock", false)
	recorder := &fakeRecorder{}
	p := newPool(t, nil, transport.Options{Recorder: recorder})
	resp, body, err := fetch(withTimeout(t, testTimeout), p, s.Address(), newGetRequest("/"))
	require.ErrorIs(t, err, transport.ErrTruncated)
	require.Equal(t, "stock", string(body))
	require.Equal(t, 1, recorder.count(5003))
	_, again := resp.Body.Read(make([]byte, 1))
	require.ErrorIs(t, again, transport.ErrTruncated, "a later Read must not return io.EOF")
}

// Guards against wrong message framing, response fields that must not be passed
// on, and a connection that is reused although it must not be or not reused
// although it may be.
func TestResponseFramingAndReuse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	tests := []struct {
		desc    string
		method  string
		raw     string
		err     error
		kind    transport.FailureKind
		reused  bool
		body    string
		trailer http.Header
		header  http.Header
		signals transport.Signals
	}{
		{desc: "Content-Length", raw: ok + "X-A: 1\r\n\r\nok", reused: true, body: "ok",
			header: http.Header{"X-A": {"1"}, "Content-Length": {"2"}}},
		{desc: "HEAD request", method: "HEAD", raw: ok + "\r\n", reused: true, header: http.Header{"Content-Length": {"2"}}},
		{desc: "not modified", raw: "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", reused: true,
			header: http.Header{"Content-Length": {"9"}}},
		{desc: "no content", raw: "HTTP/1.1 204 No Content\r\n\r\n", reused: true},
		{desc: "interim responses", raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + ok + "\r\nok", reused: true, body: "ok",
			header: http.Header{"Content-Length": {"2"}}},
		{desc: "too many interim responses", raw: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9) + ok + "\r\nok", kind: transport.Malformed},
		{desc: "protocol switch that was not requested", raw: "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", kind: transport.Malformed},
		{desc: "Connection: close", raw: ok + "Connection: close\r\n\r\nok", body: "ok", header: http.Header{"Content-Length": {"2"}}},
		{desc: "HTTP/1.0", raw: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok", header: http.Header{"Content-Length": {"2"}}},
		{desc: "trailer field", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n2\r\nok\r\n0\r\nSum: 9\r\n\r\n",
			reused: true, body: "ok", trailer: http.Header{"Sum": {"9"}}},
		{desc: "hop-by-hop fields", raw: ok + "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nUpgrade: h2c\r\nX-End: 1\r\n\r\nok",
			reused: true, body: "ok", header: http.Header{"Content-Length": {"2"}, "X-End": {"1"}}},
		{desc: "signal fields", raw: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nBackend-Shed: not-run\r\nBackend-State: draining\r\n" +
			"endpoint-load-metrics: TEXT named_metrics.inflight=4,cpu=0.5\r\n\r\n", reused: true,
			header:  http.Header{"Content-Length": {"0"}},
			signals: transport.Signals{HasReport: true, Draining: true, Shed: true}},
		{desc: "shed field in a successful response", raw: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nBackend-Shed: not-run\r\n\r\n", reused: true,
			header: http.Header{"Content-Length": {"0"}}},
		{desc: "matching exchange ID", raw: ok + "Lentilpin-Exchange: $EXCHANGE\r\n\r\nok", reused: true, body: "ok",
			header: http.Header{"Content-Length": {"2"}}},
		{desc: "ID of another exchange", raw: ok + "Lentilpin-Exchange: x-1\r\n\r\nok", err: transport.ErrExchangeMismatch, kind: transport.Malformed},
		{desc: "repeated exchange field", raw: ok + "Lentilpin-Exchange: $EXCHANGE\r\nLentilpin-Exchange: $EXCHANGE\r\n\r\nok",
			err: transport.ErrExchangeMismatch, kind: transport.Malformed},
		{desc: "body delimited by connection close", raw: "HTTP/1.1 200 OK\r\n\r\nok", err: transport.ErrUnframed, kind: transport.Malformed},
		{desc: "conflicting Content-Length fields", raw: ok + "Content-Length: 3\r\n\r\nok", kind: transport.Malformed},
		{desc: "large head", raw: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 128<<10), err: transport.ErrTooLarge, kind: transport.Malformed},
		{desc: "large body", raw: "HTTP/1.1 200 OK\r\nContent-Length: 268435457\r\n\r\n", err: transport.ErrTooLarge, kind: transport.Malformed},
		{desc: "not HTTP", raw: "SSH-2.0-x\r\n\r\n", kind: transport.Malformed},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			s := serveResponse(t, tc.raw, true)
			p := newPool(t, nil, transport.Options{})
			for range 2 {
				waitReuseDelay()
				r := newGetRequest("/")
				if tc.method != "" {
					r.Method = tc.method
				}
				resp, body, err := fetch(withTimeout(t, testTimeout), p, s.Address(), r)
				if tc.kind != 0 {
					var f *transport.Failure
					require.ErrorAs(t, err, &f)
					require.Equal(t, tc.kind, f.Kind)
					require.False(t, f.NotRun)
					if tc.err != nil {
						require.ErrorIs(t, err, tc.err)
					}
					continue
				}
				require.NoError(t, err)
				require.Equal(t, tc.body, string(body))
				require.Equal(t, len(tc.header), len(resp.Header), "%v", resp.Header)
				for name, values := range tc.header {
					require.Equal(t, values, resp.Header[name])
				}
				require.Equal(t, len(tc.trailer), len(resp.Trailer))
				require.Equal(t, tc.trailer.Get("Sum"), resp.Trailer.Get("Sum"))
				tc.signals.Report = resp.Signals.Report
				require.Equal(t, tc.signals, resp.Signals)
				if tc.signals.HasReport {
					require.EqualValues(t, 4, resp.Signals.Report.Inflight)
				}
			}
			want := 2
			if tc.reused {
				want = 1
			}
			require.Equal(t, want, s.Connections())
		})
	}
}

// Guards against hop-by-hop fields, the deadline and the framing fields of the
// caller that reach a backend server, and against a Request that is modified by
// Do.
func TestWrittenRequest(t *testing.T) {
	var got *http.Request
	var gotBody []byte
	s := startServer(t, func(c net.Conn, _ int) {
		socket.ServeRequests(c, func(r *http.Request, body []byte) bool {
			got, gotBody = r, body
			_, err := io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
			return err == nil
		})
	})
	p := newPool(t, nil, transport.Options{})
	for _, target := range []string{"/tilaus/1?x=%20y", "//tilaus//1?x=1"} {
		r := newPostRequest(target, []byte(orderBody))
		r.Header = http.Header{
			"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"},
			"Content-Length": {"7"}, "Expect": {"100-continue"}, "Request-Timeout": {"999999"}, "X-End": {"a", "b"},
			"X-Split": {"a\r\nEvil: 1"},
		}
		before := r.Header.Clone()
		_, _, err := fetch(withTimeout(t, testTimeout), p, s.Address(), r)
		require.NoError(t, err)
		require.Equal(t, before, r.Header)
		require.Equal(t, orderBody, string(gotBody))
		require.Equal(t, target, got.RequestURI)
		require.Equal(t, "varasto", got.Host)
		require.Equal(t, []string{"a", "b"}, got.Header["X-End"])
		require.Len(t, got.Header, 5, "%v", got.Header) // X-End, X-Split, Content-Length, Request-Timeout, Lentilpin-Exchange
		require.LessOrEqual(t, len(got.Header.Get("Request-Timeout")), 5)
	}
}

// Guards against requests that would be parsed as something else or are too
// large. Each must fail with NotRun.
func TestInvalidRequestsAreNotSent(t *testing.T) {
	s := serveResponse(t, "HTTP/1.1 204 No Content\r\n\r\n", true)
	p := newPool(t, func(s *dynamic.Service) { s.MaxBodyBytes = 8 }, transport.Options{})
	tests := []struct {
		desc   string
		change func(*transport.Request)
	}{
		{"space in the target", func(r *transport.Request) { r.Target = "/a HTTP/1.1" }},
		{"line break in the target", func(r *transport.Request) { r.Target = "/a\r\nX: 1" }},
		{"absolute target", func(r *transport.Request) { r.Target = "http://other/" }},
		{"no target", func(r *transport.Request) { r.Target = "" }},
		{"line break in the method", func(r *transport.Request) { r.Method = "GET / HTTP/1.1\r\nX:" }},
		{"large body", func(r *transport.Request) { r.Body = make([]byte, 9) }},
		{"large head", func(r *transport.Request) { r.Header = http.Header{"X": {strings.Repeat("a", 1<<20+16<<10)}} }},
	}
	for _, tc := range tests {
		r := newGetRequest("/")
		tc.change(r)
		_, f := p.Do(withTimeout(t, testTimeout), s.Address(), r)
		require.NotNil(t, f, tc.desc)
		require.True(t, f.NotRun, tc.desc)
		require.Equal(t, transport.Malformed, f.Kind, tc.desc)
	}
	require.Zero(t, s.Connections())
}
