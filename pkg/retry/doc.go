// Package retry bounds extra attempts (retries and hedges) of idempotent
// requests and decides when a hedge is due.
//
// Budget is a token bucket. Each first attempt adds the ratio (default 0.1), and
// a small constant rate (default 1/s) allows retries at low load. Only Take
// removes tokens, and the bucket holds few, so in any window the extra attempts
// are at most the burst plus ratio times the first attempts plus the constant
// rate times the window, whatever fails. Retries never add tokens.
//
// HedgeDelay is a percentile of the latency over the last one to two thousand
// attempts: two histograms of fixed size, of which the older is cleared when the
// newer is full. The gateway records every attempt, with the time it lasted so
// far for a canceled one; recording only winners would shorten the delay with
// each hedge.
//
// State: local to this instance. Messages: none.
//
// Tests: state machine of Budget against a log of all attempts; HedgeDelay
// against the exact percentile.
package retry
