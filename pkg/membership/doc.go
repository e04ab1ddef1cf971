// Package membership knows the other entries and exchanges state with them.
//
// Each entry keeps a table with one record per incarnation. Only an incarnation
// raises its own counter, on every round; of two copies of a record the one
// with the higher counter wins, and a later start of the same instance replaces
// an earlier one. Merging is therefore independent of order and repetition. A
// record whose counter stands still is first no longer sent, then forgotten;
// its last counter is kept for a while, so that a late copy does not bring a
// dead instance back. Clocks of different entries are never compared for this.
// A record with a successor is kept for the lifetime of the keys that its
// incarnation issued.
//
// Messages: every 500 ms an Exchange with one random peer, three times out of
// four in the own failure domain. An Exchange carries the sender's version; the
// side with the lower version fetches the tree from the other. After adopting a
// tree or changing its phase or successor, an entry sends an Exchange to three
// random peers at once, so a change spreads in a logarithmic number of steps
// without the configuration service. What an Exchange carries beyond the own
// record is bounded by 64 KiB and by a budget in bytes per second and rotates
// through the table. Peers come from the instance list, the seeds and the
// table, so none of the three has to be complete.
//
// Confirmation: a version is confirmed by the reply of a confirmed peer that
// has no higher version. Where there is no confirmed peer, it is confirmed if
// the instance list names no other live entry and none was heard of, or if
// every other live entry has replied, none of them confirmed and none with a
// higher version. After a pause the configuration service confirms as well,
// but only once the peers had time to reply, because the service may serve an
// old tree for long. Replies to questions asked before a pause do not count.
//
// Runner joins the table with the readers of the platform and the store.
//
// A tree between peers is compressed, since every change sends the whole tree.
//
// Differences from docs/design.md: Options.Self is a pointer, since a message
// must not be copied. After a pause the service alone confirms only after 3 s.
// Watchers by rendezvous rank are not built, see docs/decisions/settings.md.
// Notify, Announce, HandleTree, Header, SetInstances and Stats are additional.
//
// State: the table, replies of this epoch, the last instance list; lost on
// exit and rebuilt by exchange. Tests run a whole fleet of tables over an
// in-memory network in virtual time, see docs/proofs/settings.md.
package membership
