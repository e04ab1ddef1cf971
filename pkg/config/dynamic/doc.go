// Package dynamic holds the settings tree that operators publish.
//
// The tree has three levels: fleet, region and service. A node states only
// what differs from its parent; objects are merged member by member, any other
// value replaces the inherited one. The built-in defaults stand above the
// fleet. Parse checks the text against a JSON schema and resolves every
// service once, so that a request only follows a pointer. Each value of a
// resolved service knows the node that it comes from.
//
// A tree that fails the check is refused as a whole: the error names the path
// in the tree, the value and the rule, and the settings in force stay.
package dynamic
