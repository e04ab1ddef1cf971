package ratelimit

import (
	"context"
	"time"

	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/routing"
)

// unreachableBackoff is how long an instance does not ask again for the permits of
// an issuer that did not reply.
const unreachableBackoff = time.Second

// PeerClient asks the issuer at a peer address for a permit.
type PeerClient interface {
	Permit(ctx context.Context, address string, in *peerpb.PermitRequest) (*peerpb.PermitResponse, error)
}

// Permits obtains permits from the issuers. It is safe for concurrent use.
type Permits struct {
	directory Directory
	issuer    *Issuer
	peers     PeerClient
}

// NewPermits returns a Permits that obtains the permits of other issuers through
// peers.
func NewPermits(directory Directory, issuer *Issuer, peers PeerClient) *Permits {
	return &Permits{directory: directory, issuer: issuer, peers: peers}
}

// Issuer implements Source.
func (p *Permits) Issuer(s *routing.Server) string {
	address, _ := p.directory.Responsible(s.Key(), s.FailureDomain())
	return address
}

// Take implements Source.
func (p *Permits) Take(ctx context.Context, q Query) (wait time.Duration, granted bool) {
	s := q.Server
	address, isSelf := p.directory.Responsible(s.Key(), s.FailureDomain())
	if address == "" {
		return refusalBackoff, false
	}
	in := &peerpb.PermitRequest{
		Backend: s.Key(), FailureDomain: s.FailureDomain(), PerSecond: q.Limit.PerSecond,
		LimitAgeMs: toMillis(q.Age), MaxWaitMs: uint32(max(0, q.MaxWait.Milliseconds())),
	}
	if q.Limit.Warmup {
		in.WarmupLeftMs, in.WasWarm = toMillis(q.WarmupLeft), q.Limit.WasWarm
	}
	out, err := &peerpb.PermitResponse{}, error(nil)
	if isSelf {
		out = p.issuer.Issue(in)
	} else if out, err = p.peers.Permit(ctx, address, in); err != nil {
		return unreachableBackoff, false // the peer client records the failure
	}
	return fromMillis(out.GetWaitMs()), out.GetState() == peerpb.PermitState_PERMIT_STATE_GRANTED
}

// TakeTrial obtains the permission for one trial of a quarantined request. Over all
// instances there is at most one trial of a key in an interval, and none in doubt about the
// instance that is responsible for the key.
func (p *Permits) TakeTrial(ctx context.Context, key string, interval time.Duration) bool {
	address, isSelf := p.directory.Responsible(key, "")
	if address == "" || interval <= 0 {
		return false
	}
	in := &peerpb.PermitRequest{Backend: key, PerSecond: float64(time.Second) / float64(interval)}
	out, err := &peerpb.PermitResponse{}, error(nil)
	if isSelf {
		out = p.issuer.Issue(in)
	} else if out, err = p.peers.Permit(ctx, address, in); err != nil {
		return false // the peer client records the failure
	}
	return out.GetState() == peerpb.PermitState_PERMIT_STATE_GRANTED
}
