package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/drain"
	"lentilpin/pkg/events"
	"lentilpin/pkg/ledger"
	"lentilpin/pkg/peer/peerpb"
)

const (
	// handoverTimeout bounds the transfer of the ledger to a successor at shutdown.
	handoverTimeout = 5 * time.Second
	// answerMargin is the time before the end of the grace at which the last requests
	// must have ended, so that their responses are sent before the connections are
	// closed. At most a tenth of the grace is used.
	answerMargin = 200 * time.Millisecond
)

// shutdown carries out the steps listed in the package comment up to and
// including the handover. servers serve callers and peers.
func (e *Entry) shutdown(servers []*drain.Server) {
	drainTime, grace := dynamic.MillisToDuration(e.conf.Shutdown.DrainMS), dynamic.MillisToDuration(e.conf.Shutdown.GraceMS)
	ctx, cancel := context.WithTimeout(context.Background(), drainTime+grace)
	defer cancel()
	e.leaving.Store(true)
	e.memberTable.SetPhase(peerpb.Phase_PHASE_LEAVING)
	e.gateway.StartDrain(time.Now().Add(drainTime + grace - min(answerMargin, grace/10)))
	e.recorder.Record(EventLeaving, events.F("drain_ms", e.conf.Shutdown.DrainMS), events.F("grace_ms", e.conf.Shutdown.GraceMS))
	time.Sleep(drainTime)

	var drains sync.WaitGroup
	for _, server := range servers {
		drains.Go(func() {
			if cut := server.Drain(ctx); cut > 0 {
				e.recorder.Record(EventRequestsCutOff, events.F("connections", cut))
			}
		})
	}
	drains.Wait()
	e.gateway.Wait(ctx)
	if e.conf.Shutdown.HandOver {
		e.handOver(ctx)
	}
}

// RecordRepeatedStop records a signal to stop during the shutdown.
func (e *Entry) RecordRepeatedStop() { e.recorder.Record(EventStopRepeated) }

// handOver transfers the ledger to a peer. The next peer is tried only if this
// one refused the first chunk; after any other failure the outcome of the
// ledger's keys is reported as unknown.
func (e *Entry) handOver(ctx context.Context) {
	e.ledgerOwner.Seal()
	e.ledgerOwner.WaitForOpenGrants(ctx)
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	for _, successor := range e.successors() {
		err := e.ledgerOwner.HandOver(ctx, ledgerPeers{e.peerClient, e}, successor)
		if errors.Is(err, ledger.ErrHandoverRefused) {
			continue
		}
		if err == nil {
			e.memberTable.SetSuccessor(successor)
		}
		break
	}
	e.memberTable.SetPhase(peerpb.Phase_PHASE_LEFT)
	e.memberTable.Announce(ctx)
}

// successors returns the addresses of the ready peers, those in the same
// failure domain first.
func (e *Entry) successors() []string {
	var sameDomain, otherDomains []string
	for _, m := range e.memberTable.Members() {
		switch {
		case m.GetAddress() == e.conf.Listen.Peers, m.GetPhase() != peerpb.Phase_PHASE_READY:
		case m.GetFailureDomain() == e.conf.FailureDomain:
			sameDomain = append(sameDomain, m.GetAddress())
		default:
			otherDomains = append(otherDomains, m.GetAddress())
		}
	}
	return append(sameDomain, otherDomains...)
}

// Handover implements ledger.PeerClient. If the connection could not be
// established, no chunk was sent: the result is a refusal, so that another peer
// may be tried.
func (p ledgerPeers) Handover(ctx context.Context, address string, req *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	resp, err := p.Client.Handover(ctx, address, req)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &peerpb.HandoverResponse{}, nil
	}
	return resp, err
}
