// Package operator implements the HTTP interface of one entry for operators.
//
// /healthz, /readyz and /metrics need no credential, because the platform's load
// balancer and metrics collectors poll them. All routes below /v1/ require the
// bearer credential of the settings file. It is compared in constant time and
// never logged; an event reports requests without it. All routes are read-only.
//
//	GET /v1/requests/ID                        what happened to a request
//	GET /v1/refusals?minutes=N                 refusals by reason, default 60
//	GET /v1/backends/SERVICE                   all backend servers of a service
//	GET /v1/backends/SERVICE/ADDRESS           one backend server, with the reasons for few requests
//	GET /v1/settings/SERVICE                   settings in force with the origin of each value
//	GET /v1/instances                          settings version, its confirmation, members
//	GET /v1/draining                           drain marks in force
//	GET /v1/measuring                          load probes and their budgets
//	GET /v1/hedges                             hedges and their budgets
//	GET /v1/audit?after=N&limit=M              audit trail
//
// The body of a successful response is a Reply. The body of an error is a Problem:
// problem details as in RFC 9457 with the additional member entry. Status 404 with
// the type ProblemUnknown means that this entry does not know the requested object.
// Members that end in _ns are durations in nanoseconds.
//
// The entry implements View. The result types are defined here so that pkg/ctl
// decodes the same types; the Describe functions build them from the packages that
// own the state.
//
// State: none. Messages: the responses above.
//
// Tests: over a loopback socket against a View with fixed results.
package operator
