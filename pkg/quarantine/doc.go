// Package quarantine refuses requests that crash backend servers.
//
// A request is identified by the fingerprint of its method, target and body. A
// fingerprint is blamed for an incident of a backend server if one of its attempts
// ended with a broken connection within 200 ms of the start of the incident, and
// the server had another failure before the incident ended: a refused connection,
// or a broken connection of another fingerprint. An incident is a sequence of such
// failures with gaps below 2 s. Requests whose connections break later in an
// incident reached a server that was already failing and are not blamed.
//
// Blame on 2 different backend servers (setting quarantine.breaks, never less
// than 2) within durationMs puts the fingerprint in quarantine, whichever instances
// have seen the crashes: they exchange their evidence. A backend server
// that fails on its own can therefore cause blame for any number of requests, but
// no quarantine. A successful response to the fingerprint removes the blame at all
// instances, because a request that crashes servers receives no response. An error
// response does not: a backend server in trouble may fail a request before it runs it.
//
// Evidence on two servers cannot distinguish the crashing request from an innocent
// one that was in progress on the same server at the same time, was retried at the
// same time, and again shared a server with the crashing request. A first
// quarantine is therefore short, durationMs/12 (5 s by default), and a response
// from an attempt still in progress ends it. After a quarantine the fingerprint is
// on probation for durationMs: one attempt at a time is allowed as a trial. A
// response ends the probation; a broken connection for which the fingerprint is
// blamed puts it in quarantine for the full durationMs (60 s by default), followed
// by probation again.
//
// The load it answers: a caller that sends a crashing request again and again, at any
// instance. The backend servers that it costs must not grow with the number of instances.
//
// State: local to this instance, except fingerprints in quarantine, which the
// entries exchange together with the remaining time, and evidence (crashes, and
// responses that clear a request), which they exchange for 10 s. All tables are
// bounded: 4096 blamed, 1024 quarantined and 1024 cleared fingerprints, and 1024
// incidents with 16 fingerprints each. A full table evicts its oldest eighth. Messages:
// peerpb.Quarantine and peerpb.CrashEvidence through the gateway, peerpb.Permit for
// trials.
//
// Differences from docs/design.md: the short first quarantine and probation;
// Ran (a response proves that the request ran), Configure and FormatFingerprint
// are additional.
//
// Limits: an instance that is cut off from its peers decides by its own evidence and
// admits no trials. Builds that exchange no evidence need two servers of their own.
//
// Tests: state machine against the invariant that evidence on two servers is
// needed; table of incidents; fleets of 20 to 500 lists that exchange what they know;
// test/process with real processes.
package quarantine
