package entry

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/clock"
	"lentilpin/pkg/config/static"
	"lentilpin/pkg/events"
	"lentilpin/pkg/feed"
	"lentilpin/pkg/gateway"
	"lentilpin/pkg/ledger"
	"lentilpin/pkg/membership"
	"lentilpin/pkg/metrics"
	"lentilpin/pkg/peer"
	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/platform"
	"lentilpin/pkg/settings"
)

// Entry is one running entry.
type Entry struct {
	conf     *static.Settings
	rec      events.Recorder
	metrics  *metrics.Metrics
	log      *audit.Log
	store    *settings.Store
	client   *peer.Client
	platform Platform
	feed     *feed.Reader // nil where the platform has no store
	table    *membership.Table
	runner   *membership.Runner
	owner    *ledger.Owner
	gateway  *gateway.Gateway
	leaving  atomic.Bool

	incarnation uint64 // drawn at start
}

// Platform is the client of the platform.
type Platform interface {
	membership.Platform
	Close()
}

// New assembles an entry that reads from the configuration service that the
// settings name. Nothing runs before Run.
func New(conf *static.Settings, log *logrus.Logger) *Entry {
	return assemble(conf, log, func(e *Entry) Platform {
		return platform.NewClient(conf.Platform, conf.Limits.MaxTreeBytes, e.rec)
	})
}

// NewOn is New for a platform with a store that holds the settings tree and the
// registrations of backend servers.
func NewOn(conf *static.Settings, log *logrus.Logger, store feed.Store, translator feed.Translator) *Entry {
	return assemble(conf, log, func(e *Entry) Platform {
		e.feed = feed.NewReader(feed.Options{
			Store: store, Translator: translator, Recorder: e.rec, Peers: changes{e},
			Relays:     func(skip func(string) bool) ([]string, bool) { return e.table.Readers(feed.Readers, skip) },
			FirstStart: conf.FirstStart,
		})
		return e.feed
	})
}

func assemble(conf *static.Settings, log *logrus.Logger, connect func(*Entry) Platform) *Entry {
	e := &Entry{conf: conf}
	e.log = audit.New(conf.Limits.RequestRecords, conf.Limits.AuditRecords)
	e.rec = events.NewLogger(log, e.log)
	e.metrics = metrics.New(map[string]string{"instance": conf.Instance})
	c := clock.NewSystem()
	e.incarnation = rand.Uint64()
	keyring := ledger.NewKeyring(conf.Secrets.KeySigning)

	e.store = settings.NewStore(e.rec, c)
	e.platform = connect(e)
	e.client = peer.NewClient(e.peerOptions())
	e.owner = ledger.NewOwner(ledger.OwnerOptions{
		Address: conf.Listen.Peers, Incarnation: e.incarnation, Clock: c,
		MaxClaims: conf.Limits.MaxClaims, Keyring: keyring, Recorder: e.rec,
	})
	e.gateway = gateway.New(gateway.Options{
		Instance: conf.Instance, Incarnation: e.incarnation, Region: conf.Region,
		FailureDomain: conf.FailureDomain, Callers: conf.Callers, Ordinal: conf.Ordinal,
		Store: e.store, Owner: e.owner,
		Claimant:        ledger.NewClaimant(e.owner, keyring, peers{e.client, e}, c, conf.Listen.Peers),
		Log:             e.log,
		Recorder:        e.rec,
		Scope:           e.metrics.Scope,
		OrdinalConflict: func() bool { return e.table.OrdinalConflict() },
		Instances:       func() int { return e.table.Size() },
		Ready:           e.serving,
		Notify:          func() { e.table.Notify() },
	})
	e.table = membership.New(membership.Options{
		Self: &peerpb.Member{
			Instance: conf.Instance, Incarnation: e.incarnation, Address: conf.Listen.Peers,
			FailureDomain: conf.FailureDomain, Ordinal: uint32(conf.Ordinal),
			StartedUnixMs: c.Read().Wall.UnixMilli(),
		},
		Client: e.client, Store: e.store, Clock: c, Recorder: e.rec,
		Seeds: conf.SeedPeers, Source: e.gateway.Source(),
	})
	e.runner = membership.NewRunner(membership.RunnerOptions{
		Platform: e.platform, Store: e.store, Table: e.table, Clock: c, Recorder: e.rec,
		OnUnconfirmed: conf.OnUnconfirmed, PlatformConfirms: conf.PlatformConfirms, OnInstances: e.gateway.UpdateInstances,
	})
	return e
}

func (e *Entry) peerOptions() peer.Options {
	return peer.Options{
		Secret:   e.conf.Secrets.Peer,
		Header:   func() *peerpb.Header { return e.table.Header() },
		Recorder: e.rec,
	}
}

// serving reports whether requests may be served. A process that was paused
// must notice it before it serves the first request after the pause.
func (e *Entry) serving() (bool, string) {
	e.runner.CheckPause()
	if !e.gateway.HasInstances() {
		return false, "no_instance_list"
	}
	return e.runner.Ready()
}

// ready reports whether the platform's balancer should send requests here.
func (e *Entry) ready() (bool, string) {
	if e.leaving.Load() {
		return false, "leaving"
	}
	return e.serving()
}

// peers implements ledger.Peers.
type peers struct {
	*peer.Client
	e *Entry
}

// Successor implements ledger.Peers.
func (p peers) Successor(address string, incarnation uint64) string {
	return p.e.table.Successor(address, incarnation)
}
