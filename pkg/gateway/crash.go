package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/quarantine"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/transport"
)

// TrialSource grants the trials of quarantined requests, at most one of a key in an
// interval over all instances. It is implemented by ratelimit.Permits.
type TrialSource interface {
	TakeTrial(ctx context.Context, key string, interval time.Duration) bool
}

// isQuarantined reports whether the request is refused because requests like it crashed
// backend servers. A request on probation is admitted as a trial if no other instance
// makes one. It must be called before the first attempt.
func (c *call) isQuarantined(ctx context.Context) bool {
	interval, isTrialDue := c.svc.quarantine.TrialInterval(c.g.now(), c.fingerprint)
	if isTrialDue && c.g.options.Trials != nil {
		key := c.svc.name + "/" + quarantine.FormatFingerprint(c.fingerprint)
		if !c.g.options.Trials.TakeTrial(ctx, key, interval) {
			return true
		}
	}
	return c.svc.quarantine.CheckBlocked(c.g.now(), c.fingerprint)
}

// mayStart reports whether the request may be sent to a backend server now. It may have
// waited in the queue and for a connection since it was admitted.
func (c *call) mayStart(server *routing.Server, assignedAt time.Duration) bool {
	return c.svc.mayStart(server, assignedAt) && !c.svc.quarantine.IsInForce(c.g.now(), c.fingerprint)
}

// startCrashCheck checks in the background whether a backend server that broke a
// connection has crashed. Without this check a crash would remain undetected until
// another request fails.
func (c *call) startCrashCheck(server *routing.Server) {
	done := make(chan struct{})
	c.crashChecks = append(c.crashChecks, done)
	c.g.background.Go(func() {
		defer close(done)
		c.svc.checkCrash(server)
		c.svc.spreadQuarantineNews()
	})
}

// waitForCrashChecks waits until it is known whether the backend servers that broke
// connections have crashed. A request that broke quarantine.breaks connections, here or
// at other instances, must not crash another server before that.
func (c *call) waitForCrashChecks(ctx context.Context) {
	breaks := len(c.crashChecks)
	if breaks > 0 && c.svc.quarantine.IsBlamed(c.fingerprint) {
		breaks++
	}
	if breaks < c.settings.Quarantine.Breaks {
		return
	}
	for _, done := range c.crashChecks {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// checkCrash sends a health check to a backend server that broke a connection. The number
// of checks is bounded by that of failed attempts; they do not measure load and do not
// count against the probe budget. They use new connections, because idle ones may have
// been closed by the backend server without a crash.
func (s *service) checkCrash(server *routing.Server) {
	if _, _, failure := s.exchangeInternal(context.Background(), server, s.settings.Load().Paths.Health, true); isCrash(failure) {
		s.quarantine.Failed(s.now(), server.Address())
	}
}

// isCrash reports whether a failed health check over a new connection shows that a backend
// server has crashed: it accepts no connection, ends it at once because its process is
// ending, or another process has its address.
func isCrash(failure *transport.Failure) bool {
	if failure == nil {
		return false
	}
	switch failure.Kind {
	case transport.Dial, transport.Write, transport.Read:
		return true
	}
	return errors.Is(failure.Err, transport.ErrInstanceMismatch)
}

// spreadQuarantineNews lets the peers know at once what the quarantine list has learned.
func (s *service) spreadQuarantineNews() {
	if s.quarantine.TakeNews() {
		s.notifyPeers()
	}
}
