package transport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/transport"
	"lentilpin/standin/socket"
)

func newRelay(t *testing.T, target string) *socket.Relay {
	r, err := socket.NewRelay(target)
	require.NoError(t, err)
	t.Cleanup(r.Stop)
	return r
}

// openConnections opens n connections by keeping n exchanges open concurrently.
func openConnections(t *testing.T, p *transport.Pool, address string, n int) {
	var open []*transport.Response
	for range n {
		resp, f := p.Do(withTimeout(t, testTimeout), address, newGetRequest("/"))
		require.Nil(t, f)
		open = append(open, resp)
	}
	for _, resp := range open {
		_, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
	}
}

// Guards against a backend server that stays unreachable after its open
// connections went silent: one attempt must time out, and the following ones
// must use new connections and succeed.
func TestSilentIdleConnections(t *testing.T) {
	s := serveResponse(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	r := newRelay(t, s.Address())
	recorder := &fakeRecorder{}
	p := newPool(t, nil, transport.Options{Recorder: recorder})
	openConnections(t, p, r.Address(), 4)
	require.Equal(t, 4, r.Connections())
	r.Silence()
	waitReuseDelay()
	_, f := p.Do(withTimeout(t, 50*time.Millisecond), r.Address(), newGetRequest("/"))
	require.NotNil(t, f)
	require.Equal(t, transport.Timeout, f.Kind)
	require.False(t, f.NotRun)
	require.Equal(t, 1, recorder.count(5006))
	for range 4 {
		_, body, err := fetch(withTimeout(t, testTimeout), p, r.Address(), newGetRequest("/"))
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		waitReuseDelay()
	}
	require.Equal(t, 5, r.Connections())
}

// Guards against a silent connection that is detected only at the end of a long
// deadline although a newer connection works.
func TestSilentExchangeOverRelay(t *testing.T) {
	s := serveResponse(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	r := newRelay(t, s.Address())
	p := newPool(t, func(s *dynamic.Service) { s.Connections.SilentMS = 50 }, transport.Options{})
	openConnections(t, p, r.Address(), 1)
	r.Silence()
	waitReuseDelay()
	failed := make(chan *transport.Failure)
	go func() {
		_, f := p.Do(withTimeout(t, testTimeout), r.Address(), newGetRequest("/"))
		failed <- f
	}()
	<-r.Dropped // the request is lost; newer connections keep working
	for {
		select {
		case f := <-failed:
			require.NotNil(t, f)
			require.ErrorIs(t, f, transport.ErrSilentConnection)
			require.Equal(t, transport.Timeout, f.Kind)
			require.False(t, f.NotRun)
			return
		default:
			_, _, err := fetch(withTimeout(t, testTimeout), p, r.Address(), newGetRequest("/"))
			require.NoError(t, err)
		}
	}
}

// pipeDialer returns a dial function for in-memory connections, which work in
// virtual time. The nth connection is served by the nth handler.
func pipeDialer(handle ...func(c net.Conn)) func(context.Context, string) (net.Conn, error) {
	var n atomic.Int32
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		h := handle[int(n.Add(1))-1]
		go func() {
			defer server.Close()
			h(server)
		}()
		return client, nil
	}
}

func respondAfter(d time.Duration) func(net.Conn) {
	return func(c net.Conn) {
		socket.ServeRequests(c, func(*http.Request, []byte) bool {
			time.Sleep(d)
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return err == nil
		})
	}
}

func respondWithSlowBody(c net.Conn) {
	socket.ServeRequests(c, func(*http.Request, []byte) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
		time.Sleep(1300 * time.Millisecond)
		_, err := io.WriteString(c, "ok")
		return err == nil
	})
}

func neverRespond(c net.Conn) {
	socket.ServeRequests(c, func(*http.Request, []byte) bool { return true })
}

// Guards against a silent connection that is detected too late, and against an
// early end of an exchange although no newer connection works, the response has
// begun, or the request is not idempotent. silentMs is 1000 ms, and the sweep
// runs every 250 ms.
func TestSilentExchangeInVirtualTime(t *testing.T) {
	tests := []struct {
		desc       string
		idempotent bool
		old, newer func(net.Conn)
		want       time.Duration // of the exchange on the older connection
		silent     bool
		ok         bool
	}{
		{"idempotent, newer connection works", true, neverRespond, respondAfter(time.Millisecond), time.Second, true, false},
		{"idempotent, newer connection silent too", true, neverRespond, neverRespond, 1500 * time.Millisecond, false, false},
		{"not idempotent, newer connection works", false, neverRespond, respondAfter(time.Millisecond), 1500 * time.Millisecond, false, false},
		{"idempotent, slow body", true, respondWithSlowBody, respondAfter(time.Millisecond), 1300 * time.Millisecond, false, true},
		{"idempotent, slow head but below silentMs", true, respondAfter(900 * time.Millisecond), respondAfter(time.Millisecond), 900 * time.Millisecond, false, true},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				recorder := &fakeRecorder{}
				p := transport.NewPool(transport.Options{Settings: settings(nil), Recorder: recorder, Dial: pipeDialer(tc.old, tc.newer)})
				defer p.Close()
				start := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
				defer cancel()
				done := make(chan struct{})
				go func() {
					defer close(done)
					r := newGetRequest("/")
					r.Idempotent = tc.idempotent
					_, _, err := fetch(ctx, p, "a:1", r)
					require.Equal(t, tc.ok, err == nil)
					took := time.Since(start)
					require.GreaterOrEqual(t, took, tc.want)
					require.LessOrEqual(t, took, tc.want+250*time.Millisecond)
					if tc.silent {
						require.ErrorIs(t, err, transport.ErrSilentConnection)
					}
				}()
				synctest.Wait()
				_, _, _ = fetch(ctx, p, "a:1", newGetRequest("/"))
				<-done
				if tc.silent || !tc.idempotent {
					require.Equal(t, 1, recorder.count(5002))
				}
			})
		})
	}
}

// Guards against reuse of a connection that was silent during a non-idempotent
// exchange and then delivered the response.
func TestSilentPostCompletesWithoutReuse(t *testing.T) {
	arrived, respond, connClosed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	s := startServer(t, func(c net.Conn, number int) {
		socket.ServeRequests(c, func(*http.Request, []byte) bool {
			if number == 1 {
				close(arrived)
				<-respond
			}
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return err == nil
		})
		if number == 1 {
			close(connClosed)
		}
	})
	recorder := &fakeRecorder{}
	p := newPool(t, func(s *dynamic.Service) {
		s.Connections.SilentMS, s.Connections.IdleMS = 20, 10*int(testTimeout.Milliseconds())
	}, transport.Options{Recorder: recorder})
	done := make(chan error)
	go func() {
		_, _, err := fetch(withTimeout(t, testTimeout), p, s.Address(), newPostRequest("/tilaus/1", nil))
		done <- err
	}()
	<-arrived
	for recorder.count(5002) == 0 {
		_, _, err := fetch(withTimeout(t, testTimeout), p, s.Address(), newGetRequest("/"))
		require.NoError(t, err)
	}
	close(respond)
	require.NoError(t, <-done, "silence must not end a non-idempotent exchange")
	select {
	case <-connClosed:
	case <-time.After(testTimeout):
		t.Fatal("the connection is still open")
	}
}

// Guards against reuse of connections to a backend server that has just sent
// bytes that belong to no request: more such bytes may be in transit.
func TestUnsolicitedBytesStopReuse(t *testing.T) {
	s := startServer(t, func(c net.Conn, number int) {
		socket.ServeRequests(c, func(*http.Request, []byte) bool {
			raw := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
			if number == 1 {
				raw += raw
			}
			_, err := io.WriteString(c, raw)
			return err == nil
		})
	})
	synctest.Test(t, func(t *testing.T) {
		recorder := &fakeRecorder{}
		p := transport.NewPool(transport.Options{Settings: settings(nil), Recorder: recorder})
		defer p.Close()
		for i, after := range []time.Duration{0, time.Second, 58 * time.Second, 2 * time.Second, time.Second} {
			time.Sleep(after)
			_, body, err := fetch(context.Background(), p, s.Address(), newGetRequest("/"))
			require.NoError(t, err)
			require.Equal(t, "ok", string(body))
			require.Equal(t, min(i+1, 4), s.Connections())
		}
		require.Equal(t, 1, recorder.count(5001))
	})
}

// Guards against a second response, sent right after the first, that is read as
// the response to the next request: a connection is not reused for 1 ms while
// another one can be made.
func TestReuseDelay(t *testing.T) {
	for _, limit := range []int{2, 1} {
		s := startServer(t, func(c net.Conn, _ int) { respondAfter(0)(c) })
		synctest.Test(t, func(t *testing.T) {
			p := transport.NewPool(transport.Options{Settings: settings(func(s *dynamic.Service) {
				s.Connections.PerBackend, s.InstanceCeiling = limit, 1
			})})
			defer p.Close()
			for _, step := range []struct {
				after       time.Duration
				connections int
			}{{0, 1}, {999 * time.Microsecond, 2}, {time.Microsecond, 2}, {0, 2}, {time.Millisecond, 2}} {
				time.Sleep(step.after)
				_, _, err := fetch(context.Background(), p, s.Address(), newGetRequest("/"))
				require.NoError(t, err)
				require.Equal(t, min(step.connections, limit), s.Connections())
			}
		})
	}
}

// Guards against idle connections that are kept for longer than idleMs (5000,
// checked every 250 ms), against a non-idempotent request on a connection that
// was idle for a second, and against a connection permit held by a connection
// that was idle too long for such a request. The server runs outside of the
// virtual time.
func TestIdleConnectionExpiry(t *testing.T) {
	for _, limit := range []int{6, 1} {
		connsClosed := make(chan int, 8)
		s := startServer(t, func(c net.Conn, number int) {
			respondAfter(0)(c)
			connsClosed <- number
		})
		synctest.Test(t, func(t *testing.T) {
			p := transport.NewPool(transport.Options{Settings: settings(func(s *dynamic.Service) {
				s.Connections.PerBackend, s.InstanceCeiling = limit, 1
			})})
			defer p.Close()
			send := func(after time.Duration, r *transport.Request, connections int) {
				time.Sleep(after)
				_, _, err := fetch(context.Background(), p, s.Address(), r)
				require.NoError(t, err)
				require.Equal(t, connections, s.Connections())
			}
			send(0, newGetRequest("/"), 1)
			send(999*time.Millisecond, newPostRequest("/", nil), 1)
			send(time.Second, newPostRequest("/", nil), 2)
			if limit == 1 {
				require.Equal(t, 1, <-connsClosed)
			}
			send(4700*time.Millisecond, newGetRequest("/"), 2)
			time.Sleep(5250 * time.Millisecond)
			if limit > 1 {
				<-connsClosed
			}
			<-connsClosed
			send(0, newGetRequest("/"), 3)
		})
	}
}
