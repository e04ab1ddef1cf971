// Package server holds what one instance knows about the backend servers of a
// service, in a form that selection policies read without locks.
//
// A Server has atomic counters for the attempts of this instance and for the
// last load report. A List is one immutable version of the list of backend
// servers. Those of the instance's own failure domain come first, so that a
// policy can draw from either part by index. A bitmap marks the usable backend
// servers. If random draws find no usable one, which is rare, a scan of the
// bitmap reads one word per 64 backend servers.
//
// Parameters named now are the time since an origin that is the same for all
// calls.
//
// The package is separate from package routing because the policies import it
// and package routing imports the policies.
package server
