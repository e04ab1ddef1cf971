package bench

import (
	"math/rand/v2"
	"time"
)

const (
	localDelay  = 150 * time.Microsecond // one way inside a failure domain
	localJitter = 50 * time.Microsecond  // mean of the exponential jitter
	crossJitter = 0.1                    // mean of the jitter between failure domains, share of the delay
	// retransmit is the least retransmission timeout of TCP on Linux, which a
	// lost packet costs a connection with one request in flight.
	retransmit = 200 * time.Millisecond
)

// network draws the delay of each message.
type network struct {
	rand     *rand.Rand
	cross    time.Duration
	scenario *Scenario
}

// delay returns the one-way delay between an entry and a backend server in the
// failure domains from and to. Loss is at the switch of the backend servers of
// the scenario's failure domain and hits each message to and from them.
func (n *network) delay(now time.Duration, entry, backend int) time.Duration {
	var d time.Duration
	if entry == backend {
		d = localDelay + time.Duration(n.rand.ExpFloat64()*float64(localJitter))
	} else {
		d = n.cross + time.Duration(n.rand.ExpFloat64()*crossJitter*float64(n.cross))
	}
	if s := n.scenario; s.Loss > 0 && backend == s.Domain && now >= onset {
		for n.rand.Float64() < s.Loss {
			d += retransmit
		}
	}
	return d
}
