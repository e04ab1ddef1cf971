package transport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/transport"
	"lentilpin/standin/socket"
)

// failingConn passes on at most writeLimit bytes of a write and then fails it.
type failingConn struct {
	net.Conn
	writeLimit int
}

var errWriteFailed = &net.OpError{Op: "write", Err: errors.New("broken")}

func (c *failingConn) Write(p []byte) (int, error) {
	n, _ := c.Conn.Write(p[:min(c.writeLimit, len(p))])
	return n, errWriteFailed
}

// Guards against a Failure with NotRun although a byte of the request was
// written, and against one without NotRun although nothing was written.
func TestNotRunOnlyIfNothingWritten(t *testing.T) {
	readThen := func(end func(net.Conn)) func(net.Conn, int) {
		return func(c net.Conn, _ int) {
			socket.ServeRequests(c, func(*http.Request, []byte) bool { return false })
			end(c)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refusedAddress := listener.Addr().String()
	require.NoError(t, listener.Close())
	failing := func(writeLimit int) func(context.Context, string) (net.Conn, error) {
		return func(ctx context.Context, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return &failingConn{Conn: c, writeLimit: writeLimit}, err
		}
	}
	tests := []struct {
		desc   string
		handle func(net.Conn, int)
		dial   func(context.Context, string) (net.Conn, error)
		body   int
		kind   transport.FailureKind
		notRun bool
	}{
		{desc: "connection refused", kind: transport.Dial, notRun: true},
		{desc: "closed after reading", handle: readThen(func(net.Conn) {}), kind: transport.Read},
		{desc: "reset after reading", handle: readThen(socket.Reset), kind: transport.Read},
		{desc: "closed without reading", handle: func(net.Conn, int) {}, kind: transport.Read},
		{desc: "reset in the middle of the request", body: 1 << 20, kind: transport.Write, handle: func(c net.Conn, _ int) {
			_, _ = io.ReadFull(c, make([]byte, 1000))
			socket.Reset(c)
		}},
		{desc: "no byte written", dial: failing(0), handle: func(net.Conn, int) {}, kind: transport.Write, notRun: true},
		{desc: "one byte written", dial: failing(1), handle: func(net.Conn, int) {}, kind: transport.Write},
		{desc: "closed in the middle of the response head", handle: func(c net.Conn, _ int) {
			socket.ServeRequests(c, func(*http.Request, []byte) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nBackend-Shed: not-run\r\n")
				return false
			})
		}, kind: transport.Read},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			address := refusedAddress
			if tc.handle != nil {
				address = startServer(t, tc.handle).Address()
			}
			p := newPool(t, nil, transport.Options{Dial: tc.dial})
			_, f := p.Do(withTimeout(t, testTimeout), address, newPostRequest("/tilaus/1", make([]byte, tc.body)))
			require.NotNil(t, f)
			if tc.kind == transport.Write && !tc.notRun && tc.body > 0 {
				// The reset may reach the client after its last write.
				require.Contains(t, []transport.FailureKind{transport.Write, transport.Read}, f.Kind)
			} else {
				require.Equal(t, tc.kind, f.Kind, "%v", f)
			}
			require.Equal(t, tc.notRun, f.NotRun)
		})
	}
}

// Guards against losing the response of a backend server that sheds a large
// request before it has read all of it, and against taking any 503 for a shed
// response.
func TestEarlyResponseToLargeRequest(t *testing.T) {
	for _, shed := range []bool{true, false} {
		s := startServer(t, func(c net.Conn, _ int) {
			_, _ = io.ReadFull(c, make([]byte, 10))
			raw := "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
			if shed {
				raw += "Backend-Shed: not-run\r\n"
			}
			_, _ = io.WriteString(c, raw+"\r\n")
		}) // closing with unread input resets the connection
		p := newPool(t, func(s *dynamic.Service) { s.MaxBodyBytes = 64 << 20 }, transport.Options{})
		resp, f := p.Do(withTimeout(t, testTimeout), s.Address(), newPostRequest("/tilaus/1", make([]byte, 32<<20)))
		require.Nil(t, f, "%v", f)
		require.Equal(t, http.StatusServiceUnavailable, resp.Status)
		require.Equal(t, shed, resp.Signals.Shed)
	}
}

// Guards against an exchange that outlives its context, and against a connection
// that stays open after its exchange was canceled.
func TestCancellationClosesConnection(t *testing.T) {
	tests := []struct {
		inBody bool
		cause  error
		kind   transport.FailureKind
	}{
		{false, context.Canceled, transport.Canceled},
		{false, context.DeadlineExceeded, transport.Timeout},
		{true, context.Canceled, transport.Canceled}, // the head may not have been read yet
		{true, context.DeadlineExceeded, transport.Timeout},
	}
	for _, tc := range tests {
		arrived, connClosed := make(chan struct{}), make(chan struct{})
		s := startServer(t, func(c net.Conn, _ int) {
			socket.ServeRequests(c, func(*http.Request, []byte) bool {
				if tc.inBody {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab")
				}
				close(arrived)
				_, err := c.Read(make([]byte, 1))
				if err != nil {
					close(connClosed)
				}
				return false
			})
		})
		p := newPool(t, nil, transport.Options{})
		ctx, cancel := context.WithCancelCause(context.Background())
		go func() {
			<-arrived
			cancel(tc.cause)
		}()
		_, _, err := fetch(ctx, p, s.Address(), newGetRequest("/"))
		require.ErrorIs(t, err, tc.cause)
		var f *transport.Failure
		if errors.As(err, &f) {
			require.Equal(t, tc.kind, f.Kind)
			require.False(t, f.NotRun)
		}
		<-connClosed
	}
}

// blockedCloseConn blocks its first Close until unblock is closed.
type blockedCloseConn struct {
	*net.TCPConn
	closing, unblock chan struct{}
	closeCalls       atomic.Int32
}

func (c *blockedCloseConn) Close() error {
	if c.closeCalls.Add(1) == 1 {
		close(c.closing)
		<-c.unblock
	}
	return c.TCPConn.Close()
}

// Guards against reuse of a connection that is about to be closed because the
// context of its last exchange ended before the body was read to its end.
func TestContextEndsBeforeBody(t *testing.T) {
	s := serveResponse(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	closing, unblock := make(chan struct{}), make(chan struct{})
	var dials atomic.Int32
	p := newPool(t, nil, transport.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil || dials.Add(1) > 1 {
			return c, err
		}
		return &blockedCloseConn{TCPConn: c.(*net.TCPConn), closing: closing, unblock: unblock}, nil
	}})
	ctx, cancel := context.WithCancel(context.Background())
	resp, f := p.Do(ctx, s.Address(), newGetRequest("/"))
	require.Nil(t, f)
	cancel()
	<-closing
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err, "the complete response had arrived")
	require.Equal(t, "ok", string(body))
	waitReuseDelay()
	_, _, err = fetch(withTimeout(t, testTimeout), p, s.Address(), newGetRequest("/"))
	require.NoError(t, err)
	require.Equal(t, 2, s.Connections())
	close(unblock)
}

// Guards against reuse of a connection whose response was not read completely.
func TestBodyCloseBeforeEOFClosesConnection(t *testing.T) {
	s := serveResponse(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	p := newPool(t, nil, transport.Options{})
	for range 2 {
		waitReuseDelay()
		resp, f := p.Do(withTimeout(t, testTimeout), s.Address(), newGetRequest("/"))
		require.Nil(t, f)
		require.NoError(t, resp.Body.Close())
		_, err := resp.Body.Read(make([]byte, 1))
		require.Error(t, err)
	}
	require.Equal(t, 2, s.Connections())
}

// connCounter tracks the current and the peak number of open connections of a
// client.
type connCounter struct{ current, peak atomic.Int32 }

type countedConn struct {
	*net.TCPConn
	connCounter *connCounter
	once        sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.connCounter.current.Add(-1) })
	return c.TCPConn.Close()
}

func (counter *connCounter) dial(ctx context.Context, address string) (net.Conn, error) {
	n := counter.current.Add(1)
	for peak := counter.peak.Load(); n > peak && !counter.peak.CompareAndSwap(peak, n); peak = counter.peak.Load() {
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		counter.current.Add(-1)
		return nil, err
	}
	return &countedConn{TCPConn: c.(*net.TCPConn), connCounter: counter}, nil
}

// Guards against more connections than the share of this instance (12 / 4), and
// against connection permits that leak when waiting or running exchanges are
// canceled.
func TestConnectionLimit(t *testing.T) {
	s := startServer(t, func(c net.Conn, _ int) {
		n := 0
		socket.ServeRequests(c, func(r *http.Request, _ []byte) bool {
			n++
			if r.URL.Path == "/hang" {
				_, _ = c.Read(make([]byte, 1))
				return false
			}
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return err == nil && n%7 != 0 // some connections are closed after a response
		})
	})
	var counter connCounter
	p := newPool(t, func(s *dynamic.Service) {
		s.Connections.PerBackend, s.InstanceCeiling, s.Connections.DialMS = 12, 4, int(testTimeout.Milliseconds())
	}, transport.Options{Dial: counter.dial})
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 25 {
				if (i+n)%5 == 0 {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n)*100*time.Microsecond)
					_, f := p.Do(ctx, s.Address(), newGetRequest("/hang"))
					cancel()
					if f == nil {
						t.Error("got a response to a request that must time out")
					}
					continue
				}
				r := newGetRequest("/")
				r.Idempotent = n%2 == 0
				_, _, _ = fetch(withTimeout(t, testTimeout), p, s.Address(), r) // the server may close first
			}
		}()
	}
	wg.Wait()
	require.LessOrEqual(t, counter.peak.Load(), int32(3))

	var open []*transport.Response // every permit must be available again
	for range 3 {
		resp, f := p.Do(withTimeout(t, testTimeout), s.Address(), newGetRequest("/"))
		for f != nil {
			resp, f = p.Do(withTimeout(t, testTimeout), s.Address(), newGetRequest("/"))
		}
		open = append(open, resp)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, f := p.Do(ctx, s.Address(), newGetRequest("/"))
	require.True(t, f.NotRun)
	for _, resp := range open {
		require.NoError(t, resp.Body.Close())
	}
	p.Close()
	require.Zero(t, counter.current.Load())
}

// Guards against a connection permit that leaks when a wait is canceled at the
// moment at which the permit is handed over.
func TestCanceledWaitReleasesPermit(t *testing.T) {
	s := serveResponse(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	p := newPool(t, func(s *dynamic.Service) {
		s.Connections.PerBackend, s.InstanceCeiling, s.Connections.DialMS = 1, 1, int(testTimeout.Milliseconds())
	}, transport.Options{})
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 500 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(worker*40+n%80)*time.Microsecond)
				_, _, _ = fetch(ctx, p, s.Address(), newGetRequest("/"))
				cancel()
			}
		}()
	}
	wg.Wait()
	_, _, err := fetch(withTimeout(t, testTimeout), p, s.Address(), newGetRequest("/"))
	require.NoError(t, err)
}

// Guards against a wait for a connection that outlives the pool.
func TestPoolCloseEndsWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := transport.NewPool(transport.Options{Dial: pipeDialer(neverRespond), Settings: settings(func(s *dynamic.Service) {
			s.Connections.PerBackend, s.InstanceCeiling = 1, 1
		})})
		ctx, cancel := context.WithCancel(context.Background())
		failures := make(chan *transport.Failure, 2)
		for range 2 {
			go func() {
				_, f := p.Do(ctx, "a:1", newGetRequest("/"))
				failures <- f
			}()
			synctest.Wait()
		}
		p.Close()
		require.ErrorIs(t, <-failures, transport.ErrClosed)
		cancel()
		require.ErrorIs(t, <-failures, context.Canceled)
	})
}

// Guards against a connection attempt that waits longer than dialMs (250) or
// longer than the deadline of the caller.
func TestDialTimeouts(t *testing.T) {
	for _, tc := range []struct {
		deadline, want time.Duration
		kind           transport.FailureKind
	}{
		{time.Second, 250 * time.Millisecond, transport.Dial},
		{100 * time.Millisecond, 100 * time.Millisecond, transport.Timeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := transport.NewPool(transport.Options{Settings: settings(nil), Dial: func(ctx context.Context, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}})
			defer p.Close()
			start := time.Now()
			_, f := p.Do(withTimeout(t, tc.deadline), "a:1", newGetRequest("/"))
			require.Equal(t, tc.kind, f.Kind)
			require.True(t, f.NotRun)
			require.Equal(t, tc.want, time.Since(start))
		})
	}
}

// Guards against an exchange that waits for a free connection longer than
// dialMs, and against one that starts after the pool was closed.
func TestConnectionLimitTimeout(t *testing.T) {
	s := serveResponse(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	p := newPool(t, func(s *dynamic.Service) {
		s.Connections.PerBackend, s.InstanceCeiling, s.Connections.DialMS = 1, 1, 20
	}, transport.Options{})
	resp, f := p.Do(withTimeout(t, testTimeout), s.Address(), newGetRequest("/"))
	require.Nil(t, f)
	defer resp.Body.Close()
	_, f = p.Do(withTimeout(t, testTimeout), s.Address(), newGetRequest("/"))
	require.ErrorIs(t, f, transport.ErrConnectionLimit)
	require.True(t, f.NotRun)
	require.Equal(t, transport.Dial, f.Kind)
	p.Close()
	_, f = p.Do(withTimeout(t, testTimeout), s.Address(), newGetRequest("/"))
	require.ErrorIs(t, f, transport.ErrClosed)
	require.True(t, f.NotRun)
}
