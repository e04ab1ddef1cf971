package ledger

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lentilpin/pkg/clock/clocktest"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/peer/peerpb"
)

var testKeys = dynamic.Keys{GrantMS: 2000, ClaimMS: 500, ReplayMaxBytes: 24}

// world is a small deployment with an oracle. All calls are synchronous; a
// message that arrives late is kept in late.
type world struct {
	t            require.TestingT
	fate         func() string // of the next message
	beforeChunk  func(to *node)
	ring         *Keyring
	nodes        []*node
	successors   map[uint64]string
	late         []func()
	held         []*held
	incarnations uint64

	// Oracle, by key.
	granted, runs map[string]int
	saidNotRun    map[string]bool
	ranWith       map[string]string // content of the request that ran
	seen          map[string]int    // how often a state or failure came up
}

// node is one instance; it implements Peers for its claimant.
type node struct {
	*Owner
	w        *world
	address  string
	clock    *clocktest.Manual
	claimant *Claimant
	elapsed  time.Duration // time that the machine has seen, suspension included
}

// held is a granted claim of a living process.
type held struct {
	Claim
	node         *node
	key, content string
	deadline     time.Duration // node.elapsed at which the grant ends
	run          peerpb.Run    // unspecified: not dispatched
	settled      bool
}

func newWorld(t require.TestingT, o OwnerOptions, fate func() string) *world {
	w := &world{
		t: t, fate: fate, beforeChunk: func(*node) {}, ring: NewKeyring([]string{"secret", "old"}), nodes: make([]*node, 3),
		successors: map[uint64]string{}, granted: map[string]int{}, runs: map[string]int{},
		saidNotRun: map[string]bool{}, ranWith: map[string]string{}, seen: map[string]int{},
	}
	for i := range w.nodes {
		w.start(i, o)
	}
	return w
}

func calm(t require.TestingT) *world {
	return newWorld(t, OwnerOptions{}, func() string { return "ok" })
}

// start replaces the process of a node.
func (w *world) start(i int, o OwnerOptions) {
	n := &node{w: w, address: fmt.Sprintf("%s:700%d", []string{"127.0.0.1", "[::1]", "10.1.2.3"}[i], i), clock: clocktest.NewManual()}
	if old := w.nodes[i]; old != nil {
		n.clock, n.elapsed, o = old.clock, old.elapsed, old.options
		w.held = slices.DeleteFunc(w.held, func(h *held) bool { return h.node == old })
	}
	w.incarnations++
	o.Address, o.Incarnation, o.Clock, o.Keyring = n.address, w.incarnations, n.clock, w.ring
	n.Owner = NewOwner(o)
	n.chunkBytes = 200
	n.claimant = NewClaimant(n.Owner, w.ring, n, n.clock, n.address)
	w.nodes[i] = n
}

func (w *world) index(address string) int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.address == address })
}

func (n *node) advance(d time.Duration) {
	n.clock.Advance(d)
	n.elapsed += d
}

func (w *world) advance(d time.Duration) {
	for _, n := range w.nodes {
		n.advance(d)
	}
}

// send passes one message. The transport never repeats a message by itself,
// but a repeated one must be harmless as well.
func send[Out any](w *world, handle func() Out) (out Out, err error) {
	fate := w.fate()
	w.seen["message "+fate]++
	switch fate {
	case "late":
		w.late = append(w.late, func() { handle() })
	case "reply lost", "repeated":
		handle()
	case "slow":
		defer w.advance(2500 * time.Millisecond)
	}
	if fate == "lost" || fate == "late" || fate == "reply lost" {
		return out, context.DeadlineExceeded
	}
	return handle(), nil
}

func (n *node) Claim(_ context.Context, address string, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	in = proto.Clone(in).(*peerpb.ClaimRequest)
	return send(n.w, func() *peerpb.ClaimResponse {
		out := n.w.nodes[n.w.index(address)].Owner.Claim(in)
		n.w.count(in.GetKey(), out.GetState() == peerpb.ClaimState_CLAIM_STATE_GRANTED)
		return out
	})
}

func (n *node) Settle(_ context.Context, address string, in *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	in = proto.Clone(in).(*peerpb.SettleRequest)
	return send(n.w, func() *peerpb.SettleResponse { return n.w.nodes[n.w.index(address)].Owner.Settle(in) })
}

// Handover reaches only the process that the chunk was sent to, but that
// process may be replaced before.
func (n *node) Handover(_ context.Context, address string, in *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	w, i, in := n.w, n.w.index(address), proto.Clone(in).(*peerpb.HandoverRequest)
	w.beforeChunk(w.nodes[i])
	to := w.nodes[i]
	return send(w, func() *peerpb.HandoverResponse {
		if w.nodes[i] != to {
			return &peerpb.HandoverResponse{}
		}
		return to.Accept(in)
	})
}

func (n *node) Successor(_ string, incarnation uint64) string { return n.w.successors[incarnation] }

func (w *world) count(key string, granted bool) {
	if granted {
		w.granted[key]++
		require.LessOrEqual(w.t, w.granted[key], 1, "key granted twice")
	}
}

// claim claims a key for a request and checks what is stated of it.
func (w *world) claim(n *node, key, content string) Claim {
	deadline := n.elapsed + dynamic.MS(testKeys.GrantMS)
	claim := n.claimant.Claim(context.Background(), key, Fingerprint("POST", "/tilaus", "", []byte(content)), "id", testKeys)
	w.seen["state "+claim.State.String()]++
	switch claim.State.Run() {
	case peerpb.Run_RUN_NOT_RUN:
		require.Zero(w.t, w.runs[key], "not run was stated after a run")
		w.saidNotRun[key] = true
	case peerpb.Run_RUN_RAN:
		require.Equal(w.t, w.ranWith[key], content, "ran was stated for another request")
		if claim.Answer.GetWhole() {
			w.seen["replay"]++
			require.Equal(w.t, key[len(key)-16:]+content, string(claim.Answer.GetBody()), "response of another request")
		}
	}
	if claim.State != StateGranted {
		require.False(w.t, claim.MayDispatch())
		return claim
	}
	if claim.grant.target == n.address {
		w.count(key, true)
	}
	if w.nodes[w.index(claim.grant.target)].options.Incarnation != claim.grant.parsed.incarnation {
		w.seen["granted by a successor"]++
	}
	w.held = append(w.held, &held{Claim: claim, node: n, key: key, content: content, deadline: deadline})
	return claim
}

// dispatch runs the request of a grant with the given result, as far as the
// claimant permits it.
func (w *world) dispatch(h *held, run peerpb.Run, reached bool) {
	may := h.MayDispatch()
	if h.node.elapsed >= h.deadline || h.settled {
		w.seen["dispatch on an ended grant"]++
		require.False(w.t, may, "dispatch on an ended grant")
	}
	if !may || h.run == peerpb.Run_RUN_RAN || h.run == peerpb.Run_RUN_UNKNOWN {
		return
	}
	h.run = run
	if run == peerpb.Run_RUN_RAN || run == peerpb.Run_RUN_UNKNOWN && reached {
		w.runs[h.key]++
		w.ranWith[h.key] = h.content
		require.Equal(w.t, 1, w.runs[h.key], "key ran twice")
		require.False(w.t, w.saidNotRun[h.key], "run after not run was stated")
	}
}

// settle reports what dispatch did.
func (w *world) settle(h *held) bool {
	run := h.run
	if run == peerpb.Run_RUN_UNSPECIFIED {
		run = peerpb.Run_RUN_NOT_RUN
	}
	h.settled = true
	if run == peerpb.Run_RUN_NOT_RUN { // the claimant states it to its caller
		require.Zero(w.t, w.runs[h.key], "not run was stated after a run")
		w.saidNotRun[h.key] = true
	}
	answer := &peerpb.Answer{Status: 201, Body: []byte(h.key[len(h.key)-16:] + h.content), Whole: true}
	return h.node.claimant.Settle(context.Background(), &h.Claim, run, answer)
}

// checkSizes compares the bounded sizes with what is stored.
func (n *node) checkSizes(t require.TestingT) {
	stats := n.Stats()
	want := Stats{Claims: len(n.own.bySeq), Issued: stats.Issued, Sealed: stats.Sealed}
	all := []*records{n.own}
	for _, m := range []map[uint64]*adoption{n.adopted, n.pending} {
		for _, a := range m {
			all = append(all, a.records)
			want.AdoptedClaims += len(a.records.bySeq)
		}
	}
	for _, l := range all {
		for _, r := range l.bySeq {
			want.ReplayBytes += r.bytes()
		}
	}
	require.Equal(t, want, stats)
	require.LessOrEqual(t, max(want.Claims, want.AdoptedClaims), n.options.MaxClaims)
	require.LessOrEqual(t, want.ReplayBytes, n.options.MaxReplayBytes)
}
