package transport_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/transport"
	"lentilpin/standin/socket"
)

const benchResponse = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\nContent-Type: text/plain\r\nDate: Fri, 04 Dec 2026 07:00:00 GMT\r\n" +
	"Endpoint-Load-Metrics: TEXT named_metrics.inflight=4,named_metrics.queued=0,named_metrics.latency_ms=7.5,named_metrics.slots=6\r\n\r\n0123456789abcdef"

// benchServer responds without allocating, so that the measured allocations are
// those of the client.
func benchServer(b *testing.B) *socket.Server {
	return startServer(b, func(c net.Conn, _ int) {
		buffer := make([]byte, 4096)
		response := []byte(benchResponse)
		n := 0
		for {
			m, err := c.Read(buffer[n:])
			if err != nil {
				return
			}
			n += m
			if bytes.HasSuffix(buffer[:n], []byte("\r\n\r\n")) {
				n = 0
				if _, err := c.Write(response); err != nil {
					return
				}
			}
		}
	})
}

var benchHeader = http.Header{"Accept": {"*/*"}, "X-Request-Token": {"token-1"}, "User-Agent": {"bench"}}

func BenchmarkExchange(b *testing.B) {
	buffer := make([]byte, 64)
	b.Run("pool", func(b *testing.B) {
		s := benchServer(b)
		address := s.Address()
		p := newPool(b, nil, transport.Options{})
		r := newGetRequest("/varasto/1")
		r.Header = benchHeader
		b.ReportAllocs()
		for b.Loop() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			resp, f := p.Do(ctx, address, r)
			if f != nil {
				b.Fatal(f)
			}
			readAll(b, resp.Body, buffer)
			cancel()
		}
		require.LessOrEqual(b, s.Connections(), 6)
	})
	for _, reuse := range []bool{true, false} {
		name := "http.Transport"
		if !reuse {
			name = "http.Transport without reuse"
		}
		b.Run(name, func(b *testing.B) {
			url := "http://" + benchServer(b).Address() + "/varasto/1"
			tr := &http.Transport{DisableCompression: true, DisableKeepAlives: !reuse}
			defer tr.CloseIdleConnections()
			b.ReportAllocs()
			for b.Loop() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
				if err != nil {
					b.Fatal(err)
				}
				r.Header = benchHeader
				resp, err := tr.RoundTrip(r)
				if err != nil {
					b.Fatal(err)
				}
				readAll(b, resp.Body, buffer)
				_ = resp.Body.Close()
				cancel()
			}
		})
	}
}

func readAll(b *testing.B, r io.Reader, buffer []byte) {
	for {
		_, err := r.Read(buffer)
		if err == io.EOF {
			return
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}
