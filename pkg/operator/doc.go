// Package operator is the HTTP interface for operators of one entry.
//
// /healthz, /readyz and /metrics are open, because the platform's load balancer
// and collectors ask them. Everything below /v1/ requires the bearer credential
// of the settings file; it is compared in constant time and never logged, and a
// refused attempt is an event. All routes only read.
//
//	GET /v1/requests/ID                        what happened to a request
//	GET /v1/refusals?minutes=N                 refusals by reason, default 60
//	GET /v1/backends/SERVICE                   all backend servers of a service
//	GET /v1/backends/SERVICE/ADDRESS           why one gets little work
//	GET /v1/settings/SERVICE                   values in force with their origin
//	GET /v1/instances                          versions, confirmed by whom, members
//	GET /v1/draining                           drain marks in force
//	GET /v1/measuring                          cost of measuring against its budget
//	GET /v1/audit?after=N&limit=M              audit trail
//
// A reply is a Reply; an error is problem details as in RFC 9457 with the member
// entry. 404 means that this entry does not know what was asked for. Durations
// are nanoseconds in members that end in _ns.
//
// The entry implements View. Results are typed here so that pkg/ctl decodes
// the same types; the Describe functions fill them from the packages that own
// the state.
//
// State: none. Messages: the replies above.
//
// Tests: over a loopback socket against a View with fixed answers.
package operator
