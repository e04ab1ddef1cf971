// Package events defines numbered log events.
//
// Every package declares its events as package variables with New or NewChange.
// The number of an event never changes. docs/events.md is the catalogue of all
// events; a test compares it with the registry. Number ranges: 1000 process,
// 2000 settings and platform, 2500 membership, 2700 peer, 3000 ledger,
// 4000 routing, 4200 measuring, 4400 limits, retries and outliers,
// 4600 quarantine, 5000 transport, 6000 gateway, 7000 audit and operator.
//
// Logger is the Recorder that writes an event to the log stream and, if the event
// is marked as a change, to the audit trail.
package events
