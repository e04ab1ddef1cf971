// Package feed keeps an entry informed of what the platform's store holds: the
// settings tree and the registrations of backend servers.
//
// A store counts every call, and its rates grow more slowly than the fleet, so
// not every entry reads it. In each failure domain one entry, the one that comes
// first by rank (membership.Table.Readers), waits for changes at the store and
// keeps the newest ones in a log. The others wait for changes at this relay,
// which hands out its log by revision, as the store does. A relay that
// does not answer within a second, or that has lost touch with the store itself,
// is avoided for a while: the entry reads the store on its own until the one that
// ranks next has become the relay. The ranks of two entries may differ while they
// learn of each other; this costs calls and nothing else.
//
// At the first start of the whole system nobody knows of a reader, and no caller
// waits. The entries then meet first, and all but the readers take everything
// from their relay. Otherwise an entry starts with a stale read of everything, which is cheap, and then
// takes the changes since, so that what it knows is exact before it is used. A
// lost history, a lost answer or an unreachable store start it over. Where the
// store cannot be reached at the start, a relay hands out all that it knows.
//
// Registrations lapse while the store is away although the backend servers are
// alive. Where half of a service's vanish at once while calls fail, they stay
// listed for two seconds, by which time those that are alive are back.
//
// Messages: peerpb.Changes. State: the newest value of each key, the log of
// changes; both are lost on exit and read again.
//
// Tests: feed_test.go plays readers and relays against a store in virtual time
// with faults drawn at random, and compares with the store at the end.
package feed
