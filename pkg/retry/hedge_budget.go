package retry

import "time"

// hedgeReserve is the share of the capacity beyond one token that is reserved for
// retries. A retry prevents the failure of a request, a hedge only lowers its
// latency. In benchmarks without a reserve, hedges exhausted the budget while a
// request crashed backend servers, and requests failed that succeeded with hedging
// disabled.
const hedgeReserve = 0.5

// TakeHedge removes one token for a hedge and reports whether one was available
// beyond the reserve for retries. A refused hedge does not count for Refused.
func (b *Budget) TakeHedge(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1+hedgeReserve*(b.capacity()-1)-tokenTolerance {
		return false
	}
	b.tokens--
	return true
}
