package entry

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/clock"
	"lentilpin/pkg/config/dynamic"
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
	"lentilpin/pkg/ratelimit"
	"lentilpin/pkg/settings"
)

// Entry holds the components of one entry process.
type Entry struct {
	conf             *static.Settings
	recorder         events.Recorder
	metrics          *metrics.Metrics
	log              *audit.Log
	settingsStore    *settings.Store
	peerClient       *peer.Client
	platform         Platform
	feed             *feed.Reader // nil if the platform has no key-value store
	memberTable      *membership.Table
	membershipRunner *membership.Runner
	ledgerOwner      *ledger.Owner
	permitIssuer     *ratelimit.Issuer
	gateway          *gateway.Gateway
	leaving          atomic.Bool
	fullState        fullState

	incarnation uint64 // random number that identifies this run of the process
}

// Platform is the client that reads the settings tree and the instance list
// from the platform.
type Platform interface {
	membership.Platform
	Close()
}

// New assembles an entry that reads from the configuration service named in
// the settings. No listener is served and no loop runs before Run.
func New(conf *static.Settings, log *logrus.Logger) *Entry {
	return newEntry(conf, log, func(e *Entry) Platform {
		return platform.NewClient(conf.Platform, conf.Limits.MaxTreeBytes, e.recorder)
	})
}

// NewWithStore is like New, but reads the settings tree and the registrations of
// backend servers from the platform's key-value store.
func NewWithStore(conf *static.Settings, log *logrus.Logger, store feed.Store, translator feed.Translator) *Entry {
	return newEntry(conf, log, func(e *Entry) Platform {
		e.feed = feed.NewReader(feed.Options{
			Store: store, Translator: translator, Recorder: e.recorder, PeerClient: changesClient{e},
			Relays: func(skip func(string) bool) ([]string, bool) { return e.memberTable.Readers(feed.Readers, skip) },
			CountCall: func(reason feed.CallReason) {
				e.metrics.Scope.Tagged(map[string]string{"reason": reason.String()}).Counter("store_calls").Inc(1)
			},
			Instances:  func() int { return e.memberTable.LiveInstances() },
			FirstStart: conf.FirstStart, TreeInForce: e.settingsStore.Version,
			EvacuationBound: dynamic.MillisToDuration(conf.EvacuationMS),
		})
		return e.feed
	})
}

func newEntry(conf *static.Settings, log *logrus.Logger, newPlatform func(*Entry) Platform) *Entry {
	e := &Entry{conf: conf}
	e.log = audit.New(conf.Limits.RequestRecords, conf.Limits.AuditRecords)
	e.recorder = events.NewLogger(log, e.log)
	e.metrics = metrics.New(map[string]string{"instance": conf.Instance})
	systemClock := clock.NewSystem()
	e.incarnation = rand.Uint64()
	keyring := ledger.NewKeyring(conf.Secrets.KeySigning)

	e.settingsStore = settings.NewStore(e.recorder, systemClock)
	e.platform = newPlatform(e)
	e.peerClient = peer.NewClient(e.peerOptions())
	e.ledgerOwner = ledger.NewOwner(ledger.OwnerOptions{
		Address: conf.Listen.Peers, Incarnation: e.incarnation, Clock: systemClock,
		MaxClaims: conf.Limits.MaxClaims, MaxReplayBytes: conf.Limits.ReplayBytes, Keyring: keyring, Recorder: e.recorder,
	})
	directory := permitDirectory{e}
	e.permitIssuer = ratelimit.NewIssuer(ratelimit.IssuerOptions{Directory: directory, Clock: systemClock, Epoch: e.pauseEpoch})
	permits := ratelimit.NewPermits(directory, e.permitIssuer, e.peerClient)
	e.gateway = gateway.New(gateway.Options{
		Instance: conf.Instance, Incarnation: e.incarnation, Region: conf.Region,
		FailureDomain: conf.FailureDomain, Callers: conf.Callers, Ordinal: conf.Ordinal,
		Store: e.settingsStore, Owner: e.ledgerOwner,
		Claimant:        ledger.NewClaimant(e.ledgerOwner, keyring, ledgerPeers{e.peerClient, e}, systemClock, conf.Listen.Peers),
		Permits:         permits,
		Trials:          permits,
		Log:             e.log,
		Recorder:        e.recorder,
		Scope:           e.metrics.Scope,
		OrdinalConflict: func() bool { return e.memberTable.OrdinalConflict() },
		Instances:       func() int { return e.memberTable.LiveInstances() },
		Ready:           e.canServe,
		Limits:          conf.Limits,
		Peers:           acceptors{e},
		PeerSecret:      conf.Secrets.Peer,
		NotifyPeers:     func() { e.memberTable.NotifyPeers() },
		IsListCurrent:   func() bool { return e.feed == nil || e.feed.IsCurrent() },
	})
	e.memberTable = membership.New(membership.Options{
		Self: &peerpb.Member{
			Instance: conf.Instance, Incarnation: e.incarnation, Address: conf.Listen.Peers,
			FailureDomain: conf.FailureDomain, Ordinal: uint32(conf.Ordinal),
			StartedUnixMs:   systemClock.Read().Wall.UnixMilli(),
			RequestsAddress: conf.Listen.Requests,
		},
		Client: e.peerClient, Store: e.settingsStore, Clock: systemClock, Recorder: e.recorder,
		SeedAddresses: conf.SeedPeers, PeerState: e.gateway.PeerState(), MaxTreeBytes: conf.Limits.MaxTreeBytes,
		OnUnusableTree: func(version uint64) {
			if e.feed != nil {
				e.feed.ExpectTree(version)
			}
		},
	})
	e.membershipRunner = membership.NewRunner(membership.RunnerOptions{
		Platform: e.platform, Store: e.settingsStore, Table: e.memberTable, Clock: systemClock, Recorder: e.recorder,
		OnUnconfirmed: conf.OnUnconfirmed, PlatformConfirms: conf.PlatformConfirms, OnInstances: e.gateway.UpdateInstances,
	})
	return e
}

func (e *Entry) peerOptions() peer.Options {
	return peer.Options{
		Secret:   e.conf.Secrets.Peer,
		Header:   func() *peerpb.Header { return e.memberTable.Header() },
		Recorder: e.recorder,

		MaxHandshakes:    e.conf.Limits.MaxPeerHandshakes,
		HandshakeTimeout: dynamic.MillisToDuration(e.conf.Limits.PeerHandshakeMS),
		HandshakesClosed: e.metrics.Scope.Counter("peer_handshakes_closed"),
	}
}

// canServe reports whether requests may be served and, if not, the reason. It
// checks for a pause of the process first, because a pause must be detected
// before the first request after it is served.
func (e *Entry) canServe() (bool, string) {
	e.membershipRunner.CheckPause()
	if !e.gateway.IsInitialized() {
		return false, "no_instance_list"
	}
	return e.membershipRunner.Ready()
}

// ready reports whether the platform's load balancer should send requests to
// this entry and, if not, the reason.
func (e *Entry) ready() (bool, string) {
	if e.leaving.Load() {
		return false, "leaving"
	}
	return e.canServe()
}

// pauseEpoch returns the epoch of the settings store, which changes with each pause of
// the process. It detects a pause that has just ended.
func (e *Entry) pauseEpoch() uint64 {
	e.membershipRunner.CheckPause()
	return e.settingsStore.Epoch()
}

// permitDirectory implements ratelimit.Directory by the member table, which is
// created later than the gateway.
type permitDirectory struct{ e *Entry }

// Responsible implements ratelimit.Directory.
func (d permitDirectory) Responsible(key, failureDomain string) (address string, isSelf bool) {
	return d.e.memberTable.Responsible(key, failureDomain)
}

// LiveShare implements ratelimit.Directory.
func (d permitDirectory) LiveShare() float64 { return d.e.memberTable.LiveShare() }

// acceptors implements gateway.PeerDirectory by the member table, which is created later
// than the gateway.
type acceptors struct{ e *Entry }

// Acceptors implements gateway.PeerDirectory.
func (a acceptors) Acceptors(n int, skip func(address string) bool) []string {
	return a.e.memberTable.Acceptors(n, skip)
}

// ledgerPeers implements ledger.PeerClient.
type ledgerPeers struct {
	*peer.Client
	e *Entry
}

// Successor implements ledger.PeerClient.
func (p ledgerPeers) Successor(address string, incarnation uint64) string {
	return p.e.memberTable.Successor(address, incarnation)
}
