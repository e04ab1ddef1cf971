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

// Guards against a retry that gets a state other than the one the first request
// left, at the owner and at another instance.
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
			f := newReliableFleet(t)
			for _, owner := range f.instances[:2] {
				key := owner.Issue(time.Minute)
				require.Equal(t, StateGranted, f.claim(f.instances[0], key, tc.content).State)
				h := f.held[len(f.held)-1]
				if tc.run != peerpb.Run_RUN_UNSPECIFIED {
					f.dispatch(h, tc.run, true)
					require.True(t, f.settle(h))
					require.False(t, f.settle(h))
				}
				second := f.claim(f.instances[0], key, tc.content)
				require.Equal(t, tc.want, second.State)
				require.Equal(t, tc.body, second.Answer.GetWhole())
				require.Equal(t, tc.body, len(second.Answer.GetBody()) > 0)
				require.Equal(t, StateReused, f.claim(f.instances[0], key, "2").State)
				f.advance(time.Minute)
				require.Equal(t, StateExpired, f.claim(f.instances[0], key, tc.content).State)
			}
		})
	}
}

// Guards against concurrent claims of one key that are both granted.
func TestConcurrentClaimsGrantOnce(t *testing.T) {
	o := newReliableFleet(t).instances[0].Owner
	var granted atomic.Int32
	var wg sync.WaitGroup
	for range 50 {
		key := o.Issue(time.Minute)
		for range 8 {
			wg.Go(func() {
				resp := o.Claim(&peerpb.ClaimRequest{Key: key, Fingerprint: make([]byte, 32)})
				if resp.GetState() == peerpb.ClaimState_CLAIM_STATE_GRANTED {
					granted.Add(1)
					o.Settle(&peerpb.SettleRequest{Key: key, Grant: resp.GetGrant(), Run: peerpb.Run_RUN_NOT_RUN})
				}
			})
		}
	}
	wg.Wait()
	require.EqualValues(t, 50, granted.Load())
}

// Guards against a settle request that changes a recorded result or belongs to
// another grant.
func TestFirstSettleDecides(t *testing.T) {
	f := newReliableFleet(t)
	key := f.instances[0].Issue(time.Minute)
	grant := f.claim(f.instances[0], key, "1").Grant
	settle := func(grant uint64, run peerpb.Run) bool {
		return f.instances[0].Owner.Settle(&peerpb.SettleRequest{Key: key, Grant: grant, Run: run}).GetAccepted()
	}
	require.False(t, settle(grant+1, peerpb.Run_RUN_NOT_RUN))
	require.False(t, settle(grant, peerpb.Run_RUN_UNSPECIFIED))
	require.True(t, settle(grant, peerpb.Run_RUN_UNKNOWN))
	require.True(t, settle(grant, peerpb.Run_RUN_UNKNOWN))
	require.False(t, settle(grant, peerpb.Run_RUN_NOT_RUN))
	require.Equal(t, StateUnknown, f.claim(f.instances[0], key, "1").State)
}

// Guards against accepting a key that another deployment or a caller created,
// and against a rotation of the secret that invalidates issued keys.
func TestKeyringRotation(t *testing.T) {
	old, both, next := NewKeyring([]string{"old"}), NewKeyring([]string{"new", "old"}), NewKeyring([]string{"new"})
	f := newReliableFleet(t)
	k, ok := f.keyring.verify(f.instances[0].Issue(time.Minute))
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

// Guards against different requests with the same fingerprint.
func TestFingerprintKeepsPartsApart(t *testing.T) {
	base := Fingerprint("POST", "/tilaus", "Bearer a", []byte("1"))
	require.NotEqual(t, base, Fingerprint("POST", "/tilausBearer ", "a", []byte("1")))
	require.NotEqual(t, base, Fingerprint("POST", "/tilaus", "Bearer a1", nil))
	require.NotEqual(t, base, Fingerprint("PUT", "/tilaus", "Bearer a", []byte("1")))
}

// Guards against adopting a ledger with a missing or duplicate chunk, adopting a
// ledger at an instance that is shutting down, and chunks that exceed the limit
// of package peer.
func TestHandoverChunks(t *testing.T) {
	f := newReliableFleet(t)
	f.instances[0].chunkBytes = 3000
	var keys []string
	for i := range 60 {
		keys = append(keys, f.instances[0].Issue(time.Minute))
		f.claim(f.instances[0], keys[i], strings.Repeat("x", i%7))
		f.dispatch(f.held[i], peerpb.Run_RUN_RAN, true)
		f.settle(f.held[i])
	}
	chunks := f.instances[0].Export()
	require.Equal(t, 2, len(chunks))
	const fields = 64 // upper limit of the size of a chunk without its records and header, in bytes
	require.LessOrEqual(t, proto.Size(chunks[0]), 3000+fields)
	require.Less(t, defaultChunkBytes+fields+4096, peer.MaxHandoverBytes)
	open := f.instances[0].Issue(time.Minute) // issued after the export: only the successor may grant it
	to := f.instances[1]
	accept := func(n *instance, c *peerpb.HandoverRequest) bool { return n.AcceptChunk(c).GetAccepted() }
	require.False(t, accept(to, chunks[1]), "first chunk missing")
	require.True(t, accept(to, chunks[0]))
	require.True(t, accept(to, chunks[0]), "repeated")
	require.Equal(t, StateOwnerGone, f.claim(to, open, "1").State)
	require.True(t, accept(to, chunks[1]))
	require.True(t, accept(to, chunks[0]), "repeated")
	require.Equal(t, StateGranted, f.claim(to, open, "1").State)
	require.True(t, accept(to, chunks[1]), "repeated")
	require.Equal(t, StateInProgress, f.claim(to, open, "1").State)
	for i, key := range keys {
		require.Equal(t, StateRan, f.claim(to, key, strings.Repeat("x", i%7)).State)
	}
	to.checkSizes(t)

	gap := proto.Clone(chunks[1]).(*peerpb.HandoverRequest)
	gap.Chunk = 2
	require.True(t, accept(f.instances[2], chunks[0]))
	require.False(t, accept(f.instances[2], gap), "chunk missing")
	require.Zero(t, f.instances[2].Stats().AdoptedClaims)
	f.instances[2].checkSizes(t)
	f.instances[2].Seal()
	require.False(t, accept(f.instances[2], chunks[0]), "sealed")
	require.False(t, accept(f.instances[0], chunks[0]), "own ledger")
}

// Guards against sending an outdated ledger a second time, to a process that
// replaced the successor at the same address.
func TestHandoverIsNotRepeated(t *testing.T) {
	f := newReliableFleet(t)
	f.delivery = func() string { return "reply lost" }
	key := f.instances[0].Issue(time.Minute)
	require.ErrorIs(t, f.instances[0].HandOver(context.Background(), f.instances[0], f.instances[1].address), context.DeadlineExceeded)
	require.Equal(t, 1, f.coverage["message reply lost"])
	f.delivery = func() string { return "ok" }
	require.Equal(t, StateGranted, f.claim(f.instances[1], key, "1").State)
	f.startInstance(1, OwnerOptions{})
	for _, to := range f.instances[1:] {
		require.ErrorIs(t, f.instances[0].HandOver(context.Background(), f.instances[0], to.address), ErrAlreadyHandedOver)
		require.Equal(t, StateOwnerGone, f.claim(to, key, "1").State)
	}
}

// socketPeerClient implements PeerClient with the client of package peer.
type socketPeerClient struct{ *peer.Client }

func (socketPeerClient) Successor(string, uint64) string { return "" }

// ownerServer serves the claims and handovers of one owner.
type ownerServer struct {
	peerpb.DRPCPeerUnimplementedServer
	owner *Owner
}

func (s *ownerServer) Claim(_ context.Context, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return s.owner.Claim(in), nil
}

func (s *ownerServer) Handover(_ context.Context, in *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	return s.owner.AcceptChunk(in), nil
}

// Guards against chunks or claims that exceed the message limits of package peer.
func TestLedgerOverSockets(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := newReliableFleet(t)
	ctx, cancel := context.WithCancel(context.Background())
	o := peer.Options{Secret: "secret", Header: func() *peerpb.Header { return &peerpb.Header{Instance: "entry-1"} }}
	served := make(chan error, 1)
	go func() { served <- peer.Serve(ctx, l, &ownerServer{owner: f.instances[1].Owner}, o) }()
	defer func() { cancel(); require.NoError(t, <-served) }()
	c := peer.NewClient(o)
	defer c.Close()

	from := f.instances[0].Owner
	from.chunkBytes = defaultChunkBytes
	fillLedger(from, 400, 4096)
	key := from.Issue(time.Minute)
	require.Len(t, from.Export(), 2)
	require.NoError(t, from.HandOver(ctx, socketPeerClient{c}, l.Addr().String()))
	require.Equal(t, 400, f.instances[1].Stats().AdoptedClaims)
	resp, err := c.Claim(ctx, l.Addr().String(), &peerpb.ClaimRequest{Key: key, Fingerprint: make([]byte, 32)})
	require.NoError(t, err)
	require.Equal(t, peerpb.ClaimState_CLAIM_STATE_GRANTED, resp.GetState())
}

// Guards against a handover that does not wait for open grants or waits beyond
// their deadline.
func TestWaitForOpenGrants(t *testing.T) {
	for settle, want := range map[bool]time.Duration{true: time.Second, false: 2 * time.Second} {
		t.Run(fmt.Sprint(settle), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := NewOwner(OwnerOptions{Address: "127.0.0.1:7001", Incarnation: 1, Clock: clock.NewSystem(), Keyring: NewKeyring([]string{"secret"})})
				c := NewClaimant(o, o.options.Keyring, nil, o.options.Clock, "127.0.0.1:7001")
				claim := c.Claim(context.Background(), o.Issue(time.Minute), [32]byte{}, "id", testKeySettings)
				begin := time.Now()
				if settle {
					time.AfterFunc(time.Second, func() { c.Settle(context.Background(), &claim, peerpb.Run_RUN_NOT_RUN, nil) })
				}
				o.Seal()
				o.WaitForOpenGrants(context.Background())
				require.InDelta(t, want, time.Since(begin), float64(2*grantPollInterval)) // virtual time
			})
		})
	}
}
