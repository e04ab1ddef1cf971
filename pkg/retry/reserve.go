package retry

import "time"

// hedgeReserve is the share of the bucket beyond one attempt that hedges leave for
// retries. A retry saves a request, a hedge only makes one faster. In the bench,
// hedges used up the budget while a request crashed backend servers, and requests
// failed that were saved without hedges.
const hedgeReserve = 0.5

// TakeHedge reports whether one hedge may be sent, and counts it.
func (b *Budget) TakeHedge(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1+hedgeReserve*(b.capacity()-1)-rounding {
		return false
	}
	b.tokens--
	return true
}
