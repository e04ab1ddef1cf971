// Package ledger lets a non-idempotent request run at most once, without a
// store shared by the instances.
//
// # Design
//
// A key contains the address and the incarnation of the instance that issued
// it, its owner, and only the owner can grant it. Instances do not have to agree
// on anything: the decision depends on no list of instances, no election and no
// clock of another instance. If the owner is gone or does not reply, the result
// is unknown, but the request never runs twice.
//
// Keyring signs and verifies keys; key.go describes their layout. Owner issues
// keys and keeps one record per claimed key (ledger.go). Claimant runs in every
// instance, verifies the key that a caller sent, claims it from its owner and
// settles the result. When an instance is replaced as planned, its owner hands
// the sealed ledger over to one successor (handover.go).
//
// # Safety
//
//   - A key is granted only if it has no record and its expiry is above the
//     watermark. A record is removed only if its expiry is below the watermark,
//     and the watermark never decreases. So no clock can make a granted key
//     grantable again.
//   - A granted key stays spent even if the reply is lost, the claimant is late
//     or the request did not run. Later claims are answered from the record.
//   - Seal permanently stops granting before the ledger is copied. The last
//     chunk of a handover is sent at most once, to one successor.
//   - "not run" is reported only for a key that was granted, not dispatched and
//     settled as not run, and for a key that no instance issued. A key that was
//     not granted but still may be (ledger full, owner shutting down) is
//     reported as unknown with the key state "open".
//
// None of this depends on the grant deadline. The deadline only lets the
// claimant report "not run" early and the owner stop waiting.
//
// # Clocks
//
// The owner measures the age of an incarnation with the monotonic and the boot
// time clock; with the wall clock, setting it forward would expire every key at
// once. The claimant checks the grant deadline against all three clocks and uses
// the longest elapsed time.
//
// # State and limits
//
// The owner keeps one record per claim: at most OwnerOptions.MaxClaims in its
// own ledger, and as many again in the ledgers received from other incarnations.
// MaxReplayBytes limits the total size of the response bodies stored for replay;
// above it a record keeps a response without its body. All state is lost with
// the process unless it is handed over.
//
// # Additions to docs/design.md
//
// Owner.WaitForOpenGrants waits for open grants, Owner.HandOver sends the chunks
// to a single successor, Owner.Stats returns sizes, and Claimant.Settle reports
// whether the owner confirmed the result. OwnerOptions.MaxReplayBytes limits all
// stored responses together. The adopted ledgers may hold as many claims as the
// own ledger. The text form of a key has 60 characters for an IPv4 owner and 76
// for an IPv6 owner. The wall clock does not count toward the age of the owner.
//
// # Shutdown of an entry
//
// The entry calls Seal, WaitForOpenGrants and HandOver. After a successful
// handover it publishes the address of the successor. It closes the peer
// listener last, so that late claims and settle requests receive a reply that
// directs them to the successor.
//
// # Tests
//
// docs/proofs/ledger.md lists the tests with the fault that each has caught.
package ledger
