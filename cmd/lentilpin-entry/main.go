// Command lentilpin-entry is the entry gateway.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/buildinfo"
	"lentilpin/pkg/config/static"
	"lentilpin/pkg/entry"
	"lentilpin/pkg/events"
	"lentilpin/platform"
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

	conf, connect, err := load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilpin-entry:", err)
		os.Exit(buildinfo.ExitUsage)
	}
	if checkOnly {
		return
	}
	if err := run(conf, connect); err != nil {
		fmt.Fprintln(os.Stderr, "lentilpin-entry:", err)
		os.Exit(buildinfo.ExitFailure)
	}
}

// load reads the settings file at path or, without one, the file that the users'
// platform has prepared. connect is nil for the configuration service that the
// settings name.
func load(path string) (conf *static.Settings, connect func(events.Recorder) entry.Platform, err error) {
	if path != "" {
		conf, err = static.Load(path)
		return conf, nil, err
	}
	prepared := platform.SettingsPath()
	if prepared == "" {
		return nil, nil, errors.New("no settings file given; use --settings FILE")
	}
	s, err := platform.LoadSettings(prepared)
	if err != nil {
		return nil, nil, err
	}
	return s.Entry, func(rec events.Recorder) entry.Platform { return platform.NewClient(s, rec) }, nil
}

// run serves until the first signal asks for a graceful shutdown. The second
// signal ends the process at once.
func run(conf *static.Settings, connect func(events.Recorder) entry.Platform) error {
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
	signal.Ignore(syscall.SIGHUP)
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
	if connect != nil {
		return entry.NewOn(conf, log, connect).Run(ctx, listeners)
	}
	return entry.New(conf, log).Run(ctx, listeners)
}
