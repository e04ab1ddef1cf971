package ratelimit

import (
	"sync"
	"time"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/peer/peerpb"
)

const (
	// settleTime is the time without permits after the start of the process and
	// after a pause. A change of the member table reaches all instances within it.
	settleTime = 3 * time.Second
	// meterLifetime is how long the meter of a backend server is kept after the last
	// request for a permit, longer than burstTime and the wait for a permit.
	meterLifetime = time.Minute
	// refusalBackoff is how long an instance does not ask again after a reply that
	// another instance issues the permits, or none does now.
	refusalBackoff = 250 * time.Millisecond
)

// Directory tells which instance issues the permits of a backend server. It is
// implemented by membership.Table.
type Directory interface {
	// Responsible returns the peer address of the instance that is responsible for
	// a key, "" if there is none, and whether it is this instance.
	Responsible(key, failureDomain string) (address string, isSelf bool)
	// LiveShare returns the share of the known instances that are live, above 0 and
	// up to 1.
	LiveShare() float64
}

// IssuerOptions are the dependencies of an Issuer.
type IssuerOptions struct {
	Directory Directory
	Clock     clock.Clock
	// Epoch returns a number that starts at 0 and changes when the process was paused.
	// It must notice a pause that has just ended.
	Epoch func() uint64
}

// Issuer issues the permits of the backend servers that this instance is
// responsible for. It is safe for concurrent use.
type Issuer struct {
	options IssuerOptions

	mu           sync.Mutex
	epoch        uint64
	settledAt    time.Duration // no permits are issued before
	meters       map[string]*usedMeter
	nextCleaning time.Duration
}

// usedMeter is a meter with the time of its last use.
type usedMeter struct {
	meter
	usedAt time.Duration
}

// NewIssuer returns an issuer that issues no permits before settleTime has passed.
func NewIssuer(o IssuerOptions) *Issuer {
	return &Issuer{
		options: o, settledAt: o.Clock.Read().Mono + settleTime, meters: map[string]*usedMeter{},
	}
}

// Issue decides on a request for a permit of this or of another instance.
func (i *Issuer) Issue(in *peerpb.PermitRequest) *peerpb.PermitResponse {
	_, responsible := i.options.Directory.Responsible(in.GetBackend(), in.GetFailureDomain())
	share := i.options.Directory.LiveShare()
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.options.Clock.Read().Mono
	if epoch := i.options.Epoch(); epoch != i.epoch {
		i.epoch, i.settledAt = epoch, now+settleTime
	}
	if !responsible || now < i.settledAt || !(in.GetPerSecond() >= 0) {
		return &peerpb.PermitResponse{State: peerpb.PermitState_PERMIT_STATE_NOT_ISSUER, WaitMs: toMillis(refusalBackoff)}
	}
	m := i.meter(now, in.GetBackend())
	m.setRate(now, now-fromMillis(in.GetLimitAgeMs()), in.GetPerSecond())
	if left := fromMillis(in.GetWarmupLeftMs()); left > 0 {
		m.observeWarmup(now, left, in.GetPerSecond(), in.GetWasWarm())
	}
	wait, granted := m.take(now, fromMillis(in.GetMaxWaitMs()), share)
	state := peerpb.PermitState_PERMIT_STATE_EXHAUSTED
	if granted {
		state = peerpb.PermitState_PERMIT_STATE_GRANTED
	}
	return &peerpb.PermitResponse{State: state, WaitMs: toMillis(wait)}
}

// Meters returns the number of backend servers whose permits are metered.
func (i *Issuer) Meters() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.meters)
}

// meter returns the meter of a backend server. The caller holds i.mu.
func (i *Issuer) meter(now time.Duration, backend string) *meter {
	if now >= i.nextCleaning {
		i.nextCleaning = now + meterLifetime
		for key, m := range i.meters {
			if now-m.usedAt > meterLifetime {
				delete(i.meters, key)
			}
		}
	}
	m := i.meters[backend]
	if m == nil {
		m = &usedMeter{}
		m.statedAt = now - meterLifetime
		i.meters[backend] = m
	}
	m.usedAt = now
	return &m.meter
}

// toMillis rounds up, so that a permit is not used too early.
func toMillis(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
