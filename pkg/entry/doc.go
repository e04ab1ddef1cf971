// Package entry assembles one entry process: it opens the listeners for callers,
// peers, requests that peers hand on and operators, wires settings, membership,
// ledger and gateway together, and shuts them down in an order that lets requests
// in flight finish.
//
// A graceful shutdown has these steps:
//
//  1. the readiness check fails and peers are told that the entry is leaving;
//     callers are still served for shutdown.drainMs, because the platform's
//     load balancer notices the failing check with a delay;
//  2. the listeners for callers and for requests of peers close and requests in
//     flight finish, within shutdown.graceMs;
//  3. results are settled with the owners of their idempotency keys;
//  4. if shutdown.handOver is set, this entry's ledger is sealed; once open
//     grants are settled or expired it is handed over to one peer, whose address
//     is announced as the successor;
//  5. the peer and operator listeners close.
package entry
