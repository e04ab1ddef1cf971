// Package platform stands in for the configuration service and the instance
// list. It is for tests and the demo only; the product never imports it.
//
// Read side: GET /v1/config/tree and GET /v1/instances, both with after and
// waitMs. A reply is 200 with the newer value, or 304 once the wait is over.
// Every call counts towards the limit of 2,000 calls per second; above it the
// reply is 429.
//
// Admin side, on a second listener: PUT /tree, PUT /instances, PUT /faults,
// GET /counters. The service assigns no versions. It refuses a tree whose
// version is not higher than the published one with 409, which orders
// operators who publish at the same time.
package platform
