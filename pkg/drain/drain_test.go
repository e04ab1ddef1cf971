package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lentilpin/standin/pipe"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const requestText = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// hookedConn calls onRead after bytes were read and before they are passed on.
type hookedConn struct {
	net.Conn
	onRead func()
}

func (c hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.onRead()
	}
	return n, err
}

// roundTrip sends a request and reports whether a complete response came back.
func roundTrip(c net.Conn) bool {
	if _, err := io.WriteString(c, requestText); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// Guards against a request that is served although its connection was closed as idle while
// its bytes were read: the response would be lost.
func TestRequestThatCrossesTheClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var served, reads int
		var s *Server
		l := pipe.NewListener()
		s = NewServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ })}, l)
		var loop sync.WaitGroup
		loop.Go(func() { require.NoError(t, s.Serve()) })
		own, other := net.Pipe()
		require.NoError(t, l.Connect(t.Context(), hookedConn{other, func() {
			if reads++; reads == 2 {
				for _, c := range s.listener.open() {
					c.closeIfIdle(time.Now())
				}
			}
		}}))
		require.True(t, roundTrip(own))
		time.Sleep(idleWait)
		require.False(t, roundTrip(own))
		require.NoError(t, own.Close())
		s.Close()
		loop.Wait()
		synctest.Wait()
		require.Equal(t, 1, served)
	})
}

// Guards against a request that gets no response because it had arrived in part, or was on
// its way, when the drain began. http.Server.Shutdown drops such requests.
func TestRequestThatHasBegunToArrive(t *testing.T) {
	for _, tt := range []struct {
		desc  string
		first bool // whether another request precedes it on the connection
		begun string
	}{
		{"new connection", false, ""},
		{"new connection, part of the header", false, requestText[:7]},
		{"kept connection", true, ""},
		{"kept connection, part of the header", true, requestText[:7]},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := pipe.NewListener()
				s := NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })}, l)
				if tt.first {
					s.http.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
				}
				var loop sync.WaitGroup
				loop.Go(func() { require.NoError(t, s.Serve()) })
				own, other := net.Pipe()
				require.NoError(t, l.Connect(t.Context(), other))
				if tt.first {
					require.True(t, roundTrip(own))
				}
				_, err := io.WriteString(own, tt.begun)
				require.NoError(t, err)
				synctest.Wait()
				loop.Go(func() { require.Zero(t, s.Drain(t.Context())) })
				time.Sleep(idleWait / 2)
				_, err = io.WriteString(own, requestText[len(tt.begun):])
				require.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(own), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.NoError(t, own.Close())
				loop.Wait()
			})
		})
	}
}

// Guards against requests that are served but not answered, or read and dropped, at any
// moment of a drain: on kept connections, on new ones and while others are in progress.
func TestDrainCutsOffNoRequest(t *testing.T) {
	const callers, span, work, interval = 20, time.Second, 30 * time.Millisecond, 7 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		served, answered, draining := 0, 0, false
		h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(work)
			mu.Lock()
			served++
			if draining {
				w.Header().Set("Connection", "close")
			}
			mu.Unlock()
			_, _ = io.WriteString(w, "body")
		})}
		l := pipe.NewListener()
		s := NewServer(h, l)
		var loop, work sync.WaitGroup
		loop.Go(func() { require.NoError(t, s.Serve()) })
		for i := range callers {
			work.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				for end := time.Now().Add(span); time.Now().Before(end); {
					own, other := net.Pipe()
					if l.Connect(t.Context(), other) != nil {
						return
					}
					for time.Now().Before(end) && roundTrip(own) {
						mu.Lock()
						answered++
						mu.Unlock()
						time.Sleep(interval)
					}
					_ = own.Close()
				}
			})
		}
		time.Sleep(span / 2)
		mu.Lock()
		draining = true
		mu.Unlock()
		require.Zero(t, s.Drain(t.Context()))
		work.Wait()
		loop.Wait()
		require.Equal(t, served, answered)
		require.Greater(t, served, callers)
	})
}

// Guards against a drain that waits for connections without requests, or does not end with
// its context.
func TestDrainOfConnections(t *testing.T) {
	for _, tt := range []struct {
		desc string
		text string        // sent at once on a new connection
		want time.Duration // how long the drain takes
		cut  int
	}{
		{"no request", "", idleWait, 0},
		{"part of a header", requestText[:5], 10 * time.Second, 1},
		{"a request", requestText, 3*time.Second + idleWait, 0},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := pipe.NewListener()
				s := NewServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(3 * time.Second) })}, l)
				var loop sync.WaitGroup
				loop.Go(func() { require.NoError(t, s.Serve()) })
				own, other := net.Pipe()
				require.NoError(t, l.Connect(t.Context(), other))
				loop.Go(func() { _, _ = io.Copy(own, strings.NewReader(tt.text)) })
				loop.Go(func() { _, _ = io.Copy(io.Discard, own) })
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				start := time.Now()
				require.Equal(t, tt.cut, s.Drain(ctx))
				require.InDelta(t, tt.want, time.Since(start), float64(2*drainInterval))
				_ = own.Close()
				loop.Wait()
			})
		})
	}
}
