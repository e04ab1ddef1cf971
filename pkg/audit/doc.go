// Package audit keeps what an entry did: one record per request, counts of
// refusals, and the audit trail of changes of state.
//
// Request records and changes are rings of a fixed number (settings
// limits.requestRecords, default 50000, and limits.auditRecords, default 5000).
// Refusals are counted per minute for a day, apart from the records, so that a
// burst of requests cannot push them out. What falls off is counted, and every
// answer says how far back it reaches.
//
// Request is on the path of every request: one copy into the ring under a mutex,
// without allocation. There is no index by request ID; Find searches the ring
// from the newest record in steps that hold the mutex for 256 records each, so
// that a question of an operator does not delay requests.
//
// Records hold names, numbers and times, never bodies, header values, keys or
// targets, because a target may carry a caller's data.
//
// State: local to this instance, lost at process exit; the log stream has the
// changes too. Messages: none.
//
// Difference from the design page: Refusals and Changes return how far back
// they reach besides the counts and changes.
//
// Tests: state machine against slices.
package audit
