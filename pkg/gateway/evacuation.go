package gateway

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"lentilpin/pkg/events"
	"lentilpin/pkg/operator"
	"lentilpin/pkg/platform"
	"lentilpin/pkg/routing"
)

// evacuatedDomains returns the evacuated failure domains of an instance list with the number
// of backend servers in each of them.
func evacuatedDomains(list []platform.Instance) map[string]int {
	var out map[string]int
	for _, i := range list {
		if i.Kind == platform.KindFailureDomain && i.State == platform.StateEvacuated {
			if out == nil {
				out = map[string]int{}
			}
			out[i.FailureDomain] = 0
		}
	}
	if len(out) == 0 {
		return nil
	}
	for _, i := range list {
		if _, isEvacuated := out[i.FailureDomain]; isEvacuated && i.Kind == platform.KindBackend {
			out[i.FailureDomain]++
		}
	}
	return out
}

// setEvacuated records the evacuated failure domains of the latest instance list, which is
// in force. g.updateMu must be held.
func (g *Gateway) setEvacuated(next map[string]int) {
	var previous map[string]int
	if p := g.evacuated.Swap(&next); p != nil {
		previous = *p
	}
	for domain, backends := range next {
		if _, isKnown := previous[domain]; !isKnown {
			g.options.Recorder.Record(eventEvacuationBegun, events.F("failure_domain", domain), events.F("backends", backends))
		}
	}
	for domain := range previous {
		if _, isEvacuated := next[domain]; !isEvacuated {
			g.options.Recorder.Record(eventEvacuationEnded, events.F("failure_domain", domain), events.F("backends", g.backendsIn(domain)))
		}
	}
	g.evacuatedGauge.Update(float64(len(next)))
}

// backendsIn returns the number of backend servers of the latest instance list in a failure
// domain. g.updateMu must be held.
func (g *Gateway) backendsIn(failureDomain string) (n int) {
	for _, i := range g.list {
		if i.Kind == platform.KindBackend && i.FailureDomain == failureDomain {
			n++
		}
	}
	return n
}

// EvacuatedDomains returns the evacuated failure domains, sorted by name.
func (g *Gateway) EvacuatedDomains() (out []operator.EvacuatedDomain) {
	if p := g.evacuated.Load(); p != nil {
		for domain, backends := range *p {
			out = append(out, operator.EvacuatedDomain{FailureDomain: domain, Backends: backends})
		}
	}
	slices.SortFunc(out, func(a, b operator.EvacuatedDomain) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return out
}

// withdrawEvacuated closes the idle connections to evacuated backend servers and makes the
// detector of cuts forget their failures. Work in progress there ends normally; its
// connections are idle afterwards and are closed by a later call.
func (s *service) withdrawEvacuated() {
	evacuated := s.routingSet.Evacuated()
	if len(evacuated) == 0 {
		return
	}
	keys := make(map[string]bool, len(evacuated))
	for _, server := range evacuated {
		keys[server.Key()] = true
		s.pool.CloseIdle(server.Address())
	}
	if s.reach.Forget(func(key string) bool { return keys[key] }, len(s.routingSet.Servers())) {
		s.recorder.Record(eventServiceReached, events.F("reason", "evacuated"))
	}
}

const (
	// maxListWait bounds the wait for the evacuations after a pause of the process. Reading
	// them takes some milliseconds if the store answers; what was last known is in force
	// otherwise.
	maxListWait      = 200 * time.Millisecond
	listPollInterval = 2 * time.Millisecond
)

// waitForCurrentList waits until the evacuations are up to date. After a pause of the
// process, a request that was assigned before it may go to a failure domain that was
// evacuated meanwhile.
func (s *service) waitForCurrentList() {
	for end := s.now() + maxListWait; !s.isListCurrent() && s.now() < end; {
		time.Sleep(listPollInterval)
	}
}

// returnSpread is the time over which an instance takes back the backend servers of a failure
// domain that is no longer evacuated. All instances learn of the end within a second, and the
// backend servers may be cold: they get their share of load queries and requests by and by.
const returnSpread = 2 * time.Second

// takeBack sets the weight of backend servers whose evacuation has ended, and delays their
// use by random times. They are used at once if they are more than the others, which then
// hardly carry the load.
func (s *service) takeBack(now time.Duration, returned []*routing.Server, others int) {
	b := &s.backoffs
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, server := range returned {
		if len(returned) <= others {
			server.BackOff(now + rand.N(returnSpread))
			if !slices.Contains(b.list, server) {
				b.list = append(b.list, server)
			}
		}
		info, _ := s.outliers.ServerInfo(now, server.Key())
		server.SetWeight(info.Weight)
	}
}

// isEvacuated reports whether the service has backend servers and all are evacuated.
func (s *service) isEvacuated() bool {
	return len(s.routingSet.Servers()) == 0 && s.routingSet.HasEvacuated()
}

// refuseEvacuated is the refusal of a request of a service all of whose backend servers are
// evacuated.
func refuseEvacuated() result {
	return notRunResult(http.StatusServiceUnavailable, reasonEvacuated, "all failure domains with backend servers of the service are evacuated").withRetryAfter()
}

// evacuatedBackends describes the evacuated backend servers of a service for operators.
func (s *service) evacuatedBackends() (out []operator.Backend) {
	for _, server := range s.routingSet.Evacuated() {
		out = append(out, operator.Backend{
			Address: server.Key(), FailureDomain: server.FailureDomain(), State: operator.StateEvacuated, Reasons: []string{routing.ReasonEvacuated},
			Picks: server.Picks(), Inflight: server.Inflight(), Limit: server.Limit(), AtLimit: server.AtLimit(), Failed: server.Failed(),
			ErrorShare: server.ErrorShare(), Latency: server.Latency(),
		})
	}
	return out
}
