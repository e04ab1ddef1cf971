// Package membership maintains the table of gateway instances and exchanges
// state between them by gossip.
//
// Each entry keeps one record per incarnation. Only the incarnation itself
// increments the counter of its record, in every round and with every change of
// its phase or successor. Of two copies of a record the one with the higher
// counter is kept, and a later start of the same instance replaces an earlier
// one. Merging is therefore independent of the order and repetition of
// messages. A record whose counter stops rising is first no longer sent and
// then forgotten. It is deleted recordRetention after its counter last rose:
// until then a delayed copy does not restore a terminated instance, and claims
// for the keys that the incarnation issued find its successor. recordRetention
// is longer than the default lifetime of keys. Clocks of different entries are
// never compared for this.
//
// Messages: every 500 ms an entry sends an Exchange to one random peer, in
// three rounds out of four within its own failure domain, and in a large failure domain
// in more of them (domains.go). An Exchange carries
// the sender's settings version; the side with the lower version fetches the
// tree from the other. After adopting a tree or changing its phase or
// successor, an entry sends an Exchange to three random peers immediately, so
// that a change reaches the fleet in a logarithmic number of steps without the
// configuration service. Beyond the sender's own record, the content of an
// Exchange is bounded by 64 KiB and by a budget in bytes per second and rotates
// through the table. Peers come from the instance list, the seed peers and the
// table, so none of the three has to be complete.
//
// Confirmation: a version is confirmed by the reply of a confirmed peer that
// has no higher version. Without a confirmed peer, it is confirmed if neither
// the instance list nor the table names another live entry, or if every other
// live entry has replied, none of them confirmed and none with a higher
// version. After a pause the configuration service can confirm a version too,
// but only after the peers had time to reply, because the service may serve a
// stale tree for a long time. Replies to requests sent before a pause do not
// count.
//
// Responsible assigns keys, such as backend servers that state a rate limit, to live
// instances by rendezvous hashing; LiveShare states the part of the known instances
// that are live, by which a limit on the sum of all instances is scaled during a
// partition. Package ratelimit uses both. Acceptors names instances that serve requests
// which another one hands on (package gateway).
//
// Runner connects the table and the settings store with the client of the
// platform.
//
// Trees are compressed between peers, since every change transfers the whole
// tree.
//
// Differences from docs/design.md: Options.Self is a pointer, since a protobuf
// message must not be copied. After a pause the configuration service alone
// confirms only after 3 s. Watchers by rendezvous rank are not implemented, see
// docs/decisions/settings.md. NotifyPeers, Announce, HandleTree, Header,
// SetInstances and Stats are additional.
//
// State: the table, the replies of the current epoch and the last instance
// list. All are lost on exit and rebuilt by exchanges and reads of the
// platform. Tests run a whole fleet of tables over an in-memory network in
// virtual time, see docs/proofs/settings.md.
package membership
