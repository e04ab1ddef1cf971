package retry

import (
	"sync"
	"time"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
)

// hedgeReserve is the share of the capacity beyond one token that is reserved for
// retries. A retry prevents the failure of a request, a hedge only lowers its
// latency. In benchmarks without a reserve, hedges exhausted the budget while a
// request crashed backend servers, and requests failed that succeeded with hedging
// disabled.
const hedgeReserve = 0.5

// noHedgeLimit is the ratio from which a HedgeBudget sets no limit of its own.
const noHedgeLimit = 1

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

// HedgeBudget limits hedges to a share of the requests of one service, or of all
// services of an instance. It starts empty, so that in any time the hedges are at most
// the ratio times the requests so far. It is safe for concurrent use.
type HedgeBudget struct {
	mu         sync.Mutex
	tokens     float64
	refused    uint64
	exhaustion events.ExhaustionDetector
}

// RecordRequest adds the share of one request, up to the capacity (at least 1).
func (b *HedgeBudget) RecordRequest(ratio, capacity float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+ratio, max(1, capacity))
}

// take removes one token for a hedge of a service with the given ratio.
func (b *HedgeBudget) take(ratio float64) bool {
	if ratio >= noHedgeLimit {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio <= 0 || b.tokens < 1-tokenTolerance {
		b.refused++
		return false
	}
	b.tokens--
	return true
}

// putBack returns the token of a hedge that another budget has refused.
func (b *HedgeBudget) putBack(ratio float64) {
	if ratio >= noHedgeLimit {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
}

// Report records an event if the budget has started or stopped refusing hedges since
// the last call. service is empty for the budget over all services. The gateway calls it
// about once a second.
func (b *HedgeBudget) Report(recorder events.Recorder, service string) {
	b.mu.Lock()
	count, changed := b.exhaustion.Update(b.refused)
	b.mu.Unlock()
	switch {
	case !changed:
	case service != "":
		events.RecordExhaustion(recorder, eventHedgeBudgetExhausted, eventHedgeBudgetRecovered, service, count)
	case count > 0:
		recorder.Record(eventFleetHedgeBudgetExhausted, events.F("refused", count))
	default:
		recorder.Record(eventFleetHedgeBudgetRecovered)
	}
}

// HedgeBudgets are the budgets from which each hedge of a service takes.
type HedgeBudgets struct {
	Service HedgeBudget
	Fleet   *HedgeBudget // over all services of this instance
	Retry   *Budget
}

// RecordRequest counts one request of the service.
func (b *HedgeBudgets) RecordRequest(settings *dynamic.Retry) {
	capacity := float64(settings.Burst)
	b.Service.RecordRequest(settings.HedgeRatio, capacity)
	b.Fleet.RecordRequest(settings.FleetHedgeRatio, capacity)
}

// Take takes one hedge from all budgets, or from none and returns the one that refused.
func (b *HedgeBudgets) Take(now time.Duration, settings *dynamic.Retry) HedgeDecision {
	if !b.Service.take(settings.HedgeRatio) {
		return HedgeServiceBudget
	}
	if !b.Fleet.take(settings.FleetHedgeRatio) {
		b.Service.putBack(settings.HedgeRatio)
		return HedgeFleetBudget
	}
	if !b.Retry.TakeHedge(now) {
		b.PutBack(settings)
		return HedgeRetryBudget
	}
	return HedgeSent
}

// PutBack returns the tokens of a hedge that was not sent. That of the retry budget is
// lost: no backend server took the hedge, so the others are short of room too.
func (b *HedgeBudgets) PutBack(settings *dynamic.Retry) {
	b.Service.putBack(settings.HedgeRatio)
	b.Fleet.putBack(settings.FleetHedgeRatio)
}
