// Command standin-platform is a stand-in for the configuration service and the
// instance list, for tests and the demo only.
package main

import (
	"context"
	"encoding/json"
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
	"lentilpin/standin/loopback"
	"lentilpin/standin/platform"
)

// shutdownTimeout is how long reads in flight may take to finish at shutdown. The
// connections of long polls that are still waiting are closed after it.
const shutdownTimeout = time.Second

type flags struct {
	readAddress, adminAddress string
	treeFile, instancesFile   string
	lagMS                     int
}

func main() {
	f := flags{readAddress: "127.0.0.1:7000", adminAddress: "127.0.0.1:7001"}
	flaggy.SetName("standin-platform")
	flaggy.SetDescription("stand-in for the configuration service and the instance list (tests and demo only)")
	flaggy.SetVersion(buildinfo.Version)
	flaggy.String(&f.readAddress, "", "read", "address of the read side")
	flaggy.String(&f.adminAddress, "", "admin", "address of the admin side")
	flaggy.String(&f.treeFile, "", "tree", "file with the first tree (JSON)")
	flaggy.String(&f.instancesFile, "", "instances", "file with the first instance list (JSON array)")
	flaggy.Int(&f.lagMS, "", "lag-ms", "delay until readers see a change of the instance list")
	flaggy.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, f); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(buildinfo.ExitFailure)
	}
}

// run loads the files and serves the read and admin APIs until ctx ends.
func run(ctx context.Context, f flags) error {
	s := platform.New(time.Duration(f.lagMS) * time.Millisecond)
	if err := loadFiles(s, f); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	serve := func(address string, h http.Handler) {
		g.Go(func() error { return listenAndServe(ctx, address, h) })
	}
	serve(f.readAddress, s.ReadHandler())
	serve(f.adminAddress, s.AdminHandler())
	return g.Wait()
}

// loadFiles publishes the tree and the instance list of the files in f, if given.
func loadFiles(s *platform.Server, f flags) error {
	if f.treeFile != "" {
		text, err := os.ReadFile(f.treeFile)
		if err != nil {
			return errors.Wrap(err, "read tree")
		}
		if err := s.Publish(text); err != nil {
			return errors.Wrap(err, "publish tree")
		}
	}
	if f.instancesFile != "" {
		text, err := os.ReadFile(f.instancesFile)
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

// listenAndServe serves h on a loopback address until ctx ends.
func listenAndServe(ctx context.Context, address string, h http.Handler) error {
	l, err := loopback.Listen(address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(shutdownCtx) != nil {
			_ = srv.Close()
		}
	}()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-stopped
	return nil
}
