// Package ctl is the logic of lentilpinctl, the operator command.
//
// A question goes to one entry or to all of them at once. Each entry has the
// same time (--timeout, default 3 s); one that does not answer in time, refuses
// the credential or answers something unreadable is named in the output with the
// reason, and never left out, because an answer that lacks instances looks like
// an answer that has none.
//
// Exit codes (package buildinfo) are the same for the same outcome of every
// command:
//
//	0  answered by every entry asked (check: the tree is valid)
//	1  no entry answered, or a file could not be read
//	2  wrong flags, settings or credential file; check, diff: a tree is not valid
//	4  some entries answered, others did not
//	5  every entry answered, and none knows what was asked for
//
// The credential comes from --credential-file, the environment variable
// LENTILPINCTL_CREDENTIAL or the settings file, in this order. It is never an
// argument, because other users of the machine can read arguments.
//
// check and diff work on files alone and ask nobody.
//
// Output is text, or with --json one object: command, complete, replies with
// entry, instance, status and result, and for check and diff their results.
//
// State: none. Messages: those of package operator.
//
// Tests: against operator handlers over loopback sockets, one of them silent.
package ctl
