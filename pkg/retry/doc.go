// Package retry limits the extra attempts (retries and hedges) of idempotent
// requests and determines the delay before a hedge is sent.
//
// Budget is a token bucket. Each first attempt adds the budget ratio (default 0.1),
// and a small constant rate (default 1/s) permits retries at low load. Only TakeRetry
// and TakeHedge remove tokens, and the bucket has a small capacity. Whatever fails,
// the extra attempts in any time window are at most the capacity plus the ratio
// times the first attempts plus the constant rate times the window. Retries never
// add tokens.
//
// HedgeDelay is a percentile of the latency over the last 1000 to 2000 attempts,
// computed from two histograms of fixed size. When the newer one is full, the older
// one is cleared and takes its place. The gateway records every attempt, a canceled
// one with the time until its cancellation; recording only the winners of hedges
// would shorten the delay with each hedge.
//
// HedgeBudgets limits hedges, besides, to a share of the requests of each service and of
// all services of this instance. A share of requests holds for the whole fleet because it
// holds at each instance. HedgeCheck decides on the load that hedges answer: reads whose
// backend server became slow after it was selected. A hedge is not sent if its response
// would come after the target latency, or if the backend server of the first attempt
// reports its usual speed, because the request itself is long then.
//
// State: local to this instance. Messages: none.
//
// Tests: state machine of Budget against a log of all attempts; HedgeDelay
// against the exact percentile.
package retry
