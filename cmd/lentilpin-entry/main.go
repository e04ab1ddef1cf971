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

	e, listen, err := assemble(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilpin-entry:", err)
		os.Exit(buildinfo.ExitUsage)
	}
	if checkOnly {
		return
	}
	if err := run(e, listen); err != nil {
		fmt.Fprintln(os.Stderr, "lentilpin-entry:", err)
		os.Exit(buildinfo.ExitFailure)
	}
}

// assemble makes the entry that the settings file at path describes or, without
// one, the file that the users' platform has prepared.
func assemble(path string) (*entry.Entry, static.Listen, error) {
	if path != "" {
		conf, err := static.Load(path)
		if err != nil {
			return nil, static.Listen{}, err
		}
		log, err := logger(conf)
		if err != nil {
			return nil, static.Listen{}, err
		}
		return entry.New(conf, log), conf.Listen, nil
	}
	prepared := platform.SettingsPath()
	if prepared == "" {
		return nil, static.Listen{}, errors.New("no settings file given; use --settings FILE")
	}
	s, err := platform.LoadSettings(prepared)
	if err != nil {
		return nil, static.Listen{}, err
	}
	log, err := logger(s.Entry)
	if err != nil {
		return nil, static.Listen{}, err
	}
	return entry.NewOn(s.Entry, log, platform.NewClient(s), platform.Translator{Regions: s.Regions}), s.Entry.Listen, nil
}

// logger returns the logger that the settings ask for.
func logger(conf *static.Settings) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(conf.LogLevel)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{})
	return log, nil
}

// run serves until the first signal asks for a graceful shutdown. The second
// signal ends the process at once.
func run(e *entry.Entry, listen static.Listen) error {
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
	listeners, err := entry.Listen(ctx, listen)
	if err != nil {
		return err
	}
	return e.Run(ctx, listeners)
}
