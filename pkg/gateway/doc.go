// Package gateway serves callers. It joins the packages that decide: settings,
// quarantine, ledger, queue, routing, retry, outlier and transport.
//
// One request passes these steps, each in a file of its own: accept (request.go),
// find route, service, deadline and body (resolve.go), claim (order.go), ask
// backend servers for their load (consult.go), admission and selection
// (dispatch.go), attempts with retries and hedges (read.go, order.go), and the
// response (respond.go). Every request ends in exactly one Outcome; finish
// records it once in the audit log and once in the metrics, and tells it on the
// log stream where it did not go as planned (story.go).
//
// Where the settings tree states routes, host and path name the service, and the
// route says whether a request is idempotent; without routes the first segment of
// the path and the method do. The names of header fields are settings, so that the
// same steps serve the project's own interface and that of the users' platform.
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
