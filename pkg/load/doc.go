// Package load is the load generator behind lentilpin-load.
//
// It is an open loop: requests are sent at times that are drawn in advance from
// the rate, whatever the responses do, and a latency is counted from that time,
// so that a slow system cannot slow down its own measurement. Each request has
// a token, and the body of each response is checked with package payload.
//
// Orders use keys that came with responses to reads. An order without a key at
// hand is not sent and is counted as such. A share of the orders is sent again
// with the same key, through another target, as a caller does who got no
// answer. Afterwards Verify compares what callers were told with how often the
// backend stand-ins ran each order.
//
// Requests go through package transport, so none is sent twice unasked. With
// direct addresses every second read goes straight to a backend server in the
// same run; the difference of the percentiles is the added latency.
//
// Targets other than loopback addresses are refused, and the number of requests,
// the duration and the requests in flight are bounded.
//
// Tests: load_test.go, against a small server that lies in known ways.
package load
