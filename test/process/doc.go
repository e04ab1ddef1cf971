// Package process holds tests of the built programs: entries as processes of
// their own that are killed, frozen and stopped by signals. The stand-ins run
// in the test's process.
package process
