package gateway

import (
	"time"

	"lentilpin/pkg/peer/peerpb"
)

// Source is what this entry shares with its peers and learns from them. It
// implements membership.Source. Ages travel instead of times, because the
// clocks of two instances need not agree.
type Source struct {
	g *Gateway
}

// Source returns the gateway's side of the exchange between entries.
func (g *Gateway) Source() *Source { return &Source{g} }

// Drains implements membership.Source.
func (s *Source) Drains() []*peerpb.DrainMark {
	var out []*peerpb.DrainMark
	now := s.g.now()
	for _, svc := range s.g.current.Load().list {
		for _, m := range svc.outliers.Marks(now) {
			out = append(out, &peerpb.DrainMark{Service: svc.name, Address: m.Address, AgeMs: uint32((now - m.Seen).Milliseconds())})
		}
	}
	return out
}

// Quarantines implements membership.Source.
func (s *Source) Quarantines() []*peerpb.Quarantine {
	var out []*peerpb.Quarantine
	for _, svc := range s.g.current.Load().list {
		for _, e := range svc.quarantine.Active(s.g.now()) {
			out = append(out, &peerpb.Quarantine{Service: svc.name, Fingerprint: e.Fingerprint, RemainingMs: uint32(e.Remaining.Milliseconds())})
		}
	}
	return out
}

// Merge implements membership.Source. What concerns an unknown service is
// dropped: the sender may have newer settings.
func (s *Source) Merge(drains []*peerpb.DrainMark, quarantines []*peerpb.Quarantine) {
	now := s.g.now()
	services := s.g.current.Load().byName
	for _, d := range drains {
		if svc := services[d.GetService()]; svc != nil {
			svc.outliers.Merge(now, now-ms(d.GetAgeMs()), d.GetAddress(), "peer")
			svc.sweep()
		}
	}
	for _, q := range quarantines {
		if svc := services[q.GetService()]; svc != nil {
			svc.quarantine.Merge(now, q.GetFingerprint(), ms(q.GetRemainingMs()))
		}
	}
}

func ms(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
