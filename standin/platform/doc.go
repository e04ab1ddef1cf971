// Package platform is a stand-in for the configuration service and the instance
// list. It is for tests and the demo only; production code never imports it.
//
// The read API serves GET /v1/config/tree and GET /v1/instances as long polls:
// the query parameter after states the version that the reader holds, and
// waitMs how long the poll may wait for a newer one. The reply is 200 with the
// newer value, or 304 when the wait is over. All reads together are limited to
// 2,000 per second; a read above the limit gets 429.
//
// The admin API, on a listener of its own, serves PUT /tree, PUT /instances,
// PUT /faults and GET /counters. The service assigns no versions. It refuses a
// tree whose version is not higher than the published one with 409, so that two
// operators who publish the same version at the same time cannot both succeed.
package platform
