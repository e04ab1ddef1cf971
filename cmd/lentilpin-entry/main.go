// Command lentilpin-entry is the entry gateway.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
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
	var operatorsPort int
	flaggy.SetName("lentilpin-entry")
	flaggy.SetDescription("entry gateway: serves callers and dispatches to backend servers")
	flaggy.SetVersion(buildinfo.Version)
	flaggy.String(&path, "s", "settings", "settings file (JSON); without it the one that the platform has prepared")
	flaggy.Bool(&checkOnly, "", "check", "check the settings file and exit")
	flaggy.Int(&operatorsPort, "", "operators-port", "port of the operators' listener with the metrics, in place of the one in the settings")
	flaggy.Parse()

	p, err := load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilpin-entry:", err)
		os.Exit(buildinfo.ExitUsage)
	}
	if checkOnly {
		p.report()
		return
	}
	if operatorsPort > 0 {
		p.setOperatorsPort(operatorsPort)
	}
	if err := p.run(); err != nil {
		fmt.Fprintln(os.Stderr, "lentilpin-entry:", err)
		os.Exit(buildinfo.ExitFailure)
	}
}

// program is one entry before it runs.
type program struct {
	path string
	conf *static.Settings
	on   *platform.Settings // nil where the entry does not run on the users' platform
}

// load reads the settings file at path or, without one, the file that the users'
// platform has prepared.
func load(path string) (*program, error) {
	if path != "" {
		conf, err := static.Load(path)
		return &program{path: path, conf: conf}, err
	}
	path = platform.SettingsPath()
	if path == "" {
		return nil, errors.New("no settings file given; use --settings FILE")
	}
	on, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	return &program{path: path, conf: on.Entry, on: on}, nil
}

// report says what a check of the settings file found besides errors.
func (p *program) report() {
	if p.on == nil || len(p.on.Unread) == 0 {
		return
	}
	fmt.Printf("%d members of %s are not used: %s\n", len(p.on.Unread), p.path, strings.Join(p.on.Unread, " "))
}

// setOperatorsPort changes the port and keeps the address.
func (p *program) setOperatorsPort(port int) {
	if host, _, err := net.SplitHostPort(p.conf.Listen.Operators); err == nil {
		p.conf.Listen.Operators = net.JoinHostPort(host, strconv.Itoa(port))
	}
}

// reload reads the settings of a file that has changed.
func (p *program) reload(path string) (*static.Settings, error) {
	if p.on == nil {
		return static.Load(path)
	}
	on, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	return on.Entry, nil
}

// run serves until the first signal asks for a graceful shutdown. The second
// signal ends the process at once.
func (p *program) run() error {
	level, err := logrus.ParseLevel(p.conf.LogLevel)
	if err != nil {
		return err
	}
	lines := events.NewWriter(os.Stdout)
	defer lines.Close()
	log := logrus.New()
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(lines)

	debug.SetGCPercent(p.conf.Limits.GCPercent)
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
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)

	listeners, err := entry.Listen(ctx, p.conf.Listen)
	if err != nil {
		return err
	}
	var e *entry.Entry
	if p.on == nil {
		e = entry.New(p.conf, log)
	} else {
		e = entry.NewOn(p.conf, log, platform.NewClient(p.on), platform.Translator{Deployment: p.on.Deployment})
	}
	go e.FollowSettings(ctx, p.path, p.reload, hangups)
	go e.ReportDropped(ctx, lines.Dropped)
	return e.Run(ctx, listeners)
}
