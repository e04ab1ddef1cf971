// Package server holds what one instance knows about the backend servers of a
// service, in a form that selection policies read without locks.
//
// A Server has atomic counters for the attempts of this instance and for the
// last load report. A List is one immutable version of the set of backend
// servers: those of the own failure domain come first, so that a policy draws
// from either part by index. A bitmap marks the backend servers that may take
// work, which makes the rare case that random draws find none a scan of one
// word per 64 backend servers.
//
// The package is separate from routing because the policies import it and
// routing imports the policies.
package server
