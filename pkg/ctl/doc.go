// Package ctl implements lentilpinctl, the command-line tool for operators.
//
// A query is sent to the given entries in parallel. The timeout (--timeout,
// default 3 s) applies to each entry separately. An entry that does not reply in
// time, refuses the credential or sends an invalid reply is listed in the output
// with the reason and never omitted, because a missing entry would look like an
// entry without results.
//
// Exit codes (package buildinfo) are the same for the same outcome of every
// command:
//
//	0  every queried entry replied (check: the tree is valid)
//	1  no entry replied, or a file could not be read
//	2  invalid flags, settings or credential file; check, diff: a tree is not valid
//	4  some entries replied, others did not
//	5  every entry replied, and none knows the requested object
//
// The credential comes from --credential-file, the environment variable
// LENTILPINCTL_CREDENTIAL or the settings file, in this order. It is never an
// command-line argument, because other users of the machine can read those.
//
// check and diff only read files and query no entry.
//
// Output is text, or with --json one object: command, complete, replies with
// entry, instance, status and result, and for check and diff their results.
//
// State: none. Messages: those of package operator.
//
// Tests: against operator handlers over loopback sockets and a server that does
// not reply.
package ctl
