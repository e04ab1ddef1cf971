// Command standin-backend stands in for backend servers, for tests and the demo
// only. One process serves any number of them.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"

	"lentilpin/pkg/buildinfo"
	"lentilpin/standin/backend"
)

// graceTime is given to requests in flight on SIGTERM.
const graceTime = 5 * time.Second

type flags struct {
	listen []string
	file   string
	admin  string
	common backend.Config
}

func main() {
	f := flags{common: backend.Defaults()}
	c := &f.common
	flaggy.SetName("standin-backend")
	flaggy.SetDescription("stand-in for backend servers (tests and demo only)")
	flaggy.SetVersion(buildinfo.Version)
	flaggy.StringSlice(&f.listen, "l", "listen", "loopback address of one backend server; may be repeated")
	flaggy.String(&f.file, "f", "file", `JSON file: {"backends": [{"name", "listen", "slots", ...}]}`)
	flaggy.String(&f.admin, "a", "admin", "loopback address of the admin listener")
	flaggy.Int(&c.Slots, "", "slots", "concurrent requests")
	flaggy.Int(&c.Queue, "", "queue", "waiting requests; -1 for none")
	flaggy.String(&c.ServiceTime, "", "service-time", "const:MS, uniform:LOW:HIGH, exp:MEAN, lognormal:MEDIAN:SIGMA")
	flaggy.UInt64(&c.Seed, "", "seed", "seed of the service time of the first server; the next ones count up")
	flaggy.Int(&c.BodyBytes, "", "body-bytes", "content of a response")
	flaggy.Int(&c.ColdMS, "", "cold-ms", "slower for this long after the start")
	flaggy.Float64(&c.ColdFactor, "", "cold-factor", "times the service time while cold")
	flaggy.Int(&c.MaxConnections, "", "max-connections", "more connections are closed at once")
	flaggy.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	configs, err := f.configs()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-backend:", err)
		os.Exit(buildinfo.ExitUsage)
	}
	if err := run(ctx, configs, f.admin); err != nil {
		fmt.Fprintln(os.Stderr, "standin-backend:", err)
		os.Exit(buildinfo.ExitFailure)
	}
}

func (f *flags) configs() ([]backend.Config, error) {
	var all []backend.Config
	if f.file != "" {
		var err error
		if all, err = backend.LoadConfigs(f.file); err != nil {
			return nil, err
		}
	}
	for i, address := range f.listen {
		c := f.common
		c.Listen, c.Seed = address, f.common.Seed+uint64(i)
		all = append(all, c)
	}
	if len(all) == 0 {
		return nil, errors.New("no backend server: give --listen or --file")
	}
	return all, nil
}

func run(ctx context.Context, configs []backend.Config, admin string) error {
	var servers []*backend.Server
	defer func() { shutdown(servers) }()
	for _, c := range configs {
		s, err := backend.Start(c)
		if err != nil {
			return errors.Wrapf(err, "start %s", c.Listen)
		}
		servers = append(servers, s)
		fmt.Printf("%s %s\n", s.Name(), s.Address())
	}
	if admin == "" {
		<-ctx.Done()
		return nil
	}
	return serveAdmin(ctx, admin, servers)
}

func serveAdmin(ctx context.Context, address string, servers []*backend.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if !l.Addr().(*net.TCPAddr).IP.IsLoopback() {
		_ = l.Close()
		return errors.Errorf("%q is not a loopback address", address)
	}
	fmt.Printf("admin %s\n", l.Addr())
	srv := &http.Server{Handler: backend.AdminHandler(servers), ReadHeaderTimeout: graceTime}
	defer context.AfterFunc(ctx, func() { _ = srv.Close() })()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// shutdown lets all of them finish at the same time.
func shutdown(servers []*backend.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), graceTime)
	defer cancel()
	var g errgroup.Group
	for _, s := range servers {
		g.Go(func() error { return s.Shutdown(ctx) })
	}
	if err := g.Wait(); err != nil {
		fmt.Fprintln(os.Stderr, "standin-backend: requests were cut off:", err)
	}
}
