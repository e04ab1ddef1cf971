// Package measure limits the rate of the probes for backend server load and
// selects the backend servers to probe.
//
// The limit (requirement R1) is on the sum over all instances, although no
// instance knows how many others there are. Each instance therefore takes a
// fixed share, budget / instanceCeiling, and only instances with an ordinal
// below the ceiling probe. The share does not depend on a membership list, so an
// outdated list, a partition, a restart or a pause cannot raise the sum.
//
// The token bucket of an instance starts empty and holds at most one message, so
// two messages are at least one interval apart, also across a restart. The
// interval is the window of 10 s divided by the whole number of messages that
// the share allows per window. Rounding that number down makes the limit exact
// for every window; a bucket filled at the exact rate could exceed it by one
// message per instance. A share below one message per window allows none.
//
// Each message is charged MaxMessageBytes of the byte budget, because charging
// the actual size would allow one large message too many per window.
//
// A probe to another failure domain needs both budgets.
//
// Limitation: the sum is limited by the highest budget in force anywhere in the
// window as long as all instances use the same instanceCeiling. While two
// ceilings are in force at once, the sum can reach the sum of both budgets. To
// change the ceiling, publish a budget of 0 first. See
// docs/decisions/measuring-budget.md.
//
// Differences from docs/design.md: Budgets combines the two budgets of a
// service, a probe to another failure domain needs both, and the interval is
// rounded up so that a window holds a whole number of messages.
//
// Tests: budget_test.go has a rapid state machine that tries to exceed the sum,
// and the counterexample of a budget divided by a list of live instances.
package measure
