// Package feed watches the platform's key-value store and keeps an entry up to
// date on the settings tree and the registrations of backend servers.
//
// The store accounts for every call, and the rates that it permits grow more
// slowly than the fleet, so not every entry reads it. In each failure domain one
// entry, the reader, long-polls the store and keeps the most recent changes in a
// log. The reader is the first by rank (membership.Table.Readers). The other
// entries use it as a relay: they long-poll it, and it serves its log by
// revision, as the store does. A relay that does not answer within a second, or
// has lost contact with the store itself, is not used for some time: the entry
// reads the store itself until the entry next in rank has become the relay. Two
// entries may rank their peers differently while they discover each other; this
// costs calls and nothing else.
//
// Registrations must take effect within a bound that does not depend on the size
// of the settings tree. A relay therefore announces the version of a large tree
// instead of sending it to all its peers. The exchange between entries
// (membership) delivers the tree; if it does not do so in time, the entry reads the
// tree from the store. Trees are decoded in the background, of several in one reply only
// the newest, while changes of registrations are applied and served to peers. The
// positions of both therefore differ: a relay states up to which position it knows and
// has decoded the trees. While the tree is large, an entry whose relay fails first polls
// the store for registrations only, because all peers of the relay do so at once.
//
// At the first start of the whole system no entry knows a reader yet, and no
// caller is waiting. The entries then discover each other first, and all but the
// readers load everything from their relay. Otherwise an entry reads the store, page by
// page. The first page is current and holds the settings tree; the others are stale, which
// is cheap, and followed by the changes since, which make the state exact. With the tree
// and pages from two random places the entry already serves: when a large fleet starts at
// once, all pages of all entries take longer over the store's link than callers wait. Until
// the state is exact, a request may be sent to a backend server that has left; the identity
// that each request states keeps others from running it. The rest comes from a relay, which
// may be starting too, or after two seconds from the store. A relay sends the full state compressed (package entry); at the
// first start the entries request it one after another. An entry starts over after a lost history, a lost
// answer or a failed call to the store. If the store is unreachable at the start,
// a relay serves its last known state.
//
// Registrations expire during an outage of the store although the backend servers
// are alive. If more than half of a service's registrations vanish at once while
// calls to the store fail, the backend servers stay listed for two seconds; those
// that are alive have registered again by then.
//
// The store may be restored from an older copy. It then begins a new era and gives out
// revisions again, so that a poll that went on from a revision would miss what was
// written between. A Position therefore states the era of its revision. An entry that
// notices a new era, by the reply to a poll or to a ping, reads everything again; a
// relay serves changes of its own era only. The settings tree in force stays, because
// versions never go back. A backend server that had left before, and that the copy
// still lists, is not used for three heartbeat intervals unless it registers again.
//
// Evacuated failure domains are keys like others. A poll that is held up, by a large tree or
// the values of other writers, must not delay them beyond the time in which an evacuation
// must take effect: an entry without a complete poll for half of that time reads their keys
// apart, and a relay passes them on ahead of its log. An entry knows them before it publishes
// the first list. No older state ends an evacuation; one that a restored store lacks stays in
// force for a minute.
//
// Messages: peerpb.Changes. State: the newest value of each key and the log of
// changes; both are lost on exit and read again at the start.
//
// Tests: feed_test.go runs readers and relays against a fake store in virtual
// time with random faults, and compares the entries with the store at the end;
// bandwidth_test.go limits the bandwidth of the entries.
package feed
