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

// testKeySettings has times in milliseconds and a size in bytes.
var testKeySettings = dynamic.Keys{GrantMS: 2000, ClaimMS: 500, ReplayMaxBytes: 24}

// cluster is a deployment of three instances with a test oracle. All calls are
// synchronous; messages that arrive late are queued in delayed.
type cluster struct {
	t               require.TestingT
	delivery        func() string      // returns how the next message is delivered
	beforeChunk     func(to *instance) // called before each handover message
	keyring         *Keyring
	instances       []*instance
	successors      map[uint64]string // announced peer address by incarnation
	delayed         []func()
	held            []*held // granted claims of running processes
	lastIncarnation uint64

	// State of the oracle, by key except for coverage.
	granted, runs  map[string]int // number of grants and of runs
	reportedNotRun map[string]bool
	ranContent     map[string]string // content of the request that ran
	coverage       map[string]int    // number of occurrences by state or failure
}

// instance is one instance of a cluster. It implements PeerClient for its
// claimant.
type instance struct {
	*Owner
	cl       *cluster
	address  string
	clock    *clocktest.Manual
	claimant *Claimant
	elapsed  time.Duration // true elapsed time, including suspension
}

// held is a granted claim of a running process.
type held struct {
	Claim
	instance     *instance
	key, content string
	deadline     time.Duration // instance.elapsed at which the grant ends
	run          peerpb.Run    // result of the run, unspecified if not dispatched
	settled      bool
}

func newCluster(t require.TestingT, o OwnerOptions, delivery func() string) *cluster {
	cl := &cluster{
		t: t, delivery: delivery, beforeChunk: func(*instance) {}, keyring: NewKeyring([]string{"secret", "old"}), instances: make([]*instance, 3),
		successors: map[uint64]string{}, granted: map[string]int{}, runs: map[string]int{},
		reportedNotRun: map[string]bool{}, ranContent: map[string]string{}, coverage: map[string]int{},
	}
	for i := range cl.instances {
		cl.startInstance(i, o)
	}
	return cl
}

// newReliableCluster returns a cluster that delivers every message.
func newReliableCluster(t require.TestingT) *cluster {
	return newCluster(t, OwnerOptions{}, func() string { return "ok" })
}

// startInstance starts the process of an instance and replaces the previous one,
// if there is one.
func (cl *cluster) startInstance(i int, o OwnerOptions) {
	n := &instance{cl: cl, address: fmt.Sprintf("%s:700%d", []string{"127.0.0.1", "[::1]", "10.1.2.3"}[i], i), clock: clocktest.NewManual()}
	if old := cl.instances[i]; old != nil {
		n.clock, n.elapsed, o = old.clock, old.elapsed, old.options
		cl.held = slices.DeleteFunc(cl.held, func(h *held) bool { return h.instance == old })
	}
	cl.lastIncarnation++
	o.Address, o.Incarnation, o.Clock, o.Keyring = n.address, cl.lastIncarnation, n.clock, cl.keyring
	n.Owner = NewOwner(o)
	n.chunkBytes = 200
	n.claimant = NewClaimant(n.Owner, cl.keyring, n, n.clock, n.address)
	cl.instances[i] = n
}

func (cl *cluster) indexOf(address string) int {
	return slices.IndexFunc(cl.instances, func(n *instance) bool { return n.address == address })
}

func (n *instance) advance(d time.Duration) {
	n.clock.Advance(d)
	n.elapsed += d
}

func (cl *cluster) advance(d time.Duration) {
	for _, n := range cl.instances {
		n.advance(d)
	}
}

// send delivers one message. The real transport never retransmits a message,
// but a duplicate must be harmless as well.
func send[Out any](cl *cluster, handle func() Out) (out Out, err error) {
	delivery := cl.delivery()
	cl.coverage["message "+delivery]++
	switch delivery {
	case "late":
		cl.delayed = append(cl.delayed, func() { handle() })
	case "reply lost", "repeated":
		handle()
	case "slow":
		defer cl.advance(2500 * time.Millisecond)
	}
	if delivery == "lost" || delivery == "late" || delivery == "reply lost" {
		return out, context.DeadlineExceeded
	}
	return handle(), nil
}

func (n *instance) Claim(_ context.Context, address string, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	in = proto.Clone(in).(*peerpb.ClaimRequest)
	return send(n.cl, func() *peerpb.ClaimResponse {
		out := n.cl.instances[n.cl.indexOf(address)].Owner.Claim(in)
		n.cl.countGrant(in.GetKey(), out.GetState() == peerpb.ClaimState_CLAIM_STATE_GRANTED)
		return out
	})
}

func (n *instance) Settle(_ context.Context, address string, in *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	in = proto.Clone(in).(*peerpb.SettleRequest)
	return send(n.cl, func() *peerpb.SettleResponse { return n.cl.instances[n.cl.indexOf(address)].Owner.Settle(in) })
}

// Handover delivers the chunk only to the process that it was sent to, which may
// have been replaced by the time of delivery.
func (n *instance) Handover(_ context.Context, address string, in *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	cl, i, in := n.cl, n.cl.indexOf(address), proto.Clone(in).(*peerpb.HandoverRequest)
	cl.beforeChunk(cl.instances[i])
	to := cl.instances[i]
	return send(cl, func() *peerpb.HandoverResponse {
		if cl.instances[i] != to {
			return &peerpb.HandoverResponse{}
		}
		return to.AcceptChunk(in)
	})
}

// Successor implements PeerClient.
func (n *instance) Successor(_ string, inc uint64) string { return n.cl.successors[inc] }

// countGrant counts a grant of the key and fails the test at the second one.
func (cl *cluster) countGrant(key string, granted bool) {
	if granted {
		cl.granted[key]++
		require.LessOrEqual(cl.t, cl.granted[key], 1, "key granted twice")
	}
}

// claim claims a key for a request and checks the reported state against the
// oracle.
func (cl *cluster) claim(n *instance, key, content string) Claim {
	deadline := n.elapsed + dynamic.MillisToDuration(testKeySettings.GrantMS)
	claim := n.claimant.Claim(context.Background(), key, Fingerprint("POST", "/tilaus", "", []byte(content)), "id", testKeySettings)
	cl.coverage["state "+claim.State.String()]++
	switch claim.State.Run() {
	case peerpb.Run_RUN_NOT_RUN:
		require.Zero(cl.t, cl.runs[key], "not run was reported after a run")
		cl.reportedNotRun[key] = true
	case peerpb.Run_RUN_RAN:
		require.Equal(cl.t, cl.ranContent[key], content, "ran was reported for another request")
		if claim.Answer.GetWhole() {
			cl.coverage["replay"]++
			require.Equal(cl.t, key[len(key)-16:]+content, string(claim.Answer.GetBody()), "response of another request")
		}
	}
	if claim.State != StateGranted {
		require.False(cl.t, claim.MayDispatch())
		return claim
	}
	if claim.grantState.target == n.address {
		cl.countGrant(key, true)
	}
	if cl.instances[cl.indexOf(claim.grantState.target)].options.Incarnation != claim.grantState.parsedKey.incarnation {
		cl.coverage["granted by a successor"]++
	}
	cl.held = append(cl.held, &held{Claim: claim, instance: n, key: key, content: content, deadline: deadline})
	return claim
}

// dispatch runs the request of a grant with the given result if the claimant
// permits it. reached reports whether a request with an unknown result reached
// the backend server.
func (cl *cluster) dispatch(h *held, run peerpb.Run, reached bool) {
	mayDispatch := h.MayDispatch()
	if h.instance.elapsed >= h.deadline || h.settled {
		cl.coverage["dispatch on an ended grant"]++
		require.False(cl.t, mayDispatch, "dispatch on an ended grant")
	}
	if !mayDispatch || h.run == peerpb.Run_RUN_RAN || h.run == peerpb.Run_RUN_UNKNOWN {
		return
	}
	h.run = run
	if run == peerpb.Run_RUN_RAN || run == peerpb.Run_RUN_UNKNOWN && reached {
		cl.runs[h.key]++
		cl.ranContent[h.key] = h.content
		require.Equal(cl.t, 1, cl.runs[h.key], "key ran twice")
		require.False(cl.t, cl.reportedNotRun[h.key], "run after not run was reported")
	}
}

// settle settles the grant with the result of dispatch.
func (cl *cluster) settle(h *held) bool {
	run := h.run
	if run == peerpb.Run_RUN_UNSPECIFIED {
		run = peerpb.Run_RUN_NOT_RUN
	}
	h.settled = true
	if run == peerpb.Run_RUN_NOT_RUN { // the claimant reports this to its caller
		require.Zero(cl.t, cl.runs[h.key], "not run was reported after a run")
		cl.reportedNotRun[h.key] = true
	}
	answer := &peerpb.Answer{Status: 201, Body: []byte(h.key[len(h.key)-16:] + h.content), Whole: true}
	return h.instance.claimant.Settle(context.Background(), &h.Claim, run, answer)
}

// checkSizes compares the sizes that Stats returns with the stored records and
// checks them against their limits.
func (n *instance) checkSizes(t require.TestingT) {
	stats := n.Stats()
	want := Stats{Claims: len(n.ownLedger.bySequence), Issued: stats.Issued, Sealed: stats.Sealed}
	all := []*ledger{n.ownLedger}
	for _, m := range []map[uint64]*receivedLedger{n.adopted, n.pending} {
		for _, a := range m {
			all = append(all, a.ledger)
			want.AdoptedClaims += len(a.ledger.bySequence)
		}
	}
	for _, l := range all {
		for _, r := range l.bySequence {
			want.ReplayBytes += r.bodyBytes()
		}
	}
	require.Equal(t, want, stats)
	require.LessOrEqual(t, max(want.Claims, want.AdoptedClaims), n.options.MaxClaims)
	require.LessOrEqual(t, want.ReplayBytes, n.options.MaxReplayBytes)
}
