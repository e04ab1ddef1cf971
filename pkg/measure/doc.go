// Package measure bounds and directs the probes of backend server load.
//
// The bound (requirement R1) is on the sum over all instances, yet no instance
// knows how many others there are. Each instance therefore takes a fixed share,
// budget / instanceCeiling, and only instances with an ordinal below the
// ceiling probe. No list is read, so a list that lags, a partition, a restart
// or a pause cannot raise the sum.
//
// The bucket of an instance starts empty and holds at most one message, so two
// messages are at least one interval apart, also across a restart. The interval
// is the window of 10 s divided by the whole number of messages that the share
// allows in a window. Rounding down makes the bound exact for every window,
// where a bucket filled at the plain rate could exceed it by one message per
// instance. A share below one message per window allows none.
//
// Each message is charged MaxMessageBytes of the byte budget, because charging
// the real size would allow one large message too many per window.
//
// A probe that leaves the failure domain needs both budgets.
//
// Limit: the sum is bounded by the highest budget in force anywhere in the
// window as long as all instances use the same instanceCeiling. While two
// ceilings are in force at once, the sum can reach the sum of both budgets. To
// change the ceiling, publish a budget of 0 first. docs/decisions/
// measuring-budget.md has the details.
//
// Differences from the design page: Budgets joins the two budgets of a service,
// a probe across failure domains needs both, and the interval is rounded up to
// whole messages per window.
//
// Tests: budget_test.go has a rapid state machine that tries to exceed the sum,
// and the counterexample of a budget divided by a list of live instances.
package measure
