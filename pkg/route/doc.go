// Package route finds the route of a request and selects the service that runs
// it.
//
// A Table is one immutable version of the routes in a settings tree. For each
// host it holds the path prefixes sorted by length, longest first. Lookup
// compares the path only with the prefixes of its host.
//
// If several services share a route, a Split assigns the requests in proportion
// to the weights. It uses a golden-ratio sequence (a Weyl sequence). At any
// moment the counts of this sequence deviate from the weights by a bounded
// number of requests, whereas those of independent random draws deviate by the
// square root of the count. Each instance starts at a random position, so that
// instances do not send the same request numbers to the same service.
//
// State: the position of each split and the baseline latency of each route,
// local to the instance. A settings change keeps the baseline latency of a route
// whose host and prefix are unchanged, and the position of its split if its
// shares are unchanged too.
package route
