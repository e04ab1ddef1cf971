package peer

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmetadata"

	"lentilpin/pkg/events"
	"lentilpin/pkg/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeRecorder forwards the number and reason of each event.
type fakeRecorder chan string

func newFakeRecorder() fakeRecorder { return make(fakeRecorder, 100) }

func (r fakeRecorder) Record(e *events.Event, fields ...events.Field) {
	text := fmt.Sprint(e.Number)
	for _, f := range fields {
		if f.Name == "reason" {
			text += " " + fmt.Sprint(f.Value)
		}
	}
	r <- text
}

// service counts claims. It signals begun for a claim with the request ID
// "blocked" and replies to it after a receive from resume.
type service struct {
	peerpb.DRPCPeerUnimplementedServer
	claims    atomic.Int32
	begun     chan struct{}
	resume    chan struct{}
	bodyBytes int
}

func (s *service) Claim(_ context.Context, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	s.claims.Add(1)
	if in.GetRequestId() == "blocked" {
		s.begun <- struct{}{}
		<-s.resume
	}
	return &peerpb.ClaimResponse{RequestId: in.GetRequestId(), Answer: &peerpb.Answer{Body: make([]byte, s.bodyBytes)}}, nil
}

func (s *service) Handover(context.Context, *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	return &peerpb.HandoverResponse{Accepted: true}, nil
}

func testOptions(recorder events.Recorder) Options {
	header := &peerpb.Header{Instance: "entry-1", Incarnation: 7, Version: 3}
	return Options{Secret: "secret", Header: func() *peerpb.Header { return header }, Recorder: recorder}
}

// countingListener counts accepted connections and received bytes. A connection
// that was accepted while generation had another value discards what the server
// writes, like a network path that drops every packet.
type countingListener struct {
	net.Listener
	accepted, generation, bytesRead atomic.Int32
}

type countingConn struct {
	net.Conn
	l          *countingListener
	generation int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.accepted.Add(1)
	return &countingConn{conn, l, l.generation.Load()}, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	if c.generation != c.l.generation.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.bytesRead.Add(int32(n))
	return n, err
}

// startServer serves s on a loopback socket. stop shuts the server down and waits
// until it has ended.
func startServer(t testing.TB, s peerpb.DRPCPeerServer, o Options) (address string, l *countingListener, stop func()) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l = &countingListener{Listener: tcp}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, s, o) }()
	stop = sync.OnceFunc(func() {
		cancel()
		require.NoError(t, <-done)
	})
	t.Cleanup(stop)
	return tcp.Addr().String(), l, stop
}

// dialWithoutLimits returns a connection without message limits, and a context
// that carries the secret.
func dialWithoutLimits(t *testing.T, address, secret string) (*drpcconn.Conn, context.Context) {
	t.Helper()
	tcp, err := net.Dial("tcp", address)
	require.NoError(t, err)
	conn := drpcconn.New(tcp)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, drpcmetadata.Add(context.Background(), secretMetadataKey, secret)
}

func newTestClient(t *testing.T, o Options) *Client {
	c := NewClient(o)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// claim claims a key and returns the request ID of the response.
func claim(c *Client, address, id string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	out, err := c.Claim(ctx, address, &peerpb.ClaimRequest{RequestId: id})
	return out.GetRequestId(), err
}

// startBlockedClaim starts a claim and returns once the service has received it
// and is blocking it.
func (s *service) startBlockedClaim(c *Client, address string, timeout time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := claim(c, address, "blocked", timeout)
		done <- err
	}()
	<-s.begun
	return done
}

func newService() *service { return &service{begun: make(chan struct{}), resume: make(chan struct{})} }

// Guards against a missing header in requests or replies, and against opening a
// connection per call.
func TestCallsShareAConnection(t *testing.T) {
	var mu sync.Mutex
	var headers strings.Builder
	o := testOptions(nil)
	o.OnHeader = func(address string, h *peerpb.Header) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(&headers, "%t %s %d,", address != "", h.GetInstance(), h.GetVersion())
	}
	address, l, _ := startServer(t, &service{}, o)
	c := newTestClient(t, o)
	for i := range 3 {
		id, err := claim(c, address, fmt.Sprint(i), time.Minute)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(i), id)
	}
	require.Equal(t, strings.Repeat("false entry-1 3,true entry-1 3,", 3), headers.String())
	require.EqualValues(t, 1, l.accepted.Load())
}

// rawEncoding sends bytes unmodified.
type rawEncoding struct{}

func (rawEncoding) Marshal(m drpc.Message) ([]byte, error)     { return *m.(*[]byte), nil }
func (rawEncoding) Unmarshal(buf []byte, m drpc.Message) error { return nil }

// Guards against an invalid message that reaches the service, and against a
// refusal that affects another connection.
func TestServerRefusesMessages(t *testing.T) {
	valid, err := proto.Marshal(&peerpb.ClaimRequest{Header: &peerpb.Header{Instance: "entry-2"}})
	require.NoError(t, err)
	withoutHeader, err := proto.Marshal(&peerpb.ClaimRequest{RequestId: "1"})
	require.NoError(t, err)
	padded := func(n int) []byte { // pads the message with an unknown field
		return append(append([]byte{}, valid...), append([]byte{0x7a, byte(n)&0x7f | 0x80, byte(n>>7)&0x7f | 0x80, byte(n >> 14)}, make([]byte, n)...)...)
	}
	tests := []struct {
		desc, secret, method string
		message              []byte
		want                 string
	}{
		{"largest message", "secret", methodClaim, padded(maxSmallMessageBytes - len(valid) - 4), ""},
		{"wrong secret", "Secret", methodClaim, valid, "2701 wrong secret"},
		{"no secret", "", methodClaim, valid, "2701 wrong secret"},
		{"unknown call", "secret", "/lentilpin.peer.v1.Peer/Other", valid, "2701 unknown call"},
		{"oversized for the call", "secret", methodClaim, padded(maxSmallMessageBytes - len(valid) - 3), "2701 oversized"},
		{"oversized for any call", "secret", methodTree, padded(maxTreeMessageBytes), "2701 protocol error"},
		{"malformed", "secret", methodClaim, []byte{0xff}, "2701 malformed"},
		{"no header", "secret", methodClaim, withoutHeader, "2701 no header"},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			recorder, s := newFakeRecorder(), &service{}
			address, _, stop := startServer(t, s, testOptions(recorder))
			other := newTestClient(t, testOptions(nil))
			_, err := claim(other, address, "before", time.Minute)
			require.NoError(t, err)

			conn, ctx := dialWithoutLimits(t, address, tc.secret)
			err = conn.Invoke(ctx, tc.method, rawEncoding{}, &tc.message, new([]byte))
			if tc.want == "" {
				require.NoError(t, err)
			} else {
				require.Error(t, err)
				require.Equal(t, tc.want, <-recorder)
				<-conn.Closed()
				require.EqualValues(t, 1, s.claims.Load())
			}
			_ = conn.Close()
			_, err = claim(other, address, "after", time.Minute)
			require.NoError(t, err)
			stop()
			require.Empty(t, recorder)
		})
	}
}

// failingEncoding fails to encode a message, which drpc does after starting the
// call.
type failingEncoding struct{ rawEncoding }

func (failingEncoding) Marshal(drpc.Message) ([]byte, error) { return nil, errors.New("not encoded") }

// Guards against a shutdown that is blocked by a connection with a message outside
// any call, on which the drpc manager stops reading. The idle timeout is set too
// high to end the connection, so a failure shows as a test that does not end.
func TestShutdownEndsAStalledConnection(t *testing.T) {
	o := testOptions(nil)
	o.IdleTimeout = time.Hour
	address, l, stop := startServer(t, &service{}, o)
	conn, ctx := dialWithoutLimits(t, address, "secret")
	require.Error(t, conn.Invoke(ctx, methodClaim, failingEncoding{}, new([]byte), new([]byte)))
	for l.bytesRead.Load() == 0 { // until the server has received the message
		time.Sleep(time.Millisecond)
	}
	stop()
}

// Guards against accepting invalid data before the first message.
func TestServerRefusesOtherProtocols(t *testing.T) {
	recorder := newFakeRecorder()
	address, _, _ := startServer(t, &service{}, testOptions(recorder))
	tcp, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer tcp.Close()
	_, err = tcp.Write([]byte(strings.Repeat("\xff", 64)))
	require.NoError(t, err)
	require.Equal(t, "2701 protocol error", <-recorder)
	_, err = tcp.Read(make([]byte, 1))
	require.Error(t, err)
}

// Guards against a client that sends an invalid request or accepts an invalid
// reply.
func TestClientRefusesMessages(t *testing.T) {
	recorder := newFakeRecorder()
	c := newTestClient(t, testOptions(recorder))
	address, l, _ := startServer(t, &service{}, testOptions(nil))
	_, err := claim(c, address, strings.Repeat("x", maxSmallMessageBytes), time.Minute)
	require.ErrorIs(t, err, ErrRefused)
	require.Zero(t, l.accepted.Load())
	require.Equal(t, "2702 oversized", <-recorder)

	withoutHeader := testOptions(nil)
	withoutHeader.Header = func() *peerpb.Header { return nil }
	address, _, _ = startServer(t, &service{}, withoutHeader)
	_, err = claim(c, address, "1", time.Minute)
	require.ErrorIs(t, err, ErrRefused)
	require.Equal(t, "2702 no header", <-recorder)

	server := newFakeRecorder()
	address, _, _ = startServer(t, &service{bodyBytes: maxSmallMessageBytes}, testOptions(server))
	_, err = claim(c, address, "1", time.Minute)
	require.Error(t, err)
	require.Equal(t, "2701 oversized", <-server)
}

// Guards against a call that hangs when the network path drops all packets,
// against reusing its connection, on which the late reply would be taken for the
// reply to the next call, and against a timeout for each idle connection on the
// same path.
func TestSilentPeerEndsTheCallAtItsDeadline(t *testing.T) {
	recorder := newFakeRecorder()
	s := newService()
	address, l, _ := startServer(t, s, testOptions(nil))
	c := newTestClient(t, testOptions(recorder))
	blocked := s.startBlockedClaim(c, address, time.Minute)
	_, err := claim(c, address, "1", time.Minute) // a second connection
	require.NoError(t, err)
	s.resume <- struct{}{}
	require.NoError(t, <-blocked)
	require.EqualValues(t, 2, l.accepted.Load())

	l.generation.Add(1)
	_, err = claim(c, address, "2", 20*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, "2703", <-recorder)
	id, err := claim(c, address, "3", time.Minute)
	require.NoError(t, err)
	require.Equal(t, "3", id)
	require.EqualValues(t, 3, l.accepted.Load())

	require.ErrorIs(t, <-s.startBlockedClaim(c, address, 500*time.Millisecond), context.DeadlineExceeded)
	s.resume <- struct{}{} // the reply comes after the deadline
	id, err = claim(c, address, "4", time.Minute)
	require.NoError(t, err)
	require.Equal(t, "4", id)
}

// Guards against a call that hangs while writing to a peer that does not read.
func TestPeerThatDoesNotReadEndsTheCall(t *testing.T) {
	// Socket buffers smaller than the message block the write.
	setSmallBuffers := func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}
	l, err := (&net.ListenConfig{Control: setSmallBuffers}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c := newTestClient(t, testOptions(nil))
	c.dialer.Control = setSmallBuffers
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	record := &peerpb.LedgerRecord{Answer: &peerpb.Answer{Body: make([]byte, MaxHandoverBytes-4096)}}
	_, err = c.Handover(ctx, l.Addr().String(), &peerpb.HandoverRequest{Records: []*peerpb.LedgerRecord{record}})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against one peer that uses an unlimited number of connections on either
// side, and against limits that count ended calls or closed connections.
func TestConnectionsAreBounded(t *testing.T) {
	recorder, s := newFakeRecorder(), newService()
	o := testOptions(recorder)
	o.MaxConnectionsPerPeer, o.MaxConnections = 2, 2
	address, _, _ := startServer(t, s, o)
	c := newTestClient(t, o)
	first := s.startBlockedClaim(c, address, time.Minute)
	for range 3 {
		_, err := claim(c, address, "1", time.Minute)
		require.NoError(t, err)
	}
	second := s.startBlockedClaim(c, address, time.Minute)
	_, err := claim(c, address, "2", 20*time.Millisecond) // waits for a free connection
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, "2703", <-recorder)
	other := newTestClient(t, testOptions(nil))
	_, err = claim(other, address, "3", time.Minute)
	require.Error(t, err)
	require.Equal(t, "2706", <-recorder)
	require.EqualValues(t, 5, s.claims.Load())
	s.resume <- struct{}{}
	s.resume <- struct{}{}
	require.NoError(t, <-first)
	require.NoError(t, <-second)
	require.Empty(t, c.callLimiters)
	require.NoError(t, c.Close())
	for err != nil { // until the server has detected the closed connections
		_, err = claim(other, address, "4", time.Minute)
	}
}

// Guards against a client that starts a call and never sends its message.
func TestUnfinishedRequestEnds(t *testing.T) {
	oldTimeout := methods[methodSettle].maxTimeout
	methods[methodSettle].maxTimeout = 20 * time.Millisecond
	defer func() { methods[methodSettle].maxTimeout = oldTimeout }()
	recorder := newFakeRecorder()
	address, _, stop := startServer(t, &service{}, testOptions(recorder))
	defer stop()
	conn, ctx := dialWithoutLimits(t, address, "secret")
	stream, err := conn.NewStream(ctx, methodSettle, rawEncoding{})
	require.NoError(t, err)
	require.NoError(t, stream.(interface{ RawFlush() error }).RawFlush())
	require.Equal(t, "2704", <-recorder)
	<-conn.Closed()
}

// Guards against a shutdown that aborts a call in progress or waits for idle
// connections.
func TestShutdownFinishesCalls(t *testing.T) {
	s := newService()
	address, _, stop := startServer(t, s, testOptions(nil))
	c := newTestClient(t, testOptions(nil))
	blocked := s.startBlockedClaim(c, address, time.Minute)
	_, err := claim(c, address, "1", time.Minute) // leaves an idle connection
	require.NoError(t, err)
	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	for err == nil { // until the listener is closed
		var conn net.Conn
		if conn, err = net.Dial("tcp", address); err == nil {
			_ = conn.Close()
		}
	}
	s.resume <- struct{}{}
	require.NoError(t, <-blocked)
	<-stopped
}
