// Package dynamic holds the settings tree that operators publish.
//
// The tree has three levels: fleet, region and service. A node states only
// what differs from its parent: objects are merged member by member, any other
// value replaces the inherited one. The fleet inherits from the built-in
// defaults. Parse validates the text against a JSON schema and resolves every
// service once, so that a request only follows a pointer to its settings. Each
// value of a resolved service records its origin, the node that states it.
//
// Most versions change little, and adopting one must not stall a small instance.
// ParseAfter therefore reuses the services and routes of the previous tree whose text
// is unchanged (outline.go), and decodes routes in the usual form without the check of
// the schema (route_decoder.go).
//
// A tree that fails validation is refused as a whole: the error names the path
// in the tree, the value and the rule, and the current settings stay in force.
package dynamic
