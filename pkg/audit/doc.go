// Package audit records what an entry did: one record per request, counts of
// refusals, and the audit trail of state changes.
//
// Request records and changes are stored in ring buffers of fixed size (settings
// limits.requestRecords, default 50000, and limits.auditRecords, default 5000).
// Refusals are counted per minute for a day, separately from the records, so that
// a burst of requests cannot evict them. Evicted records, changes and refusals
// are counted, and every answer says how far back it reaches.
//
// AddRequest is called for every request: it copies the record into the ring
// buffer under a mutex. The names in it that callers choose are copied and cut to
// 128 bytes before, so that a record keeps no part of a request. There is no index by request ID;
// FindRequest searches the ring buffer from the newest record in batches and
// holds the mutex for 256 records at a time, so that an operator's query does
// not delay requests.
//
// Records contain names, numbers and times, never bodies, header values, keys or
// request targets, because a target may carry a caller's data. Refusals are counted by
// service, and only known services have a name, so that callers cannot create counts.
//
// The log is local to this instance and lost when the process exits; changes are
// also written to the log stream. The package sends no messages.
//
// Unlike in docs/design.md, Refusals and Changes return how far back they reach
// in addition to the counts and changes.
//
// The tests compare the log with a model made of slices.
package audit
