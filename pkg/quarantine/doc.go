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
// than 2) within durationMs puts the fingerprint in quarantine. A backend server
// that fails on its own can therefore blame any number of requests, but
// quarantine none. Any response to the fingerprint removes the blame, because a
// request that crashes servers gets none.
//
// Evidence on two servers cannot tell the crashing request from an innocent one
// that was in progress beside it on the first server, was sent again like it, and
// met it on the second. A first quarantine is therefore short, durationMs/12
// (5 s by default), and a response from an attempt still in progress ends it.
// After it the fingerprint is on probation for durationMs: one attempt at a time
// is let through. A response ends the probation; a break for which the request is
// to blame puts it in quarantine for the whole durationMs (60 s), followed by
// probation again.
//
// State: local to this instance, except fingerprints in quarantine, which the
// entries exchange with the remaining time. All tables are bounded: 4096 blamed
// and 1024 quarantined fingerprints, 1024 incidents with 16 fingerprints each;
// the oldest eighth gives way. Messages: peerpb.Quarantine through the gateway.
//
// Difference from the design page: the first quarantine and probation as above;
// Ran (a response proves that the request ran), Configure and Text are
// additional.
//
// Limits: each instance needs evidence on two servers of its own or a peer's
// word; blames are not exchanged. Several entries may each grant a trial before
// they hear that another's failed.
//
// Tests: state machine against the promise that evidence on two servers is
// needed; table of incidents.
package quarantine
