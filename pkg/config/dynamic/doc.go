// Package dynamic holds the settings tree that operators publish.
//
// The tree has three levels: fleet, region and service. A node states only
// what differs from its parent: objects are merged member by member, any other
// value replaces the inherited one. The fleet inherits from the built-in
// defaults. Parse validates the text against a JSON schema and resolves every
// service once, so that a request only follows a pointer to its settings. Each
// value of a resolved service records its origin, the node that states it.
//
// Most versions change little. ParseAfter therefore reuses the services and routes
// of the previous tree whose text is unchanged: checking all routes of a large tree
// takes so much processor time on a small instance that other work is delayed.
//
// A tree that fails validation is refused as a whole: the error names the path
// in the tree, the value and the rule, and the current settings stay in force.
package dynamic
