package gateway

import (
	"time"

	"lentilpin/pkg/membership"
	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/quarantine"
)

// PeerState is the state that this instance exchanges with its peers. It
// implements membership.PeerState. It sends ages instead of timestamps, because
// the clocks of two instances may differ.
type PeerState struct {
	g *Gateway
}

// PeerState returns the state of the gateway for the exchange with peers.
func (g *Gateway) PeerState() *PeerState { return &PeerState{g} }

// Drains implements membership.PeerState.
func (s *PeerState) Drains() []*peerpb.DrainMark {
	var out []*peerpb.DrainMark
	now := s.g.now()
	for _, svc := range s.g.current.Load().list {
		for _, m := range svc.outliers.ActiveDrainMarks(now) {
			out = append(out, &peerpb.DrainMark{Service: svc.name, Address: m.Address, AgeMs: uint32((now - m.SignaledAt).Milliseconds())})
		}
	}
	return out
}

// Quarantines implements membership.PeerState.
func (s *PeerState) Quarantines() []*peerpb.Quarantine {
	var out []*peerpb.Quarantine
	for _, svc := range s.g.current.Load().list {
		for _, e := range svc.quarantine.ActiveQuarantines(s.g.now()) {
			out = append(out, &peerpb.Quarantine{Service: svc.name, Fingerprint: e.Fingerprint, RemainingMs: uint32(e.Remaining.Milliseconds())})
		}
	}
	return out
}

// CrashEvidence implements membership.PeerState.
func (s *PeerState) CrashEvidence() []*peerpb.CrashEvidence {
	var out []*peerpb.CrashEvidence
	now := s.g.now()
	for _, svc := range s.g.current.Load().list {
		for _, e := range svc.quarantine.Evidence(now) {
			out = append(out, &peerpb.CrashEvidence{
				Service: svc.name, Fingerprint: e.Fingerprint, Backend: e.Address, AgeMs: uint32(max(0, now-e.At).Milliseconds()),
			})
		}
	}
	return out
}

// Merge implements membership.PeerState. The state of unknown services is dropped: the
// sender may have newer settings.
func (s *PeerState) Merge(in membership.SharedState) {
	now := s.g.now()
	services := s.g.current.Load().byName
	for _, d := range in.Drains {
		if svc := services[d.GetService()]; svc != nil {
			svc.outliers.Merge(now, now-millisToDuration(d.GetAgeMs()), d.GetAddress(), "peer")
			svc.updateWeights()
		}
	}
	for _, q := range in.Quarantines {
		if svc := services[q.GetService()]; svc != nil {
			svc.quarantine.Merge(now, q.GetFingerprint(), millisToDuration(q.GetRemainingMs()))
			svc.spreadQuarantineNews()
		}
	}
	for _, e := range in.Evidence {
		if svc := services[e.GetService()]; svc != nil {
			svc.quarantine.MergeEvidence(now, quarantine.Evidence{
				Fingerprint: e.GetFingerprint(), Address: e.GetBackend(), At: now - millisToDuration(e.GetAgeMs()),
			})
			svc.spreadQuarantineNews()
		}
	}
}

func millisToDuration(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
