package membership

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/events"
	"lentilpin/pkg/platform"
	"lentilpin/pkg/settings"
)

// Delays of the Runner.
const (
	peerConfirmWindow     = 3 * time.Second // for peers to confirm before the configuration service does; allows for two calls that time out
	serveUnconfirmedDelay = 5 * time.Second // before serving unconfirmed settings, with onUnconfirmed "serve"
)

// Reasons why an instance is not ready, or serves unconfirmed settings.
const (
	ReasonNoSettings  = "no_settings"
	ReasonUnconfirmed = "unconfirmed"
)

// Platform reads the settings tree and the instance list from the platform.
// Methods return platform.ErrUnchanged if there is nothing newer than after.
type Platform interface {
	WatchTree(ctx context.Context, after uint64) (version uint64, text []byte, err error)
	ReadTree(ctx context.Context, after uint64) (version uint64, text []byte, err error)
	WatchInstances(ctx context.Context, after uint64) (revision uint64, list []platform.Instance, err error)
}

// RunnerOptions configures a Runner. All fields except PlatformConfirms and
// OnInstances are required.
type RunnerOptions struct {
	Platform      Platform
	Store         *settings.Store
	Table         *Table
	Clock         clock.Clock
	Recorder      events.Recorder
	OnUnconfirmed string // "wait" or "serve"
	// PlatformConfirms states that reads of the platform are linearizable, so
	// that a read confirms a version immediately, also after the start.
	PlatformConfirms bool
	OnInstances      func([]platform.Instance) // called with each instance list that was read
}

// Runner keeps the settings and the member table up to date. It is safe for
// concurrent use.
type Runner struct {
	options       RunnerOptions
	pauseDetector *clock.PauseDetector

	mu               sync.Mutex
	unconfirmedSince time.Duration // monotonic time of the start or of the last pause
	cancelTreeRead   context.CancelFunc
	instances        []platform.Instance
	wasReady         bool
}

// NewRunner returns a Runner. Run starts it.
func NewRunner(options RunnerOptions) *Runner {
	r := &Runner{options: options, unconfirmedSince: options.Clock.Read().Mono, cancelTreeRead: func() {}}
	r.pauseDetector = clock.NewPauseDetector(options.Clock, clock.DefaultPauseThreshold, r.handlePause)
	return r
}

// Run watches the platform and exchanges with peers until the context ends.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.options.Table.Run(ctx) })
	wg.Go(func() { r.watchTree(ctx) })
	wg.Go(func() { r.watchInstances(ctx) })
	wg.Go(func() { r.pauseDetector.Run(ctx, clock.DefaultPauseTick) })
	wg.Wait()
}

// CheckPause detects a pause at the start of a unit of work. Afterwards, Ready
// reports whether the work may continue.
func (r *Runner) CheckPause() { r.pauseDetector.Check() }

// handlePause revokes the confirmation and cancels the tree read in progress,
// whose result may predate the pause.
func (r *Runner) handlePause(gap time.Duration) {
	r.mu.Lock()
	r.unconfirmedSince = r.options.Clock.Read().Mono
	cancel := r.cancelTreeRead
	r.mu.Unlock()
	r.options.Recorder.Record(eventPaused, events.F("gap_ms", gap.Milliseconds()))
	r.options.Store.Unconfirm("paused")
	cancel()
}

// Ready reports whether the settings allow this instance to serve. The reason is
// ReasonNoSettings, ReasonUnconfirmed or empty; with onUnconfirmed "serve" it can
// be ReasonUnconfirmed although ready is true.
func (r *Runner) Ready() (ready bool, reason string) {
	ready, reason = r.ready()
	r.mu.Lock()
	changed := ready != r.wasReady
	r.wasReady = ready
	r.mu.Unlock()
	if changed && ready && reason == "" {
		r.options.Recorder.Record(eventSettingsReady, events.F("version", r.options.Store.Version()))
	} else if changed && ready {
		r.options.Recorder.Record(eventServingUnconfirmed, events.F("version", r.options.Store.Version()))
	}
	return ready, reason
}

func (r *Runner) ready() (bool, string) {
	s := r.options.Store.State()
	if s.Tree == nil {
		return false, ReasonNoSettings
	}
	if s.Confirmed {
		return true, ""
	}
	return r.options.OnUnconfirmed == "serve" && r.unconfirmedFor() >= serveUnconfirmedDelay, ReasonUnconfirmed
}

func (r *Runner) unconfirmedFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Clock.Read().Mono - r.unconfirmedSince
}

// Instances returns the instance list read last, nil before the first read.
func (r *Runner) Instances() []platform.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instances
}

func (r *Runner) watchTree(ctx context.Context) {
	var refusedVersion uint64 // highest version refused so far; the configuration service is not asked for it again
	for ctx.Err() == nil {
		epoch := r.options.Store.Epoch()
		reconfirming := !r.options.Store.Confirmed() && r.options.Store.EverConfirmed()
		version, text, err := r.readTree(ctx, max(r.options.Store.Version(), refusedVersion), reconfirming)
		if err == nil {
			switch r.options.Store.Offer(text, "service") {
			case settings.ResultInvalid, settings.ResultConflict:
				refusedVersion = max(refusedVersion, version)
			}
		}
		if (reconfirming || r.options.PlatformConfirms) && (err == nil || errors.Is(err, platform.ErrUnchanged)) {
			r.confirmByPlatform(ctx, epoch)
		}
	}
}

// readTree reads a tree with a version higher than after; if immediate is false,
// it waits for one. A pause cancels the read, so that a new request is sent
// after the pause.
func (r *Runner) readTree(ctx context.Context, after uint64, immediate bool) (uint64, []byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.cancelTreeRead = cancel
	r.mu.Unlock()
	if immediate {
		return r.options.Platform.ReadTree(ctx, after)
	}
	return r.options.Platform.WatchTree(ctx, after)
}

// confirmByPlatform confirms the version on behalf of the configuration service.
// Unless PlatformConfirms is set, it first gives the peers peerConfirmWindow to
// do so.
func (r *Runner) confirmByPlatform(ctx context.Context, epoch uint64) {
	if !r.options.PlatformConfirms && r.options.Table.hasPeers() {
		t := time.NewTimer(peerConfirmWindow - r.unconfirmedFor())
		defer t.Stop()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
	r.options.Store.ConfirmInEpoch(epoch, "service")
}

func (r *Runner) watchInstances(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		revision, list, err := r.options.Platform.WatchInstances(ctx, after)
		if err != nil {
			if !errors.Is(err, platform.ErrUnchanged) {
				after = 0 // revisions may start over when the platform restarts
			}
			continue
		}
		after = revision
		r.mu.Lock()
		r.instances = list
		r.mu.Unlock()
		r.options.Table.SetInstances(list)
		if r.options.OnInstances != nil {
			r.options.OnInstances(list)
		}
	}
}

var _ Platform = (*platform.Client)(nil)
