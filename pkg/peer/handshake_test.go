package peer

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/peer/peerpb"
)

// Guards against connections without a call that pile up, that are read without bound or
// stay open for ever, against a peer whose first call is long and that is taken for one of
// them, and against a log that strangers can fill.
func TestHandshakesAreBounded(t *testing.T) {
	recorder, s := newFakeRecorder(), newService()
	o := testOptions(recorder)
	o.MaxHandshakes = 2
	address, l, _ := startServer(t, s, o)
	c := newTestClient(t, o)
	records := []*peerpb.LedgerRecord{{Answer: &peerpb.Answer{Body: make([]byte, 20*maxHandshakeBytes)}}}
	_, err := c.Handover(t.Context(), address, &peerpb.HandoverRequest{Records: records})
	require.NoError(t, err)
	before := l.bytesRead.Load()
	// A frame of drpc of 512 KiB for the first message of the first stream, cut short.
	text := "\x0f\x01\x01\x80\x80\x20" + strings.Repeat("x", 20*maxHandshakeBytes)
	conns := make([]net.Conn, maxEventsPerPeriod+10)
	for i := range conns {
		conns[i], err = net.Dial("tcp", address)
		require.NoError(t, err)
		go func() { _, _ = conns[i].Write([]byte(text)) }()
	}
	for _, conn := range conns[:len(conns)-2] {
		_, err = conn.Read(make([]byte, 1))
		require.Error(t, err, "gives way to newer ones")
	}
	require.LessOrEqual(t, int(l.bytesRead.Load()-before), len(conns)*maxHandshakeBytes)
	for range maxEventsPerPeriod {
		require.Equal(t, "2707 too many", <-recorder)
	}
	require.Empty(t, recorder)
	_, err = claim(c, address, "1", time.Minute)
	require.NoError(t, err, "the peer's connection stays open")
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// Guards against a connection that never finishes its first call and stays open, while no
// other one arrives.
func TestHandshakeEnds(t *testing.T) {
	o := testOptions(newFakeRecorder())
	o.HandshakeTimeout = 20 * time.Millisecond
	address, _, _ := startServer(t, newService(), o)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.NoError(t, conn.Close())
}
