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

// Times of the Runner.
const (
	peersFirst = 3 * time.Second // peers have this long to confirm before the service may; two calls may time out first
	serveAfter = 5 * time.Second // with onUnconfirmed "serve"
)

// Reasons why an instance is not ready.
const (
	ReasonNoSettings  = "no_settings"
	ReasonUnconfirmed = "unconfirmed"
)

// Platform is the client of the platform.
type Platform interface {
	WatchTree(ctx context.Context, after uint64) (version uint64, text []byte, err error)
	ReadTree(ctx context.Context, after uint64) (version uint64, text []byte, err error)
	WatchInstances(ctx context.Context, after uint64) (revision uint64, list []platform.Instance, err error)
}

// RunnerOptions of a Runner. All but OnInstances are required.
type RunnerOptions struct {
	Platform      Platform
	Store         *settings.Store
	Table         *Table
	Clock         clock.Clock
	Recorder      events.Recorder
	OnUnconfirmed string // wait or serve
	// PlatformConfirms says that a read of the platform is linearizable, so
	// that it confirms a version at once, also at the start.
	PlatformConfirms bool
	OnInstances      func([]platform.Instance) // each instance list that was read
}

// Runner keeps the settings and the table of members up to date.
type Runner struct {
	o     RunnerOptions
	pause *clock.PauseDetector

	mu          sync.Mutex
	unconfirmed time.Duration // since when, monotonic
	cutWatch    context.CancelFunc
	instances   []platform.Instance
	wasReady    bool
}

// NewRunner returns a Runner. Run starts it.
func NewRunner(o RunnerOptions) *Runner {
	r := &Runner{o: o, unconfirmed: o.Clock.Read().Mono, cutWatch: func() {}}
	r.pause = clock.NewPauseDetector(o.Clock, clock.DefaultPauseThreshold, r.paused)
	return r
}

// Run watches the platform and exchanges with peers until the context ends.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.o.Table.Run(ctx) })
	wg.Go(func() { r.watchTree(ctx) })
	wg.Go(func() { r.watchInstances(ctx) })
	wg.Go(func() { r.pause.Run(ctx, clock.DefaultPauseTick) })
	wg.Wait()
}

// CheckPause detects a pause at the start of a unit of work. Afterwards Ready
// says whether the work may go on.
func (r *Runner) CheckPause() { r.pause.Check() }

func (r *Runner) paused(gap time.Duration) {
	r.mu.Lock()
	r.unconfirmed = r.o.Clock.Read().Mono
	cut := r.cutWatch
	r.mu.Unlock()
	r.o.Recorder.Record(eventPaused, events.F("gap_ms", gap.Milliseconds()))
	r.o.Store.Unconfirm("paused")
	cut()
}

// Ready reports whether the settings allow this instance to serve. The reason
// is a fixed word; with onUnconfirmed "serve" it may be set although ready is
// true.
func (r *Runner) Ready() (ready bool, reason string) {
	ready, reason = r.ready()
	r.mu.Lock()
	changed := ready != r.wasReady
	r.wasReady = ready
	r.mu.Unlock()
	if changed && ready && reason == "" {
		r.o.Recorder.Record(eventReady, events.F("version", r.o.Store.Version()))
	} else if changed && ready {
		r.o.Recorder.Record(eventServing, events.F("version", r.o.Store.Version()))
	}
	return ready, reason
}

func (r *Runner) ready() (bool, string) {
	s := r.o.Store.State()
	if s.Tree == nil {
		return false, ReasonNoSettings
	}
	if s.Confirmed {
		return true, ""
	}
	return r.o.OnUnconfirmed == "serve" && r.sinceUnconfirmed() >= serveAfter, ReasonUnconfirmed
}

func (r *Runner) sinceUnconfirmed() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.o.Clock.Read().Mono - r.unconfirmed
}

// Instances returns the last instance list that was read.
func (r *Runner) Instances() []platform.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instances
}

func (r *Runner) watchTree(ctx context.Context) {
	var refused uint64 // the service is not asked again for a version that was refused
	for ctx.Err() == nil {
		epoch := r.o.Store.Epoch()
		confirming := !r.o.Store.Confirmed() && r.o.Store.EverConfirmed()
		version, text, err := r.readTree(ctx, max(r.o.Store.Version(), refused), confirming)
		if err == nil {
			switch r.o.Store.Offer(text, "service") {
			case settings.Invalid, settings.Conflict:
				refused = max(refused, version)
			}
		}
		if (confirming || r.o.PlatformConfirms) && (err == nil || errors.Is(err, platform.ErrUnchanged)) {
			r.confirmByService(ctx, epoch)
		}
	}
}

// readTree is cut by a pause, so that a new question is asked after it.
func (r *Runner) readTree(ctx context.Context, after uint64, atOnce bool) (uint64, []byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.cutWatch = cancel
	r.mu.Unlock()
	if atOnce {
		return r.o.Platform.ReadTree(ctx, after)
	}
	return r.o.Platform.WatchTree(ctx, after)
}

// confirmByService confirms after a pause, once the peers had time to do it.
func (r *Runner) confirmByService(ctx context.Context, epoch uint64) {
	if !r.o.PlatformConfirms && r.o.Table.hasPeers() {
		t := time.NewTimer(peersFirst - r.sinceUnconfirmed())
		defer t.Stop()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
	r.o.Store.ConfirmIn(epoch, "service")
}

func (r *Runner) watchInstances(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		revision, list, err := r.o.Platform.WatchInstances(ctx, after)
		if err != nil {
			if !errors.Is(err, platform.ErrUnchanged) {
				after = 0 // a restarted list may count its revisions anew
			}
			continue
		}
		after = revision
		r.mu.Lock()
		r.instances = list
		r.mu.Unlock()
		r.o.Table.SetInstances(list)
		if r.o.OnInstances != nil {
			r.o.OnInstances(list)
		}
	}
}

var _ Platform = (*platform.Client)(nil)
