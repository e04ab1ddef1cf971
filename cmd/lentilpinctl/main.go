// Command lentilpinctl is the command-line client of the operator interface.
package main

import (
	"context"
	"fmt"
	"os"

	"lentilpin/pkg/buildinfo"
	"lentilpin/pkg/ctl"
)

func main() {
	options, err := ctl.ParseArgs(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilpinctl:", err)
		os.Exit(buildinfo.ExitUsage)
	}
	os.Exit(ctl.Run(context.Background(), options, os.Stdout))
}
