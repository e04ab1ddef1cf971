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

// recorder passes on the number and reason of each event.
type recorder chan string

func newRecorder() recorder { return make(recorder, 100) }

func (r recorder) Record(e *events.Event, fields ...events.Field) {
	text := fmt.Sprint(e.Number)
	for _, f := range fields {
		if f.Name == "reason" {
			text += " " + fmt.Sprint(f.Value)
		}
	}
	r <- text
}

// service counts claims and holds them back while block is set.
type service struct {
	peerpb.DRPCPeerUnimplementedServer
	claims atomic.Int32
	begun  chan struct{}
	block  chan struct{}
	body   int
}

func (s *service) Claim(_ context.Context, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	s.claims.Add(1)
	if in.GetRequestId() == "blocked" {
		s.begun <- struct{}{}
		<-s.block
	}
	return &peerpb.ClaimResponse{RequestId: in.GetRequestId(), Answer: &peerpb.Answer{Body: make([]byte, s.body)}}, nil
}

func (s *service) Handover(context.Context, *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	return &peerpb.HandoverResponse{Accepted: true}, nil
}

func testOptions(r events.Recorder) Options {
	header := &peerpb.Header{Instance: "entry-1", Incarnation: 7, Version: 3}
	return Options{Secret: "secret", Header: func() *peerpb.Header { return header }, Recorder: r}
}

// listener counts connections. A connection that it accepted while generation
// had another value discards what the server writes, as a path does that went
// silent.
type listener struct {
	net.Listener
	accepted, generation, read atomic.Int32
}

type silentConn struct {
	net.Conn
	l          *listener
	generation int32
}

func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.accepted.Add(1)
	return &silentConn{conn, l, l.generation.Load()}, err
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.generation != c.l.generation.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.read.Add(int32(n))
	return n, err
}

// start serves s on a loopback socket. stop ends it and waits.
func start(t testing.TB, s peerpb.DRPCPeerServer, o Options) (address string, l *listener, stop func()) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l = &listener{Listener: tcp}
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

// dial returns a connection that sends the secret but obeys no bounds.
func dial(t *testing.T, address, secret string) (*drpcconn.Conn, context.Context) {
	t.Helper()
	tcp, err := net.Dial("tcp", address)
	require.NoError(t, err)
	conn := drpcconn.New(tcp)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, drpcmetadata.Add(context.Background(), secretKey, secret)
}

func newTestClient(t *testing.T, o Options) *Client {
	c := NewClient(o)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func claim(c *Client, address, id string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	out, err := c.Claim(ctx, address, &peerpb.ClaimRequest{RequestId: id})
	return out.GetRequestId(), err
}

// hold starts a claim and returns once the service holds it back.
func (s *service) hold(c *Client, address string, timeout time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := claim(c, address, "blocked", timeout)
		done <- err
	}()
	<-s.begun
	return done
}

func newService() *service { return &service{begun: make(chan struct{}), block: make(chan struct{})} }

// Guards against a missing header on either side and against a connection per
// call.
func TestCallsShareAConnection(t *testing.T) {
	var mu sync.Mutex
	var seen strings.Builder
	o := testOptions(nil)
	o.Seen = func(address string, h *peerpb.Header) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(&seen, "%t %s %d,", address != "", h.GetInstance(), h.GetVersion())
	}
	address, l, _ := start(t, &service{}, o)
	c := newTestClient(t, o)
	for i := range 3 {
		id, err := claim(c, address, fmt.Sprint(i), time.Minute)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(i), id)
	}
	require.Equal(t, strings.Repeat("false entry-1 3,true entry-1 3,", 3), seen.String())
	require.EqualValues(t, 1, l.accepted.Load())
}

// raw sends bytes as they are.
type raw struct{}

func (raw) Marshal(m drpc.Message) ([]byte, error)     { return *m.(*[]byte), nil }
func (raw) Unmarshal(buf []byte, m drpc.Message) error { return nil }

// Guards against a message that must not be accepted reaching the service, and
// against its refusal touching another connection.
func TestServerRefusesMessages(t *testing.T) {
	good, err := proto.Marshal(&peerpb.ClaimRequest{Header: &peerpb.Header{Instance: "entry-2"}})
	require.NoError(t, err)
	bare, err := proto.Marshal(&peerpb.ClaimRequest{RequestId: "1"})
	require.NoError(t, err)
	padded := func(n int) []byte { // an unknown field fills the message up
		return append(append([]byte{}, good...), append([]byte{0x7a, byte(n)&0x7f | 0x80, byte(n>>7)&0x7f | 0x80, byte(n >> 14)}, make([]byte, n)...)...)
	}
	tests := []struct {
		desc, secret, call string
		message            []byte
		want               string
	}{
		{"largest message", "secret", callClaim, padded(smallMessage - len(good) - 4), ""},
		{"wrong secret", "Secret", callClaim, good, "2701 wrong secret"},
		{"no secret", "", callClaim, good, "2701 wrong secret"},
		{"unknown call", "secret", "/lentilpin.peer.v1.Peer/Other", good, "2701 unknown call"},
		{"oversized for the call", "secret", callClaim, padded(smallMessage - len(good) - 3), "2701 oversized"},
		{"oversized for any call", "secret", callTree, padded(treeMessage), "2701 protocol error"},
		{"malformed", "secret", callClaim, []byte{0xff}, "2701 malformed"},
		{"no header", "secret", callClaim, bare, "2701 no header"},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			r, s := newRecorder(), &service{}
			address, _, stop := start(t, s, testOptions(r))
			other := newTestClient(t, testOptions(nil))
			_, err := claim(other, address, "before", time.Minute)
			require.NoError(t, err)

			conn, ctx := dial(t, address, tc.secret)
			err = conn.Invoke(ctx, tc.call, raw{}, &tc.message, new([]byte))
			if tc.want == "" {
				require.NoError(t, err)
			} else {
				require.Error(t, err)
				require.Equal(t, tc.want, <-r)
				<-conn.Closed()
				require.EqualValues(t, 1, s.claims.Load())
			}
			_ = conn.Close()
			_, err = claim(other, address, "after", time.Minute)
			require.NoError(t, err)
			stop()
			require.Empty(t, r)
		})
	}
}

// unencodable fails after drpc has opened the call.
type unencodable struct{ raw }

func (unencodable) Marshal(drpc.Message) ([]byte, error) { return nil, errors.New("not encoded") }

// Guards against a connection with a message outside any call, on which the
// drpc manager stops reading, holding up the shutdown. The idle bound is out
// of reach here, so a fault shows as a test that does not end.
func TestShutdownEndsAStalledConnection(t *testing.T) {
	o := testOptions(nil)
	o.Idle = time.Hour
	address, l, stop := start(t, &service{}, o)
	conn, ctx := dial(t, address, "secret")
	require.Error(t, conn.Invoke(ctx, callClaim, unencodable{}, new([]byte), new([]byte)))
	for l.read.Load() == 0 { // until the server has the message
		time.Sleep(time.Millisecond)
	}
	stop()
}

// Guards against garbage before the first message going unnoticed.
func TestServerRefusesOtherProtocols(t *testing.T) {
	r := newRecorder()
	address, _, _ := start(t, &service{}, testOptions(r))
	tcp, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer tcp.Close()
	_, err = tcp.Write([]byte(strings.Repeat("\xff", 64)))
	require.NoError(t, err)
	require.Equal(t, "2701 protocol error", <-r)
	_, err = tcp.Read(make([]byte, 1))
	require.Error(t, err)
}

// Guards against a request or reply that this side must not send or accept.
func TestClientRefusesMessages(t *testing.T) {
	r := newRecorder()
	c := newTestClient(t, testOptions(r))
	address, l, _ := start(t, &service{}, testOptions(nil))
	_, err := claim(c, address, strings.Repeat("x", smallMessage), time.Minute)
	require.ErrorIs(t, err, ErrRefused)
	require.Zero(t, l.accepted.Load())
	require.Equal(t, "2702 oversized", <-r)

	bare := testOptions(nil)
	bare.Header = func() *peerpb.Header { return nil }
	address, _, _ = start(t, &service{}, bare)
	_, err = claim(c, address, "1", time.Minute)
	require.ErrorIs(t, err, ErrRefused)
	require.Equal(t, "2702 no header", <-r)

	server := newRecorder()
	address, _, _ = start(t, &service{body: smallMessage}, testOptions(server))
	_, err = claim(c, address, "1", time.Minute)
	require.Error(t, err)
	require.Equal(t, "2701 oversized", <-server)
}

// Guards against a call that hangs on a silent path, against the reuse of its
// connection, whose late reply would answer the next call, and against idle
// connections on the same path costing a deadline each.
func TestSilentPeerEndsTheCallAtItsDeadline(t *testing.T) {
	r := newRecorder()
	s := newService()
	address, l, _ := start(t, s, testOptions(nil))
	c := newTestClient(t, testOptions(r))
	blocked := s.hold(c, address, time.Minute)
	_, err := claim(c, address, "1", time.Minute) // a second connection
	require.NoError(t, err)
	s.block <- struct{}{}
	require.NoError(t, <-blocked)
	require.EqualValues(t, 2, l.accepted.Load())

	l.generation.Add(1)
	_, err = claim(c, address, "2", 20*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, "2703", <-r)
	id, err := claim(c, address, "3", time.Minute)
	require.NoError(t, err)
	require.Equal(t, "3", id)
	require.EqualValues(t, 3, l.accepted.Load())

	require.ErrorIs(t, <-s.hold(c, address, 500*time.Millisecond), context.DeadlineExceeded)
	s.block <- struct{}{} // the reply comes after the deadline
	id, err = claim(c, address, "4", time.Minute)
	require.NoError(t, err)
	require.Equal(t, "4", id)
}

// Guards against a call that hangs while it writes to a peer that reads
// nothing.
func TestPeerThatDoesNotReadEndsTheCall(t *testing.T) {
	// Buffers that are smaller than the message keep the write from ending.
	small := func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}
	l, err := (&net.ListenConfig{Control: small}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c := newTestClient(t, testOptions(nil))
	c.dialer.Control = small
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	record := &peerpb.LedgerRecord{Answer: &peerpb.Answer{Body: make([]byte, MaxHandoverBytes-4096)}}
	_, err = c.Handover(ctx, l.Addr().String(), &peerpb.HandoverRequest{Records: []*peerpb.LedgerRecord{record}})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against one peer taking any number of connections of either side, and
// against bounds that count ended calls or connections.
func TestConnectionsAreBounded(t *testing.T) {
	r, s := newRecorder(), newService()
	o := testOptions(r)
	o.MaxPerPeer, o.MaxConnections = 2, 2
	address, _, _ := start(t, s, o)
	c := newTestClient(t, o)
	first := s.hold(c, address, time.Minute)
	for range 3 {
		_, err := claim(c, address, "1", time.Minute)
		require.NoError(t, err)
	}
	second := s.hold(c, address, time.Minute)
	_, err := claim(c, address, "2", 20*time.Millisecond) // waits for a slot
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, "2703", <-r)
	other := newTestClient(t, testOptions(nil))
	_, err = claim(other, address, "3", time.Minute)
	require.Error(t, err)
	require.Equal(t, "2706", <-r)
	require.EqualValues(t, 5, s.claims.Load())
	s.block <- struct{}{}
	s.block <- struct{}{}
	require.NoError(t, <-first)
	require.NoError(t, <-second)
	require.Empty(t, c.peers)
	require.NoError(t, c.Close())
	for err != nil { // until the server has seen the connections end
		_, err = claim(other, address, "4", time.Minute)
	}
}

// Guards against a caller that begins a call and never sends its message.
func TestUnfinishedRequestEnds(t *testing.T) {
	old := calls[callSettle].longest
	calls[callSettle].longest = 20 * time.Millisecond
	defer func() { calls[callSettle].longest = old }()
	r := newRecorder()
	address, _, stop := start(t, &service{}, testOptions(r))
	defer stop()
	conn, ctx := dial(t, address, "secret")
	stream, err := conn.NewStream(ctx, callSettle, raw{})
	require.NoError(t, err)
	require.NoError(t, stream.(interface{ RawFlush() error }).RawFlush())
	require.Equal(t, "2704", <-r)
	<-conn.Closed()
}

// Guards against a shutdown that cuts off a call in progress or waits for idle
// connections.
func TestShutdownFinishesCalls(t *testing.T) {
	s := newService()
	address, _, stop := start(t, s, testOptions(nil))
	c := newTestClient(t, testOptions(nil))
	blocked := s.hold(c, address, time.Minute)
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
	s.block <- struct{}{}
	require.NoError(t, <-blocked)
	<-stopped
}
