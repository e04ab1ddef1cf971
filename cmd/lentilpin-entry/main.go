// Command lentilpin-entry is the entry gateway.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"lentilpin/pkg/buildinfo"
	"lentilpin/pkg/config/static"
)

func main() {
	var path string
	var checkOnly bool
	flaggy.SetName("lentilpin-entry")
	flaggy.SetDescription("entry gateway: serves callers and dispatches to backend servers")
	flaggy.SetVersion(buildinfo.Version)
	flaggy.String(&path, "s", "settings", "settings file (JSON)")
	flaggy.Bool(&checkOnly, "", "check", "check the settings file and exit")
	flaggy.Parse()

	if _, err := static.Load(path); err != nil {
		fmt.Fprintln(os.Stderr, "lentilpin-entry:", err)
		os.Exit(buildinfo.ExitUsage)
	}
	if checkOnly {
		return
	}
}
