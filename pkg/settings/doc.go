// Package settings holds the settings tree in force and decides which offered
// tree replaces it.
//
// Rules: only a higher version is adopted. The same version with another
// SHA-256 digest is refused and reported, because two operators or a restored
// service then published two trees under one version; publishing a higher
// version resolves it. A lower version is ignored, so a stale service or peer
// cannot bring an older tree back. A tree that breaks the schema is refused as
// a whole, whatever its version.
//
// Confirmation is separate from adoption: a tree is confirmed once somebody
// who can know has agreed that it is not older than what the fleet has in
// force. Package membership decides that. Every loss of confirmation starts a
// new epoch, and a confirmation counts only for the epoch in which the
// question was asked; a reply that was under way while the process was paused
// therefore confirms nothing.
//
// State: the tree, since when, from where, and the confirmation; lost on exit.
// Every adoption and refusal is a change event for the audit trail.
package settings
