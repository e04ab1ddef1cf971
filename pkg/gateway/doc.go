// Package gateway serves callers. It joins the packages that decide: settings,
// quarantine, ledger, queue, routing, retry, outlier and transport.
//
// One request passes these steps, each in a file of its own: accept and
// resolve (request.go), claim (order.go), admission and selection
// (dispatch.go), attempts with retries and hedges (read.go, order.go), and the
// response (respond.go). Every request ends in exactly one Outcome; finish
// records it once in the audit log and once in the metrics.
//
// The rule that decides between retry and refusal is the same everywhere: an
// idempotent request may be sent again under the retry budget; any other
// request may be sent to a second backend server only if the first is proven
// not to have run it.
//
// The state of a service (backend servers, limits, ejections, budgets) lives in
// a service value that outlasts settings versions, so that a change of settings
// does not forget what was learned about the backend servers.
package gateway
