package gateway

import (
	"time"

	"lentilpin/pkg/peer/peerpb"
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

// Merge implements membership.PeerState. Drain marks and quarantines of unknown
// services are dropped: the sender may have newer settings.
func (s *PeerState) Merge(drains []*peerpb.DrainMark, quarantines []*peerpb.Quarantine) {
	now := s.g.now()
	services := s.g.current.Load().byName
	for _, d := range drains {
		if svc := services[d.GetService()]; svc != nil {
			svc.outliers.Merge(now, now-millisToDuration(d.GetAgeMs()), d.GetAddress(), "peer")
			svc.updateWeights()
		}
	}
	for _, q := range quarantines {
		if svc := services[q.GetService()]; svc != nil {
			svc.quarantine.Merge(now, q.GetFingerprint(), millisToDuration(q.GetRemainingMs()))
		}
	}
}

func millisToDuration(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
