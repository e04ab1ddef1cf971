package transport_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/transport"
	"lentilpin/standin/socket"
)

// scriptedBackend is a backend server that responds as the X-Script field of
// each request says. It records the requests that it has read.
type scriptedBackend struct {
	mu            sync.Mutex
	requestCounts map[string]int
	mixedRequests []string // requests that carried a field of another request
	conns         []net.Conn
	handlers      sync.WaitGroup
}

func (b *scriptedBackend) dial(context.Context, string) (net.Conn, error) {
	client, peer := socketPair()
	b.mu.Lock()
	b.conns = append(b.conns, peer)
	b.mu.Unlock()
	b.handlers.Add(1)
	go func() {
		defer b.handlers.Done()
		defer peer.Close()
		socket.ServeRequests(peer, func(r *http.Request, _ []byte) bool {
			token := r.Header.Get("X-Token")
			b.mu.Lock()
			b.requestCounts[token]++
			if len(r.Header["X-"+token]) != 1 || len(r.Header) != 5 {
				b.mixedRequests = append(b.mixedRequests, fmt.Sprint(token, r.Header))
			}
			b.mu.Unlock()
			raw, open := scriptedResponse(r.Header.Get("X-Script"), token)
			_, err := io.WriteString(peer, raw)
			return err == nil && open
		})
	}()
	return client, nil
}

func lengthResponse(token string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(token), token)
}

func chunkedResponse(token string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(token), token)
}

// scriptedResponse returns the bytes of a response and whether the connection
// stays open.
func scriptedResponse(script, token string) (raw string, open bool) {
	const foreign = "foreign"
	switch script {
	case "chunked":
		return chunkedResponse(token), true
	case "truncated body":
		return lengthResponse(token)[:len(lengthResponse(token))-1], false
	case "truncated head":
		return lengthResponse(token)[:20], false
	case "two responses":
		return lengthResponse(token) + lengthResponse(foreign), true
	case "extra byte":
		return chunkedResponse(token) + "x", true
	case "interim":
		return "HTTP/1.1 100 Continue\r\n\r\n" + lengthResponse(token), true
	case "close":
		return strings.Replace(lengthResponse(token), "\r\n", "\r\nConnection: close\r\n", 1), false
	case "close without response":
		return "", false
	}
	return lengthResponse(token), true
}

var scripts = []string{"length", "chunked", "truncated body", "truncated head", "two responses", "extra byte", "interim", "close", "close without response"}

// Guards against response bytes that reach another exchange, an incomplete
// response that is accepted as complete, a request that reaches the backend
// server twice, and a request that carries a field of another one. The test
// draws sequences of exchanges, some of them concurrent, with late bytes on the
// connections in between.
func TestExchangesAreIsolated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &scriptedBackend{requestCounts: map[string]int{}}
		p := transport.NewPool(transport.Options{Settings: settings(nil), Dial: b.dial})
		sent := 0
		exchange := func(script, token string, idempotent bool) {
			r := newGetRequest("/")
			r.Idempotent = idempotent
			r.Header = http.Header{"X-Token": {token}, "X-Script": {script}, "X-" + token: {"1"}, "User-Agent": {"test"}}
			_, body, err := fetch(context.Background(), p, "a:1", r)
			if err == nil && string(body) != token {
				panic(fmt.Sprintf("%s: got %q as the response to %q", script, body, token))
			}
			if err != nil && (script == "length" || script == "chunked" || script == "interim" || script == "close") {
				panic(fmt.Sprintf("%s: %v", script, err))
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			waitReuseDelay()
			var wg sync.WaitGroup
			for range rapid.IntRange(1, 4).Draw(t, "at the same time") {
				sent++
				script, token := rapid.SampledFrom(scripts).Draw(t, "script"), fmt.Sprint("Token-", sent)
				idempotent := rapid.Bool().Draw(t, "idempotent")
				wg.Add(1)
				go func() {
					defer wg.Done()
					exchange(script, token, idempotent)
				}()
			}
			wg.Wait()
			if rapid.Bool().Draw(t, "late") {
				lateBytes := rapid.SampledFrom([]string{lengthResponse("late"), chunkedResponse("late"), "x", "\r\n"}).Draw(t, "late bytes")
				b.mu.Lock()
				_, _ = io.WriteString(b.conns[rapid.IntRange(0, len(b.conns)-1).Draw(t, "connection")], lateBytes)
				b.mu.Unlock()
			}
		}
		p.Close()
		b.handlers.Wait()
		require.Empty(t, b.mixedRequests)
		require.Len(t, b.requestCounts, sent)
		for token, n := range b.requestCounts {
			require.Equal(t, 1, n, token)
		}
	})
}
