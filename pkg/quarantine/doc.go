// Package quarantine refuses requests that crash backend servers.
//
// A request is known by the fingerprint of its method, target and body. It is
// blamed for an incident of a backend server if its attempt ended with a broken
// connection within 200 ms of the incident's start and something else failed on
// the same server before the incident ended: a refused connection, or the broken
// connection of another fingerprint. An incident is a run of such failures with
// gaps below 2 s. Requests that break later in an incident meet a server that
// was failing already and are not blamed for it.
//
// Blame on 2 different backend servers (setting quarantine.breaks, never less
// than 2) within durationMs puts the fingerprint in quarantine for durationMs
// (default 60 s). A backend server that fails on its own can therefore blame any
// number of requests, but quarantine none. Any response to the same fingerprint
// that proves that it ran removes the blame, because a request that crashes
// servers gets none: this clears popular requests that were in progress on two
// servers when a crashing one hit them.
//
// State: local to this instance, except fingerprints in quarantine, which the
// entries exchange with the remaining time. All tables are bounded: 4096 blamed
// and 1024 quarantined fingerprints, 1024 incidents with 16 fingerprints each;
// the oldest eighth gives way. Messages: peerpb.Quarantine through the gateway.
//
// Difference from the design page: Ran is additional (a response proves that the
// request ran), and Configure.
//
// Limits: each instance needs evidence on two servers of its own; only the
// verdict is exchanged. An innocent request that was broken together with the
// crashing one on two servers, with no response in between, is quarantined with
// it.
//
// Tests: state machine against the promise that evidence on two servers is
// needed; table of incidents.
package quarantine
