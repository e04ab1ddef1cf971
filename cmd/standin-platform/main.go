// Command standin-platform stands in for the configuration service and the
// instance list, for tests and the demo only.
package main

import (
	"context"
	"encoding/json"
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
	"lentilpin/standin/platform"
)

// shutdownTime is given to reads in flight; pending watches are cut after it.
const shutdownTime = time.Second

type flags struct {
	read, admin     string
	tree, instances string
	lagMS           int
}

func main() {
	f := flags{read: "127.0.0.1:7000", admin: "127.0.0.1:7001"}
	flaggy.SetName("standin-platform")
	flaggy.SetDescription("stand-in for the configuration service and the instance list (tests and demo only)")
	flaggy.SetVersion(buildinfo.Version)
	flaggy.String(&f.read, "", "read", "address of the read side")
	flaggy.String(&f.admin, "", "admin", "address of the admin side")
	flaggy.String(&f.tree, "", "tree", "file with the first tree (JSON)")
	flaggy.String(&f.instances, "", "instances", "file with the first instance list (JSON array)")
	flaggy.Int(&f.lagMS, "", "lag-ms", "delay until readers see a change of the instance list")
	flaggy.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, f); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(buildinfo.ExitFailure)
	}
}

func run(ctx context.Context, f flags) error {
	s := platform.New(time.Duration(f.lagMS) * time.Millisecond)
	if err := load(s, f); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	serve := func(address string, h http.Handler) {
		g.Go(func() error { return listen(ctx, address, h) })
	}
	serve(f.read, s.Reader())
	serve(f.admin, s.Admin())
	return g.Wait()
}

func load(s *platform.Server, f flags) error {
	if f.tree != "" {
		text, err := os.ReadFile(f.tree)
		if err != nil {
			return errors.Wrap(err, "read tree")
		}
		if err := s.Publish(text); err != nil {
			return errors.Wrap(err, "publish tree")
		}
	}
	if f.instances != "" {
		text, err := os.ReadFile(f.instances)
		if err != nil {
			return errors.Wrap(err, "read instances")
		}
		var list []platform.Instance
		if err := json.Unmarshal(text, &list); err != nil {
			return errors.Wrap(err, "parse instances")
		}
		s.SetInstances(list)
	}
	return nil
}

func listen(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if ip := l.Addr().(*net.TCPAddr).IP; !ip.IsLoopback() {
		_ = l.Close()
		return errors.Errorf("%s is not a loopback address", address)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTime)
		defer cancel()
		if srv.Shutdown(end) != nil {
			_ = srv.Close()
		}
	}()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-stopped
	return nil
}
