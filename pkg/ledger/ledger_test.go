package ledger

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/peer"
	"lentilpin/pkg/peer/peerpb"
)

// Guards against a repeated request that gets another state than the first
// request left, at the owner and at another instance.
func TestClaimIsAnsweredFromTheRecord(t *testing.T) {
	tests := []struct {
		desc, content string
		run           peerpb.Run
		want          State
		body          bool
	}{
		{"not settled", "1", peerpb.Run_RUN_UNSPECIFIED, StateInProgress, false},
		{"ran with a short response", "1", peerpb.Run_RUN_RAN, StateRan, true},
		{"ran with a long response", "123456789", peerpb.Run_RUN_RAN, StateRan, false},
		{"not run", "1", peerpb.Run_RUN_NOT_RUN, StateNotRun, false},
		{"unknown", "1", peerpb.Run_RUN_UNKNOWN, StateUnknown, false},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			w := calm(t)
			for _, owner := range w.nodes[:2] {
				key := owner.Issue(time.Minute)
				require.Equal(t, StateGranted, w.claim(w.nodes[0], key, tc.content).State)
				h := w.held[len(w.held)-1]
				if tc.run != peerpb.Run_RUN_UNSPECIFIED {
					w.dispatch(h, tc.run, true)
					require.True(t, w.settle(h))
					require.False(t, w.settle(h))
				}
				second := w.claim(w.nodes[0], key, tc.content)
				require.Equal(t, tc.want, second.State)
				require.Equal(t, tc.body, second.Answer.GetWhole())
				require.Equal(t, tc.body, len(second.Answer.GetBody()) > 0)
				require.Equal(t, StateReused, w.claim(w.nodes[0], key, "2").State)
				w.advance(time.Minute)
				require.Equal(t, StateExpired, w.claim(w.nodes[0], key, tc.content).State)
			}
		})
	}
}

// Guards against claims that race for one key.
func TestConcurrentClaimsGrantOnce(t *testing.T) {
	o := calm(t).nodes[0].Owner
	var granted atomic.Int32
	var all sync.WaitGroup
	for range 50 {
		key := o.Issue(time.Minute)
		for range 8 {
			all.Go(func() {
				resp := o.Claim(&peerpb.ClaimRequest{Key: key, Fingerprint: make([]byte, 32)})
				if resp.GetState() == peerpb.ClaimState_CLAIM_STATE_GRANTED {
					granted.Add(1)
					o.Settle(&peerpb.SettleRequest{Key: key, Grant: resp.GetGrant(), Run: peerpb.Run_RUN_NOT_RUN})
				}
			})
		}
	}
	all.Wait()
	require.EqualValues(t, 50, granted.Load())
}

// Guards against a settle that changes a result or belongs to another grant.
func TestFirstSettleDecides(t *testing.T) {
	w := calm(t)
	key := w.nodes[0].Issue(time.Minute)
	grant := w.claim(w.nodes[0], key, "1").Grant
	settle := func(grant uint64, run peerpb.Run) bool {
		return w.nodes[0].Owner.Settle(&peerpb.SettleRequest{Key: key, Grant: grant, Run: run}).GetAccepted()
	}
	require.False(t, settle(grant+1, peerpb.Run_RUN_NOT_RUN))
	require.False(t, settle(grant, peerpb.Run_RUN_UNSPECIFIED))
	require.True(t, settle(grant, peerpb.Run_RUN_UNKNOWN))
	require.True(t, settle(grant, peerpb.Run_RUN_UNKNOWN))
	require.False(t, settle(grant, peerpb.Run_RUN_NOT_RUN))
	require.Equal(t, StateUnknown, w.claim(w.nodes[0], key, "1").State)
}

// Guards against a key that another deployment or a caller made, and against a
// rotation of the secret that loses the keys in circulation.
func TestKeyringRotation(t *testing.T) {
	old, both, next := NewKeyring([]string{"old"}), NewKeyring([]string{"new", "old"}), NewKeyring([]string{"new"})
	w := calm(t)
	k, ok := w.ring.verify(w.nodes[0].Issue(time.Minute))
	require.True(t, ok)
	require.Equal(t, issuedKey{owner: k.owner, incarnation: 1, sequence: 1, expires: 60_000}, k)
	for _, signer := range []*Keyring{old, both} {
		got, ok := both.verify(signer.sign(&k))
		require.True(t, ok)
		require.Equal(t, k, got)
	}
	_, ok = next.verify(old.sign(&k))
	require.False(t, ok)
	_, ok = next.verify(both.sign(&k))
	require.True(t, ok)
}

// Guards against two requests with one fingerprint.
func TestFingerprintKeepsPartsApart(t *testing.T) {
	base := Fingerprint("POST", "/tilaus", "Bearer a", []byte("1"))
	require.NotEqual(t, base, Fingerprint("POST", "/tilausBearer ", "a", []byte("1")))
	require.NotEqual(t, base, Fingerprint("POST", "/tilaus", "Bearer a1", nil))
	require.NotEqual(t, base, Fingerprint("PUT", "/tilaus", "Bearer a", []byte("1")))
}

// Guards against a ledger that comes into force with a part missing or twice,
// or at an instance that is leaving, and against chunks above the bound of
// package peer.
func TestHandoverChunks(t *testing.T) {
	w := calm(t)
	w.nodes[0].chunkBytes = 3000
	var keys []string
	for i := range 60 {
		keys = append(keys, w.nodes[0].Issue(time.Minute))
		w.claim(w.nodes[0], keys[i], strings.Repeat("x", i%7))
		w.dispatch(w.held[i], peerpb.Run_RUN_RAN, true)
		w.settle(w.held[i])
	}
	chunks := w.nodes[0].Chunks()
	require.Equal(t, 2, len(chunks))
	const fields = 64 // all fields of a chunk but its records and header
	require.LessOrEqual(t, proto.Size(chunks[0]), 3000+fields)
	require.Less(t, defaultChunkBytes+fields+4096, peer.MaxHandoverBytes)
	open := w.nodes[0].Issue(time.Minute) // after the export: only the successor may grant it
	to := w.nodes[1]
	accept := func(n *node, c *peerpb.HandoverRequest) bool { return n.Accept(c).GetAccepted() }
	require.False(t, accept(to, chunks[1]), "first chunk missing")
	require.True(t, accept(to, chunks[0]))
	require.True(t, accept(to, chunks[0]), "repeated")
	require.Equal(t, StateOwnerGone, w.claim(to, open, "1").State)
	require.True(t, accept(to, chunks[1]))
	require.True(t, accept(to, chunks[0]), "repeated")
	require.Equal(t, StateGranted, w.claim(to, open, "1").State)
	require.True(t, accept(to, chunks[1]), "repeated")
	require.Equal(t, StateInProgress, w.claim(to, open, "1").State)
	for i, key := range keys {
		require.Equal(t, StateRan, w.claim(to, key, strings.Repeat("x", i%7)).State)
	}
	to.checkSizes(t)

	gap := proto.Clone(chunks[1]).(*peerpb.HandoverRequest)
	gap.Chunk = 2
	require.True(t, accept(w.nodes[2], chunks[0]))
	require.False(t, accept(w.nodes[2], gap), "chunk missing")
	require.Zero(t, w.nodes[2].Stats().AdoptedClaims)
	w.nodes[2].checkSizes(t)
	w.nodes[2].Seal()
	require.False(t, accept(w.nodes[2], chunks[0]), "sealed")
	require.False(t, accept(w.nodes[0], chunks[0]), "own ledger")
}

// Guards against a ledger that is sent again, in its old state, to a process
// that replaced the successor at the same address.
func TestHandoverIsNotRepeated(t *testing.T) {
	w := calm(t)
	w.fate = func() string { return "reply lost" }
	key := w.nodes[0].Issue(time.Minute)
	require.ErrorIs(t, w.nodes[0].HandOver(context.Background(), w.nodes[0], w.nodes[1].address), context.DeadlineExceeded)
	require.Equal(t, 1, w.seen["message reply lost"])
	w.fate = func() string { return "ok" }
	require.Equal(t, StateGranted, w.claim(w.nodes[1], key, "1").State)
	w.start(1, OwnerOptions{})
	for _, to := range w.nodes[1:] {
		require.ErrorIs(t, w.nodes[0].HandOver(context.Background(), w.nodes[0], to.address), ErrHandoverEnded)
		require.Equal(t, StateOwnerGone, w.claim(to, key, "1").State)
	}
}

// overSockets are the calls of package peer as Peers.
type overSockets struct{ *peer.Client }

func (overSockets) Successor(string, uint64) string { return "" }

// entryServer serves one owner.
type entryServer struct {
	peerpb.DRPCPeerUnimplementedServer
	owner *Owner
}

func (s *entryServer) Claim(_ context.Context, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return s.owner.Claim(in), nil
}

func (s *entryServer) Handover(_ context.Context, in *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	return s.owner.Accept(in), nil
}

// Guards against chunks or claims that the bounds of package peer refuse.
func TestLedgerOverSockets(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := calm(t)
	ctx, cancel := context.WithCancel(context.Background())
	o := peer.Options{Secret: "secret", Header: func() *peerpb.Header { return &peerpb.Header{Instance: "entry-1"} }}
	served := make(chan error, 1)
	go func() { served <- peer.Serve(ctx, l, &entryServer{owner: w.nodes[1].Owner}, o) }()
	defer func() { cancel(); require.NoError(t, <-served) }()
	c := peer.NewClient(o)
	defer c.Close()

	from := w.nodes[0].Owner
	from.chunkBytes = defaultChunkBytes
	fillMany(from, 400, 4096)
	key := from.Issue(time.Minute)
	require.Len(t, from.Chunks(), 2)
	require.NoError(t, from.HandOver(ctx, overSockets{c}, l.Addr().String()))
	require.Equal(t, 400, w.nodes[1].Stats().AdoptedClaims)
	resp, err := c.Claim(ctx, l.Addr().String(), &peerpb.ClaimRequest{Key: key, Fingerprint: make([]byte, 32)})
	require.NoError(t, err)
	require.Equal(t, peerpb.ClaimState_CLAIM_STATE_GRANTED, resp.GetState())
}

// Guards against a handover that does not wait for open grants or waits beyond
// their limit.
func TestDrainWaitsForOpenGrants(t *testing.T) {
	for settle, want := range map[bool]time.Duration{true: time.Second, false: 2 * time.Second} {
		t.Run(fmt.Sprint(settle), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := NewOwner(OwnerOptions{Address: "127.0.0.1:7001", Incarnation: 1, Clock: clock.NewSystem(), Keyring: NewKeyring([]string{"secret"})})
				c := NewClaimant(o, o.options.Keyring, nil, o.options.Clock, "127.0.0.1:7001")
				claim := c.Claim(context.Background(), o.Issue(time.Minute), [32]byte{}, "id", testKeys)
				begin := time.Now()
				if settle {
					time.AfterFunc(time.Second, func() { c.Settle(context.Background(), &claim, peerpb.Run_RUN_NOT_RUN, nil) })
				}
				o.Seal()
				o.Drain(context.Background())
				require.InDelta(t, want, time.Since(begin), float64(2*drainPoll)) // virtual time
			})
		})
	}
}
