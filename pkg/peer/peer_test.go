package peer

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lentilpin/pkg/events"
	"lentilpin/pkg/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// service counts calls and may block claims.
type service struct {
	peerpb.DRPCPeerUnimplementedServer
	mu     sync.Mutex
	claims int
	reply  func(*peerpb.ClaimResponse)
}

func (s *service) Claim(_ context.Context, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	s.mu.Lock()
	s.claims++
	s.mu.Unlock()
	out := &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_GRANTED, RequestId: in.GetRequestId()}
	if s.reply != nil {
		s.reply(out)
	}
	return out, nil
}

func (s *service) Handover(context.Context, *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	return &peerpb.HandoverResponse{Accepted: true}, nil
}

func testHeader() *peerpb.Header {
	return &peerpb.Header{Instance: "entry-1", Incarnation: 7, Version: 3}
}

func testOptions(r events.Recorder) Options {
	return Options{Secret: "secret", Header: testHeader, Recorder: r}
}

// start serves s on a loopback socket and returns its address, its events and
// a function that ends it and waits.
func start(t *testing.T, s peerpb.DRPCPeerServer, o Options) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, s, o) }()
	stop = sync.OnceFunc(func() {
		cancel()
		require.NoError(t, <-done)
	})
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

func newTestClient(t *testing.T, o Options) *Client {
	c := NewClient(o)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a header that is missing on either side and against
// connections that are not reused.
func TestCallsShareAConnection(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	o := testOptions(nil)
	o.Seen = func(address string, h *peerpb.Header) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, fmt.Sprintf("%t %s %d", address != "", h.GetInstance(), h.GetVersion()))
	}
	s := &service{}
	address, _ := start(t, s, o)
	c := newTestClient(t, o)
	for i := range 3 {
		out, err := c.Claim(context.Background(), address, &peerpb.ClaimRequest{RequestId: fmt.Sprint(i)})
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(i), out.GetRequestId())
	}
	require.Equal(t, strings.Repeat("false entry-1 3,true entry-1 3,", 3), strings.Join(seen, ",")+",")
}
