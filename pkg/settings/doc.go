// Package settings holds the settings tree in force and decides which offered
// tree replaces it.
//
// Rules: only a higher version is adopted. The same version with a different
// SHA-256 digest is a conflict and is refused and reported: two operators, or a
// restored configuration service, published two trees under one version.
// Publishing a higher version resolves the conflict. A lower version is ignored,
// so that a stale configuration service or peer cannot bring back an older tree.
// A tree that violates the schema or a rule is refused as a whole.
//
// Confirmation is separate from adoption: a tree is confirmed once there is
// evidence, for example from a confirmed peer, that it is not older than the tree
// in force in the fleet. Package membership decides that. Every call of Unconfirm
// starts a new epoch, and a confirmation counts only in the epoch in which the
// request for it was sent. A reply that was in transit while the process was
// paused therefore confirms nothing.
//
// State: the tree, its source, the time of its adoption and the confirmation. All
// are lost on exit. Every adoption, conflict and refusal of an invalid tree is a
// change event for the audit trail.
package settings
