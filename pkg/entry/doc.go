// Package entry assembles one entry: it starts the listeners for callers,
// peers and operators, ties settings, membership, ledger and gateway together,
// and shuts them down in an order that cuts off no request in flight.
//
// A graceful shutdown takes these steps:
//
//  1. readiness is false and peers are told that the entry is leaving, while
//     callers are still served for shutdown.drainMs, because the platform's
//     balancer learns of it late;
//  2. the caller listener closes and requests in flight end, up to
//     shutdown.graceMs;
//  3. results are settled with the owners of their keys;
//  4. the own ledger is sealed, open grants end, and it is handed over to one
//     peer, whose address is announced as the successor;
//  5. the peer and operator listeners close.
package entry
