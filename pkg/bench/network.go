package bench

import (
	"math/rand/v2"
	"time"
)

const (
	localDelay       = 150 * time.Microsecond // one-way delay within a failure domain
	localJitter      = 50 * time.Microsecond  // mean of the exponential jitter within a failure domain
	crossJitterRatio = 0.1                    // mean of the exponential jitter between failure domains, as a share of the delay
	// retransmissionTimeout is the minimum TCP retransmission timeout of Linux. It
	// is the delay caused by a lost packet on a connection with one request in
	// flight.
	retransmissionTimeout = 200 * time.Millisecond
)

// network simulates the delay of each message.
type network struct {
	rand       *rand.Rand
	crossDelay time.Duration // one-way delay between failure domains, without jitter
	scenario   *Scenario
}

// delay returns the one-way delay between an entry and a backend server in the
// given failure domains. Packets are lost at the switch of the backend servers in
// the scenario's LossDomain, which affects every message to and from them. For a
// message between entries, backendDomain is the domain of the receiver.
func (n *network) delay(now time.Duration, entryDomain, backendDomain int) time.Duration {
	var d time.Duration
	if entryDomain == backendDomain {
		d = localDelay + time.Duration(n.rand.ExpFloat64()*float64(localJitter))
	} else {
		d = n.crossDelay + time.Duration(n.rand.ExpFloat64()*crossJitterRatio*float64(n.crossDelay))
	}
	if s := n.scenario; s.LossRatio > 0 && backendDomain == s.LossDomain && now >= faultStart {
		for n.rand.Float64() < s.LossRatio {
			d += retransmissionTimeout
		}
	}
	return d
}
