// Command standin-backend is a stand-in for backend servers, for tests and the
// demo only. One process can run any number of backend servers.
package main

import (
	"context"
	"fmt"
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
	"lentilpin/standin/loopback"
)

// shutdownTimeout is how long requests in flight may take to finish after SIGTERM.
// It also limits reading the header of an admin request.
const shutdownTimeout = 5 * time.Second

type flags struct {
	listenAddresses []string
	file            string
	adminAddress    string
	template        backend.Config // configuration of the servers given by listenAddresses
}

func main() {
	f := flags{template: backend.Defaults()}
	c := &f.template
	flaggy.SetName("standin-backend")
	flaggy.SetDescription("stand-in for backend servers (tests and demo only)")
	flaggy.SetVersion(buildinfo.Version)
	flaggy.StringSlice(&f.listenAddresses, "l", "listen", "loopback address of one backend server; may be repeated")
	flaggy.String(&f.file, "f", "file", `JSON file: {"backends": [{"name", "listen", "slots", ...}]}`)
	flaggy.String(&f.adminAddress, "a", "admin", "loopback address of the admin listener")
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
	if err := run(ctx, configs, f.adminAddress); err != nil {
		fmt.Fprintln(os.Stderr, "standin-backend:", err)
		os.Exit(buildinfo.ExitFailure)
	}
}

// configs returns the configurations from the file and from --listen.
func (f *flags) configs() ([]backend.Config, error) {
	var backends []backend.Config
	if f.file != "" {
		var err error
		if backends, err = backend.LoadConfigs(f.file); err != nil {
			return nil, err
		}
	}
	for i, address := range f.listenAddresses {
		c := f.template
		c.Listen, c.Seed = address, f.template.Seed+uint64(i)
		backends = append(backends, c)
	}
	if len(backends) == 0 {
		return nil, errors.New("no backend server: give --listen or --file")
	}
	return backends, nil
}

// run starts the backend servers, prints the name and address of each and serves
// until ctx ends.
func run(ctx context.Context, configs []backend.Config, adminAddress string) error {
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
	if adminAddress == "" {
		<-ctx.Done()
		return nil
	}
	return serveAdmin(ctx, adminAddress, servers)
}

// serveAdmin serves the admin handler on a loopback address until ctx ends.
func serveAdmin(ctx context.Context, address string, servers []*backend.Server) error {
	l, err := loopback.Listen(address)
	if err != nil {
		return err
	}
	fmt.Printf("admin %s\n", l.Addr())
	srv := &http.Server{Handler: backend.AdminHandler(servers), ReadHeaderTimeout: shutdownTimeout}
	defer context.AfterFunc(ctx, func() { _ = srv.Close() })()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// shutdown stops all servers concurrently and waits for their requests in flight.
func shutdown(servers []*backend.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var g errgroup.Group
	for _, s := range servers {
		g.Go(func() error { return s.Shutdown(ctx) })
	}
	if err := g.Wait(); err != nil {
		fmt.Fprintln(os.Stderr, "standin-backend: requests were cut off:", err)
	}
}
