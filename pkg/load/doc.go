// Package load is the load generator of lentilpin-load.
//
// It is an open-loop generator: send times are drawn in advance from the rate and
// do not depend on the responses. Latency is measured from the scheduled time, so
// that a slow system does not hide its delays by slowing down the generator
// (coordinated omission). Each request has a token, and the body of each response
// is checked with package payload.
//
// Orders use idempotency keys that were received with responses to reads. An
// order for which no key is available is not sent and is counted as such. A share
// of the orders is sent again with the same key to another target, as a caller
// does that got no response. Afterwards Verify compares what callers were told
// with how often the backend stand-ins ran each order.
//
// Requests are sent through package transport, so none is resent implicitly. If
// direct addresses are given, every second read of the same run is sent directly
// to a backend server; the difference of the percentiles is the added latency.
//
// Targets other than loopback addresses are refused, and the number of requests,
// the duration and the number of requests in flight are bounded.
//
// The tests use a server that returns known wrong responses.
package load
