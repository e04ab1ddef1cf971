// Package route finds the route of a request and the service that runs it.
//
// A Table is one immutable version of the routes of a settings tree: for each
// host the prefixes in the order of their length, the longest first. Lookup
// compares the path with the prefixes of its host only.
//
// Where several services share a route, a Split hands out the requests in the
// proportion of the weights. It walks a golden-ratio sequence (a Weyl sequence),
// whose counts deviate from the weights by a bounded number of requests at
// every moment, where independent random draws deviate by the square root of
// the count. Each instance starts at a random position, so that instances do
// not send the same request numbers to the same service.
//
// State: the position of each split, local to the instance. It survives a
// change of settings that leaves the shares of the route as they were.
package route
