package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/ledger"
	"lentilpin/pkg/peer/peerpb"
)

// handoverTimeout bounds the transfer of the ledger at shutdown.
const handoverTimeout = 5 * time.Second

// shutdown takes the steps of the package comment up to the handover.
func (e *Entry) shutdown(server *http.Server) {
	e.leaving.Store(true)
	e.table.SetPhase(peerpb.Phase_PHASE_LEAVING)
	e.gateway.Drain()
	e.rec.Record(EventLeaving, events.F("drain_ms", e.conf.Shutdown.DrainMS), events.F("grace_ms", e.conf.Shutdown.GraceMS))
	time.Sleep(dynamic.MS(e.conf.Shutdown.DrainMS))

	ctx, cancel := context.WithTimeout(context.Background(), dynamic.MS(e.conf.Shutdown.GraceMS))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		e.rec.Record(EventCutOff, events.F("error", err.Error()))
		_ = server.Close()
	}
	e.gateway.Wait(ctx)
	if e.conf.Shutdown.HandOver {
		e.handOver(ctx)
	}
}

// handOver gives the ledger to a peer. Only a peer that refused the first chunk
// is followed by another; after any other failure the keys resolve to unknown.
func (e *Entry) handOver(ctx context.Context) {
	e.owner.Seal()
	e.owner.Drain(ctx)
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	for _, successor := range e.successors() {
		err := e.owner.HandOver(ctx, peers{e.client, e}, successor)
		if errors.Is(err, ledger.ErrHandoverRefused) {
			continue
		}
		if err == nil {
			e.table.SetSuccessor(successor)
		}
		break
	}
	e.table.SetPhase(peerpb.Phase_PHASE_LEFT)
	e.table.Announce(ctx)
}

// successors lists the ready peers, those of the own failure domain first.
func (e *Entry) successors() []string {
	var own, other []string
	for _, m := range e.table.Members() {
		switch {
		case m.GetAddress() == e.conf.Listen.Peers, m.GetPhase() != peerpb.Phase_PHASE_READY:
		case m.GetFailureDomain() == e.conf.FailureDomain:
			own = append(own, m.GetAddress())
		default:
			other = append(other, m.GetAddress())
		}
	}
	return append(own, other...)
}

// Handover implements ledger.Peers. A connection that was never made carried
// nothing, so the peer counts as having refused and another may be tried.
func (p peers) Handover(ctx context.Context, address string, in *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	resp, err := p.Client.Handover(ctx, address, in)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &peerpb.HandoverResponse{}, nil
	}
	return resp, err
}
