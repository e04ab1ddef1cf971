// Package process tests the built lentilpin-entry program: entries run as separate
// processes that the tests kill, freeze (SIGSTOP) and stop by signals. The
// stand-ins run in the test process.
package process
