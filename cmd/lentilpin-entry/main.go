// Command lentilpin-entry is the entry gateway, which serves callers and
// dispatches their requests to backend servers.
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

	p, err := loadProgram(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilpin-entry:", err)
		os.Exit(buildinfo.ExitUsage)
	}
	if checkOnly {
		p.printUnknownMembers()
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

// program holds the settings of an entry that is to run.
type program struct {
	path             string
	settings         *static.Settings
	platformSettings *platform.Settings // nil unless the entry runs on the users' platform
}

// loadProgram reads the settings file at path or, if path is empty, the settings
// file that the users' platform has prepared.
func loadProgram(path string) (*program, error) {
	if path != "" {
		settings, err := static.Load(path)
		return &program{path: path, settings: settings}, err
	}
	path = platform.SettingsPath()
	if path == "" {
		return nil, errors.New("no settings file given; use --settings FILE")
	}
	platformSettings, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	return &program{path: path, settings: platformSettings.Entry, platformSettings: platformSettings}, nil
}

// printUnknownMembers prints the members of a settings file of the users' platform
// that are unknown and therefore not used.
func (p *program) printUnknownMembers() {
	if p.platformSettings == nil || len(p.platformSettings.UnknownMembers) == 0 {
		return
	}
	fmt.Printf("%d members of %s are not used: %s\n", len(p.platformSettings.UnknownMembers), p.path, strings.Join(p.platformSettings.UnknownMembers, " "))
}

// setOperatorsPort changes the port of the operators' listener and keeps its host.
func (p *program) setOperatorsPort(port int) {
	if host, _, err := net.SplitHostPort(p.settings.Listen.Operators); err == nil {
		p.settings.Listen.Operators = net.JoinHostPort(host, strconv.Itoa(port))
	}
}

// reload reads the changed settings file at path.
func (p *program) reload(path string) (*static.Settings, error) {
	if p.platformSettings == nil {
		return static.Load(path)
	}
	platformSettings, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	return platformSettings.Entry, nil
}

// memoryLimitRatio is the share of the instance's memory for what the runtime manages; the
// rest is for the program itself and for what the kernel counts to the process.
const memoryLimitRatio = 0.85

// run serves until the first SIGTERM or SIGINT, which starts a graceful shutdown. A
// further SIGINT ends the process at once with buildinfo.ExitAborted. A further SIGTERM
// has no effect: supervisors repeat it, and requests in progress would be cut off.
func (p *program) run() error {
	level, err := logrus.ParseLevel(p.settings.LogLevel)
	if err != nil {
		return err
	}
	logWriter := events.NewWriter(os.Stdout)
	defer logWriter.Close()
	log := logrus.New()
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(logWriter)

	debug.SetGCPercent(p.settings.Limits.GCPercent)
	if n := p.settings.Limits.MemoryBytes; n > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(n)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)

	listeners, err := entry.Listen(ctx, p.settings.Listen)
	if err != nil {
		return err
	}
	var e *entry.Entry
	if p.platformSettings == nil {
		e = entry.New(p.settings, log)
	} else {
		e = entry.NewWithStore(p.settings, log, platform.NewClient(p.platformSettings), platform.NewTranslator(p.platformSettings.Deployment))
	}
	go func() {
		<-signals
		cancel()
		for s := range signals {
			if s == os.Interrupt {
				os.Exit(buildinfo.ExitAborted)
			}
			e.RecordRepeatedStop()
		}
	}()
	go e.WatchSettingsFile(ctx, p.path, p.reload, hangups)
	go e.ReportDroppedLogLines(ctx, logWriter.Dropped)
	return e.Run(ctx, listeners)
}
