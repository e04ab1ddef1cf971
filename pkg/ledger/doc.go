// Package ledger lets a non-idempotent request run at most once, without a
// store that instances share.
//
// # Design
//
// A key names the instance that issued it, its owner, and only the owner can
// grant it. There is nothing to agree on between instances: no list of
// instances, no election and no clock of another instance takes part in the
// decision. An owner that is gone or does not reply costs an unknown result,
// never a second run.
//
// Keyring signs and verifies keys; the layout is in key.go. Owner issues keys
// and keeps one record per claimed key (records.go). Claimant runs in every
// instance, verifies a caller's key, claims it at its owner, and settles the
// result. On a planned replacement the owner hands its sealed ledger to one
// successor (handover.go).
//
// # What makes it safe
//
//   - A key is granted only if it has no record and expires above the
//     watermark. A record is forgotten only below the watermark, and the
//     watermark never falls. So no clock can make a key grantable again.
//   - A granted key stays spent whatever follows: lost reply, late claimant,
//     "not run". A later claim is answered from the record.
//   - Seal ends granting for good before the ledger is copied. The last chunk
//     of a handover is sent once at most, to one successor.
//   - "not run" is stated only for a key that was granted, not dispatched and
//     settled as such, and for a key that no instance issued. A key that was
//     not granted but still may be (ledger full, owner leaving) is reported as
//     unknown with key state open.
//
// The grant deadline is not needed for any of this; it only lets the claimant
// state "not run" early and the owner stop waiting.
//
// # Clocks
//
// The owner counts age with the monotonic and the boot time clock; a wall
// clock that is set forward would expire every key at once. The claimant
// judges its grant by all three clocks, the largest elapsed time.
//
// # State and bounds
//
// Per claim one record, at most OwnerOptions.MaxClaims, and as many again in
// ledgers of other incarnations. Responses kept for replay are bounded by
// MaxReplayBytes over all records; above it a record keeps the status only.
// Lost with the process unless handed over.
//
// # Additions to docs/design.md
//
// Owner.Drain waits for open grants, Owner.HandOver sends the chunks and keeps
// to one successor, Owner.Stats returns sizes, and Claimant.Settle reports
// whether the owner has confirmed. OwnerOptions.MaxReplayBytes bounds all kept
// responses together. An adopted ledger may hold as many claims as the own one.
// The text form of a key is 60 characters for an IPv4 owner and 76 for IPv6.
// The owner's age leaves out the wall clock.
//
// # Shutdown of an entry
//
// Seal, Drain, HandOver; on success the successor's address is published, and
// the peer listener is closed last, so that late claims and settles are told
// that the owner moved on.
//
// # Tests
//
// docs/proofs/ledger.md lists them with the fault that each has caught.
package ledger
