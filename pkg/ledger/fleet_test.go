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

// fleet is a deployment of three instances with a test oracle. All calls are
// synchronous; messages that arrive late are queued in delayed.
type fleet struct {
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

// instance is one instance of a fleet. It implements PeerClient for its
// claimant.
type instance struct {
	*Owner
	f        *fleet
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

func newFleet(t require.TestingT, o OwnerOptions, delivery func() string) *fleet {
	f := &fleet{
		t: t, delivery: delivery, beforeChunk: func(*instance) {}, keyring: NewKeyring([]string{"secret", "old"}), instances: make([]*instance, 3),
		successors: map[uint64]string{}, granted: map[string]int{}, runs: map[string]int{},
		reportedNotRun: map[string]bool{}, ranContent: map[string]string{}, coverage: map[string]int{},
	}
	for i := range f.instances {
		f.startInstance(i, o)
	}
	return f
}

// newReliableFleet returns a fleet that delivers every message.
func newReliableFleet(t require.TestingT) *fleet {
	return newFleet(t, OwnerOptions{}, func() string { return "ok" })
}

// startInstance starts the process of an instance and replaces the previous one,
// if there is one.
func (f *fleet) startInstance(i int, o OwnerOptions) {
	n := &instance{f: f, address: fmt.Sprintf("%s:700%d", []string{"127.0.0.1", "[::1]", "10.1.2.3"}[i], i), clock: clocktest.NewManual()}
	if old := f.instances[i]; old != nil {
		n.clock, n.elapsed, o = old.clock, old.elapsed, old.options
		f.held = slices.DeleteFunc(f.held, func(h *held) bool { return h.instance == old })
	}
	f.lastIncarnation++
	o.Address, o.Incarnation, o.Clock, o.Keyring = n.address, f.lastIncarnation, n.clock, f.keyring
	n.Owner = NewOwner(o)
	n.chunkBytes = 200
	n.claimant = NewClaimant(n.Owner, f.keyring, n, n.clock, n.address)
	f.instances[i] = n
}

func (f *fleet) indexOf(address string) int {
	return slices.IndexFunc(f.instances, func(n *instance) bool { return n.address == address })
}

func (n *instance) advance(d time.Duration) {
	n.clock.Advance(d)
	n.elapsed += d
}

func (f *fleet) advance(d time.Duration) {
	for _, n := range f.instances {
		n.advance(d)
	}
}

// deliver delivers one message. The real transport never retransmits a message,
// but a duplicate must be harmless as well.
func deliver[Out any](f *fleet, handle func() Out) (out Out, err error) {
	delivery := f.delivery()
	f.coverage["message "+delivery]++
	switch delivery {
	case "late":
		f.delayed = append(f.delayed, func() { handle() })
	case "reply lost", "repeated":
		handle()
	case "slow":
		defer f.advance(2500 * time.Millisecond)
	}
	if delivery == "lost" || delivery == "late" || delivery == "reply lost" {
		return out, context.DeadlineExceeded
	}
	return handle(), nil
}

func (n *instance) Claim(_ context.Context, address string, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	in = proto.Clone(in).(*peerpb.ClaimRequest)
	return deliver(n.f, func() *peerpb.ClaimResponse {
		out := n.f.instances[n.f.indexOf(address)].Owner.Claim(in)
		n.f.countGrant(in.GetKey(), out.GetState() == peerpb.ClaimState_CLAIM_STATE_GRANTED)
		return out
	})
}

func (n *instance) Settle(_ context.Context, address string, in *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	in = proto.Clone(in).(*peerpb.SettleRequest)
	return deliver(n.f, func() *peerpb.SettleResponse { return n.f.instances[n.f.indexOf(address)].Owner.Settle(in) })
}

// Handover delivers the chunk only to the process that it was sent to, which may
// have been replaced by the time of delivery.
func (n *instance) Handover(_ context.Context, address string, in *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	f, i, in := n.f, n.f.indexOf(address), proto.Clone(in).(*peerpb.HandoverRequest)
	f.beforeChunk(f.instances[i])
	to := f.instances[i]
	return deliver(f, func() *peerpb.HandoverResponse {
		if f.instances[i] != to {
			return &peerpb.HandoverResponse{}
		}
		return to.AcceptChunk(in)
	})
}

// Successor implements PeerClient.
func (n *instance) Successor(_ string, inc uint64) string { return n.f.successors[inc] }

// countGrant counts a grant of the key and fails the test at the second one.
func (f *fleet) countGrant(key string, granted bool) {
	if granted {
		f.granted[key]++
		require.LessOrEqual(f.t, f.granted[key], 1, "key granted twice")
	}
}

// claim claims a key for a request and checks the reported state against the
// oracle.
func (f *fleet) claim(n *instance, key, content string) Claim {
	deadline := n.elapsed + dynamic.MillisToDuration(testKeySettings.GrantMS)
	claim := n.claimant.Claim(context.Background(), key, Fingerprint("POST", "/tilaus", "", []byte(content)), "id", testKeySettings)
	f.coverage["state "+claim.State.String()]++
	switch claim.State.Run() {
	case peerpb.Run_RUN_NOT_RUN:
		require.Zero(f.t, f.runs[key], "not run was reported after a run")
		f.reportedNotRun[key] = true
	case peerpb.Run_RUN_RAN:
		require.Equal(f.t, f.ranContent[key], content, "ran was reported for another request")
		if claim.Answer.GetWhole() {
			f.coverage["replay"]++
			require.Equal(f.t, key[len(key)-16:]+content, string(claim.Answer.GetBody()), "response of another request")
		}
	}
	if claim.State != StateGranted {
		require.False(f.t, claim.MayDispatch())
		return claim
	}
	if claim.grantState.target == n.address {
		f.countGrant(key, true)
	}
	if f.instances[f.indexOf(claim.grantState.target)].options.Incarnation != claim.grantState.parsedKey.incarnation {
		f.coverage["granted by a successor"]++
	}
	f.held = append(f.held, &held{Claim: claim, instance: n, key: key, content: content, deadline: deadline})
	return claim
}

// dispatch runs the request of a grant with the given result if the claimant
// permits it. reached reports whether a request with an unknown result reached
// the backend server.
func (f *fleet) dispatch(h *held, run peerpb.Run, reached bool) {
	mayDispatch := h.MayDispatch()
	if h.instance.elapsed >= h.deadline || h.settled {
		f.coverage["dispatch on an ended grant"]++
		require.False(f.t, mayDispatch, "dispatch on an ended grant")
	}
	if !mayDispatch || h.run == peerpb.Run_RUN_RAN || h.run == peerpb.Run_RUN_UNKNOWN {
		return
	}
	h.run = run
	if run == peerpb.Run_RUN_RAN || run == peerpb.Run_RUN_UNKNOWN && reached {
		f.runs[h.key]++
		f.ranContent[h.key] = h.content
		require.Equal(f.t, 1, f.runs[h.key], "key ran twice")
		require.False(f.t, f.reportedNotRun[h.key], "run after not run was reported")
	}
}

// settle settles the grant with the result of dispatch.
func (f *fleet) settle(h *held) bool {
	run := h.run
	if run == peerpb.Run_RUN_UNSPECIFIED {
		run = peerpb.Run_RUN_NOT_RUN
	}
	h.settled = true
	if run == peerpb.Run_RUN_NOT_RUN { // the claimant reports this to its caller
		require.Zero(f.t, f.runs[h.key], "not run was reported after a run")
		f.reportedNotRun[h.key] = true
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
