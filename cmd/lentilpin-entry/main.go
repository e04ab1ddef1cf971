// Command lentilpin-entry is the entry gateway.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/buildinfo"
	"lentilpin/pkg/config/static"
	"lentilpin/pkg/entry"
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

	if path == "" {
		fmt.Fprintln(os.Stderr, "lentilpin-entry: no settings file given; use --settings FILE")
		os.Exit(buildinfo.ExitUsage)
	}
	conf, err := static.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilpin-entry:", err)
		os.Exit(buildinfo.ExitUsage)
	}
	if checkOnly {
		return
	}
	if err := run(conf); err != nil {
		fmt.Fprintln(os.Stderr, "lentilpin-entry:", err)
		os.Exit(buildinfo.ExitFailure)
	}
}

// run serves until the first signal asks for a graceful shutdown. The second
// signal ends the process at once.
func run(conf *static.Settings) error {
	log := logrus.New()
	level, err := logrus.ParseLevel(conf.LogLevel)
	if err != nil {
		return err
	}
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{})

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(buildinfo.ExitAborted)
	}()
	listeners, err := entry.Listen(ctx, conf.Listen)
	if err != nil {
		return err
	}
	return entry.New(conf, log).Run(ctx, listeners)
}
