package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/config/static"
	"lentilpin/pkg/events"
	"lentilpin/pkg/gateway"
	"lentilpin/pkg/peer"
	"lentilpin/pkg/peer/peerpb"
)

// Run serves on the listeners until ctx ends and then shuts down gracefully.
// The error is that of a listener.
func (e *Entry) Run(ctx context.Context, ls *Listeners) error {
	server, callers := gateway.NewServer(e.gateway, ls.Callers, e.conf.Limits)
	operators := e.operatorServer()

	// work ends after the callers are served, so that settles and handover
	// still reach the peers.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, failed := errgroup.WithContext(work)
	group.Go(func() error { return peer.Serve(work, ls.Peers, service{e: e}, e.peerOptions()) })
	group.Go(func() error { return ignoreClosed(operators.Serve(ls.Operators)) })
	group.Go(func() error { return ignoreClosed(server.Serve(callers)) })
	readiness := e.readinessServer()
	if ls.Ready != nil {
		group.Go(func() error { return ignoreClosed(readiness.Serve(ls.Ready)) })
	}
	var loops sync.WaitGroup
	loops.Go(func() { e.runner.Run(work) })
	loops.Go(func() { e.gateway.Run(work) })
	loops.Go(func() { e.followReadiness(work) })
	loops.Go(func() { e.reportGauges(work) })
	e.rec.Record(EventStarted, events.F("instance", e.conf.Instance), events.F("callers", e.conf.Listen.Callers),
		events.F("peers", e.conf.Listen.Peers), events.F("operators", e.conf.Listen.Operators))

	select {
	case <-ctx.Done():
	case <-failed.Done():
	}
	e.shutdown(server)
	_ = operators.Close()
	_ = readiness.Close()
	stop()
	err := group.Wait()
	loops.Wait()
	e.gateway.Close()
	e.platform.Close()
	err = errors.Join(err, e.client.Close(), e.metrics.Close())
	e.rec.Record(EventStopped, events.F("instance", e.conf.Instance))
	return err
}

// followReadiness tells the peers when this entry becomes ready or stops being
// ready.
func (e *Entry) followReadiness(ctx context.Context) {
	tick := time.NewTicker(clock.DefaultPauseTick)
	defer tick.Stop()
	was := peerpb.Phase_PHASE_STARTING
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		phase := peerpb.Phase_PHASE_STARTING
		if ok, _ := e.ready(); ok {
			phase = peerpb.Phase_PHASE_READY
		}
		if phase != was && !e.leaving.Load() {
			e.table.SetPhase(phase)
			was = phase
		}
	}
}

// Listeners are the open listeners of an entry. Run closes them.
type Listeners struct {
	Callers, Peers, Operators net.Listener
	Ready                     net.Listener // nil: none
}

// Listen opens the listeners of the settings file. The error names the address
// that could not be opened.
func Listen(ctx context.Context, l static.Listen) (*Listeners, error) {
	var out Listeners
	var lc net.ListenConfig
	for _, one := range []struct {
		address string
		into    *net.Listener
	}{{l.Callers, &out.Callers}, {l.Peers, &out.Peers}, {l.Operators, &out.Operators}, {l.Ready, &out.Ready}} {
		if one.address == "" {
			continue
		}
		ln, err := lc.Listen(ctx, "tcp", one.address)
		if err != nil {
			out.close()
			return nil, errors.Wrapf(err, "listen on %s", one.address)
		}
		*one.into = ln
	}
	return &out, nil
}

func (l *Listeners) close() {
	for _, ln := range []net.Listener{l.Callers, l.Peers, l.Operators, l.Ready} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
