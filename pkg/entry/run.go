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
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/config/static"
	"lentilpin/pkg/drain"
	"lentilpin/pkg/events"
	"lentilpin/pkg/gateway"
	"lentilpin/pkg/peer"
	"lentilpin/pkg/peer/peerpb"
)

// Run serves on the listeners until ctx ends or a listener fails, and then
// shuts down gracefully. It returns the errors of the listeners and of closing
// the peer client and the metrics.
func (e *Entry) Run(ctx context.Context, listeners *Listeners) error {
	callerSrv := gateway.NewServer(e.gateway, listeners.Callers, e.conf.Limits)
	operatorSrv := limitedServer(e.operatorServer(), listeners.Operators)

	// workCtx outlives ctx: settling and the handover need the peer connections
	// after the last caller is served.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return peer.Serve(workCtx, listeners.Peers, peerServer{e: e}, e.peerOptions()) })
	group.Go(operatorSrv.Serve)
	group.Go(callerSrv.Serve)
	servers := []*drain.Server{callerSrv}
	if listeners.Requests != nil {
		handoffSrv := gateway.NewHandoffServer(e.gateway, listeners.Requests, e.conf.Limits)
		group.Go(handoffSrv.Serve)
		servers = append(servers, handoffSrv)
	}
	controlServers := []*drain.Server{operatorSrv}
	if listeners.Ready != nil {
		readinessSrv := limitedServer(e.readinessServer(), listeners.Ready)
		group.Go(readinessSrv.Serve)
		controlServers = append(controlServers, readinessSrv)
	}
	var loops sync.WaitGroup
	loops.Go(dynamic.CompileSchema)
	loops.Go(func() { e.membershipRunner.Run(workCtx) })
	loops.Go(func() { e.gateway.Run(workCtx) })
	loops.Go(func() { e.publishPhase(workCtx) })
	loops.Go(func() { e.updateGauges(workCtx) })
	e.recorder.Record(EventStarted, events.F("instance", e.conf.Instance), events.F("callers", e.conf.Listen.Callers),
		events.F("peers", e.conf.Listen.Peers), events.F("operators", e.conf.Listen.Operators))

	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	e.shutdown(servers)
	for _, server := range controlServers {
		server.Close()
	}
	stop()
	err := group.Wait()
	loops.Wait()
	e.gateway.Close()
	e.platform.Close()
	err = errors.Join(err, e.peerClient.Close(), e.metrics.Close())
	e.recorder.Record(EventStopped, events.F("instance", e.conf.Instance))
	return err
}

// maxControlConnections bounds the connections to the listener for operators and to that for
// readiness checks. Few callers use them, each with few connections.
const maxControlConnections = 64

// limitedServer returns a server of h on l that bounds the connections.
func limitedServer(h *http.Server, l net.Listener) *drain.Server {
	s := drain.NewServer(h, l)
	s.LimitConnections(maxControlConnections, nil, 0)
	return s
}

// publishPhase publishes this entry's phase to its peers whenever its readiness
// changes, until the entry is leaving.
func (e *Entry) publishPhase(ctx context.Context) {
	ticker := time.NewTicker(clock.DefaultPauseTick)
	defer ticker.Stop()
	published := peerpb.Phase_PHASE_STARTING
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		phase := peerpb.Phase_PHASE_STARTING
		if ok, _ := e.ready(); ok {
			phase = peerpb.Phase_PHASE_READY
		}
		if phase != published && !e.leaving.Load() {
			e.memberTable.SetPhase(phase)
			published = phase
		}
	}
}

// Listeners holds the open listeners of an entry. Run closes them.
type Listeners struct {
	Callers, Peers, Operators net.Listener
	Ready                     net.Listener // optional readiness listener; nil if not configured
	Requests                  net.Listener // optional listener for requests that peers hand on; nil if not configured
}

// Listen opens the listeners configured in the settings file; an empty address
// is skipped. On failure it closes those already open, and the error names the
// address.
func Listen(ctx context.Context, conf static.Listen) (*Listeners, error) {
	var opened Listeners
	var lc net.ListenConfig
	for _, target := range []struct {
		address  string
		listener *net.Listener
	}{{conf.Callers, &opened.Callers}, {conf.Peers, &opened.Peers}, {conf.Operators, &opened.Operators}, {conf.Ready, &opened.Ready}, {conf.Requests, &opened.Requests}} {
		if target.address == "" {
			continue
		}
		ln, err := lc.Listen(ctx, "tcp", target.address)
		if err != nil {
			opened.close()
			return nil, errors.Wrapf(err, "listen on %s", target.address)
		}
		*target.listener = ln
	}
	return &opened, nil
}

func (l *Listeners) close() {
	for _, ln := range []net.Listener{l.Callers, l.Peers, l.Operators, l.Ready, l.Requests} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}
