// Package admission decides, by the rank of a request, up to which load of a backend
// server the request may be placed there, how long it may wait for that, and when its
// caller is told to come back.
//
// The load that it handles: a service whose requests need more than its backend servers
// can do for some seconds, because one kind of request arrives at up to 2.6 times its
// usual rate, at up to 214 entries that each see about one request per second of the
// service. Without ranks, whoever comes first gets a slot, and less urgent work makes
// urgent work late.
//
// Ranks holds the distinct priorities of the routes that lead to a service; rank 0 is the
// most urgent. Controller returns the headroom of a rank: the share of a backend server's
// range of load, from idle to the highest load at which any request is placed, that the
// rank leaves to more urgent ones. It grows with the part of the slots that more urgent
// work occupies. In an overload the load of the backend servers settles where the rank
// that does not fit is refused, and more urgent requests find the headroom free. All
// entries read the same load, so that they decide alike without messages.
//
// No rank starves: where the admitted share of a rank falls far below the mean share of
// all ranks, its headroom shrinks, and it has full access before its share is as low as a
// quarter of the mean (aging). The queue orders its waiters by the aged rank.
//
// NewWait bounds the wait by the target latency: a response after it has lost most of its
// worth, and so has a refusal after an eighth of it. RetryAfter spreads callers over the
// time in which their repetition is still useful.
//
// State: decayed counts for each rank, local to the instance, lost at process exit.
// Messages: none. The package does no I/O; the calling code passes the time in.
package admission
