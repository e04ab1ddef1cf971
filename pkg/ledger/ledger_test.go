package ledger

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/clock/clocktest"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/peer/peerpb"
)

const (
	address1 = "127.0.0.1:7001"
	address2 = "[::1]:7002"
)

var testKeys = dynamic.Keys{LifetimeMS: 600_000, GrantMS: 2000, ClaimMS: 500, ReplayMaxBytes: 16}

// direct connects owners by function calls.
type direct struct {
	owners     map[string]*Owner
	successors map[uint64]string
}

var errSilent = context.DeadlineExceeded

func (d *direct) Claim(_ context.Context, address string, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	if o := d.owners[address]; o != nil {
		return o.Claim(in), nil
	}
	return nil, errSilent
}

func (d *direct) Settle(_ context.Context, address string, in *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	if o := d.owners[address]; o != nil {
		return o.Settle(in), nil
	}
	return nil, errSilent
}

func (d *direct) Handover(_ context.Context, address string, in *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	if o := d.owners[address]; o != nil {
		return o.Accept(in), nil
	}
	return nil, errSilent
}

func (d *direct) Successor(_ string, incarnation uint64) string { return d.successors[incarnation] }

// pair is an owner and a claimant on another instance.
type pair struct {
	*direct
	clock    *clocktest.Manual
	ring     *Keyring
	a, b     *Owner
	claimant *Claimant
}

func newPair(o OwnerOptions) *pair {
	p := &pair{direct: &direct{owners: map[string]*Owner{}, successors: map[uint64]string{}}, clock: clocktest.NewManual(), ring: NewKeyring([]string{"secret"})}
	o.Clock, o.Keyring = p.clock, p.ring
	o.Address, o.Incarnation = address1, 1
	p.a = NewOwner(o)
	o.Address, o.Incarnation = address2, 2
	p.b = NewOwner(o)
	p.owners[address1], p.owners[address2] = p.a, p.b
	p.claimant = NewClaimant(p.b, p.ring, p, p.clock, address2)
	return p
}

func (p *pair) claim(key, request string) Claim {
	return p.claimant.Claim(context.Background(), key, Fingerprint("POST", "/tilaus/1", "", []byte(request)), request, testKeys)
}

// Guards against a repeated request that gets another state than the first
// request left.
func TestClaimIsAnsweredFromTheRecord(t *testing.T) {
	long := &peerpb.Answer{Status: 201, ContentType: "text/plain", Body: []byte(strings.Repeat("x", 17)), Whole: true}
	short := &peerpb.Answer{Status: 201, ContentType: "text/plain", Body: []byte("order 1"), Whole: true}
	tests := []struct {
		desc   string
		run    peerpb.Run
		answer *peerpb.Answer
		want   State
		body   string
	}{
		{"not settled", peerpb.Run_RUN_UNSPECIFIED, nil, StateInProgress, ""},
		{"ran with a short response", peerpb.Run_RUN_RAN, short, StateRan, "order 1"},
		{"ran with a long response", peerpb.Run_RUN_RAN, long, StateRan, ""},
		{"not run", peerpb.Run_RUN_NOT_RUN, nil, StateNotRun, ""},
		{"unknown", peerpb.Run_RUN_UNKNOWN, nil, StateUnknown, ""},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			p := newPair(OwnerOptions{})
			for _, o := range []*Owner{p.a, p.b} { // remote and local
				key := o.Issue(time.Minute)
				first := p.claim(key, "1")
				require.Equal(t, StateGranted, first.State)
				require.True(t, first.MayDispatch())
				if tc.run != peerpb.Run_RUN_UNSPECIFIED {
					require.True(t, p.claimant.Settle(context.Background(), &first, tc.run, tc.answer))
					require.False(t, first.MayDispatch())
				}
				second := p.claim(key, "1")
				require.Equal(t, tc.want, second.State)
				require.Equal(t, tc.body, string(second.Answer.GetBody()))
				require.Equal(t, tc.body != "", second.Answer.GetWhole())
				require.False(t, second.MayDispatch())
				require.Equal(t, StateReused, p.claim(key, "2").State)
				p.clock.Advance(time.Minute)
				require.Equal(t, StateExpired, p.claim(key, "1").State)
			}
		})
	}
}
