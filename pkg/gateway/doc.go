// Package gateway implements the request path between callers and backend
// servers. It combines the packages settings, quarantine, ledger, limit,
// routing, retry, outlier and transport.
//
// A request passes these steps, each in a file of its own: acceptance
// (request.go); resolution of route, service, deadline and body (resolve.go);
// claim of the idempotency key (non_idempotent.go); load queries to backend
// servers (load_query.go); admission and selection (dispatch.go); attempts with
// retries and hedges (idempotent.go, non_idempotent.go); and the response
// (respond.go). Every request ends in exactly one audit.Outcome. finishRequest
// records it once in the audit log and once in the metrics. Requests that did
// not complete normally, and a sample of the others, are also written to the
// log stream (request_log.go).
//
// If the settings tree defines routes, host and path select the service, and
// the route states whether a request is idempotent. Without routes, the first
// path segment selects the service and the method decides whether a request is
// idempotent. The names of header fields are settings, so that the same steps
// serve the project's own interface and that of the users' platform.
//
// What is held for callers that do not finish a request or do not read a response is
// bounded in sum (caller_limits.go, slow_reader.go).
//
// The same rule decides everywhere between a retry and a refusal: an idempotent
// request may be sent again within the retry budget; any other request may be
// sent to a second backend server only if the first one is proven not to have
// run it.
//
// An instance that reaches no backend server of a service hands the requests of that
// service to a peer (handoff.go), which serves them like those of its own callers but
// never hands them on (handoff_server.go). Package reach decides when (reach.go).
//
// An instance that stops refuses requests that may outlive it and asks callers to close
// their connections (drain.go); package drain closes them.
//
// The state of a service (backend servers, limits, ejections, budgets) is kept
// in a service value that persists across settings versions, so that a settings
// change does not discard what was learned about the backend servers.
package gateway
