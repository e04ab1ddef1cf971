package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(recordPath string, hasTrouble bool) (isBroken bool, err error){
	"long-request-lines": longRequestLines,
	"long-lengths":       longLengths,
	"cold":               cold,
	"pipelined":          pipelined,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(exitNotRun)
	}
	isBroken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		os.Exit(exitNotRun)
	case isBroken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
