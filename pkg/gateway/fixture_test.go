package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/clock"
	"lentilpin/pkg/config/static"
	"lentilpin/pkg/drain"
	"lentilpin/pkg/events"
	"lentilpin/pkg/ledger"
	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/platform"
	"lentilpin/pkg/ratelimit"
	"lentilpin/pkg/settings"
	"lentilpin/standin/pipe"
)

// firstOwnerPort is the port in the peer address of the first gateway.
const firstOwnerPort = 8000

const treeText = `{"version": 1, "fleet": {"defaults": {
  "timeoutMs": 1000, "attemptTimeoutMs": 300,
  "keys": {"lifetimeMs": 20000, "grantMs": 800, "claimMs": 100, "replayMaxBytes": 64},
  "outlier": {"slowStartMs": 0}}},
 "regions": {"r": {"services": {"shop": {}}}}}`

// unframedTreeText is treeText with responses whose body ends with their connection.
var unframedTreeText = strings.Replace(treeText, `"defaults": {`, `"defaults": {"responses": {"unframed": true},`, 1)

// timeClock is a clock.Clock based on package time, which synctest virtualizes.
type timeClock struct{ start time.Time }

func (c timeClock) Read() clock.Reading {
	d := time.Since(c.start)
	return clock.Reading{Wall: time.Now().Round(0), Mono: d, Boot: d}
}

// fixture is a set of gateways in front of a set of backend servers, connected
// without sockets.
type fixture struct {
	gateways          []*Gateway
	owners            []*ledger.Owner
	issuers           []*ratelimit.Issuer
	peerListeners     []*pipe.Listener
	peerConns         []net.Conn
	handoffServers    []*drain.Server
	backends          map[string]*pipe.Backend
	unreachableOwners map[string]bool // addresses of owners that no peer can reach
	notReady          []atomic.Bool   // per gateway: Options.Ready returns false
	mu                sync.Mutex
	cuts              map[int]cut  // by the index of the gateway
	issuerShift       atomic.Int64 // moves the permits of each backend server to another gateway
	dialDelay         time.Duration
	dialed            []string // addresses in the order of the dials
	stop              context.CancelFunc
	loops             sync.WaitGroup
}

func newFixture(t testing.TB, gateways, backends int) *fixture {
	return newFixtureWith(t, gateways, backends, treeText)
}

// newFixtureWith is newFixture with another settings tree.
func newFixtureWith(t testing.TB, gateways, backends int, tree string) *fixture {
	f := &fixture{backends: map[string]*pipe.Backend{}, unreachableOwners: map[string]bool{}, notReady: make([]atomic.Bool, gateways)}
	var list []platform.Instance
	for i := range backends {
		address := fmt.Sprintf("127.0.0.1:%d", 9000+i)
		f.backends[address] = pipe.New()
		list = append(list, platform.Instance{Kind: platform.KindBackend, Service: "shop", Address: address, State: platform.StateLive})
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	keyring := ledger.NewKeyring([]string{"0123456789abcdef0123456789abcdef"})
	c := timeClock{time.Now()} // shared by all gateways
	for i := range gateways {
		address := fmt.Sprintf("127.0.0.1:%d", firstOwnerPort+i)
		owner := ledger.NewOwner(ledger.OwnerOptions{Address: address, Incarnation: uint64(i + 1), Clock: c, Keyring: keyring, Recorder: events.Discard{}})
		store := settings.NewStore(events.Discard{}, c)
		directory := fixtureDirectory{f, i, gateways}
		issuer := ratelimit.NewIssuer(ratelimit.IssuerOptions{Directory: directory, Clock: c, Epoch: store.Epoch})
		f.issuers = append(f.issuers, issuer)
		g := New(Options{
			Instance: fmt.Sprintf("entry-%d", i), Incarnation: uint64(i + 1), Region: "r", Store: store, Owner: owner,
			Claimant: ledger.NewClaimant(owner, keyring, fixturePeers{f}, c, address),
			Permits:  ratelimit.NewPermits(directory, issuer, fixturePeers{f}),
			Log:      audit.New(10000, 100), Recorder: events.Discard{}, Scope: tally.NoopScope,
			OrdinalConflict: func() bool { return true }, NotifyPeers: func() {}, Instances: func() int { return 1 }, Ready: func() (bool, string) { return !f.notReady[i].Load(), "" },
			Peers: fixtureAcceptors{f, i}, PeerSecret: "secret of the fleet", dialPeer: f.dialPeer,
			dial: func(ctx context.Context, address string) (net.Conn, error) { return f.dialFrom(ctx, i, address) },
		})
		require.Equal(t, settings.ResultAdopted, store.Offer([]byte(tree), "test"))
		g.UpdateInstances(list)
		f.loops.Go(func() { g.Run(ctx) })
		listener := pipe.NewListener()
		server := NewHandoffServer(g, listener, static.Defaults().Limits)
		f.loops.Go(func() { _ = server.Serve() })
		f.peerListeners, f.handoffServers = append(f.peerListeners, listener), append(f.handoffServers, server)
		f.gateways, f.owners = append(f.gateways, g), append(f.owners, owner)
	}
	return f
}

func (f *fixture) close() {
	f.stop()
	for i, g := range f.gateways {
		g.Wait(context.Background())
		g.Close()
		f.handoffServers[i].Close()
	}
	for _, b := range f.backends {
		b.Close()
	}
	f.loops.Wait()
}

// dialPeer connects to the listener of a gateway for requests of peers. An address is the
// index of the gateway.
func (f *fixture) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	var i int
	_, _ = fmt.Sscan(address, &i)
	own, other := net.Pipe()
	f.mu.Lock()
	f.peerConns = append(f.peerConns, other)
	f.mu.Unlock()
	if err := f.peerListeners[i].Connect(ctx, other); err != nil {
		return nil, err
	}
	return own, nil
}

// breakPeerConns closes all connections between gateways.
func (f *fixture) breakPeerConns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.peerConns {
		_ = c.Close()
	}
	f.peerConns = nil
}

// fixtureAcceptors implements PeerDirectory for a gateway: all others accept requests.
type fixtureAcceptors struct {
	f    *fixture
	self int
}

func (a fixtureAcceptors) Acceptors(n int, skip func(string) bool) (out []string) {
	for _, i := range rand.Perm(len(a.f.gateways)) {
		if address := fmt.Sprint(i); i != a.self && !skip(address) && len(out) < n {
			out = append(out, address)
		}
	}
	return out
}

// cut says how a gateway is cut from the backend servers that it names; without names,
// from all.
type cut struct {
	hangs     bool // new connections hang; otherwise they are refused
	addresses []string
}

// cutFromBackends cuts a gateway from backend servers: open connections break.
func (f *fixture) cutFromBackends(gateway int, c cut) {
	f.mu.Lock()
	if f.cuts == nil {
		f.cuts = map[int]cut{}
	}
	f.cuts[gateway] = c
	f.mu.Unlock()
	for address, b := range f.backends {
		if c.includes(address) {
			b.BreakConnections(gateway)
		}
	}
}

// healCuts ends all cuts.
func (f *fixture) healCuts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts = nil
}

func (c cut) includes(address string) bool {
	return len(c.addresses) == 0 || slices.Contains(c.addresses, address)
}

// dialFrom connects a gateway to a backend server.
func (f *fixture) dialFrom(ctx context.Context, gateway int, address string) (net.Conn, error) {
	f.mu.Lock()
	c, isCut := f.cuts[gateway]
	f.mu.Unlock()
	switch {
	case isCut && c.includes(address) && c.hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case isCut && c.includes(address):
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	return f.dial(gateway, address)
}

func (f *fixture) dial(gateway int, address string) (net.Conn, error) {
	f.mu.Lock()
	delay := f.dialDelay
	f.dialed = append(f.dialed, address)
	f.mu.Unlock()
	time.Sleep(delay)
	return f.backends[address].DialFrom(gateway)
}

// delayDials makes each later dial take some time.
func (f *fixture) delayDials(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dialDelay, f.dialed = delay, nil
}

// dialedAddresses returns the addresses that were dialed since delayDials.
func (f *fixture) dialedAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.dialed)
}

// assignFaults gives each attempt, at whatever backend server, the next one of the faults.
func (f *fixture) assignFaults(remaining []pipe.Fault) {
	if len(remaining) == 0 {
		return
	}
	assignRest := func() { f.assignFaults(remaining[1:]) }
	for _, b := range f.backends {
		b.SetScript(assignRest, remaining[0], remaining[0])
	}
}

// countRuns returns how often all backend servers together ran the request with
// the token.
func (f *fixture) countRuns(token string) int {
	n := 0
	for _, b := range f.backends {
		n += b.Runs(token)
	}
	return n
}

// fixtureDirectory makes each gateway the issuer of the permits of some backend
// servers. It implements ratelimit.Directory.
type fixtureDirectory struct {
	f              *fixture
	self, gateways int
}

func (d fixtureDirectory) Responsible(key, _ string) (address string, isSelf bool) {
	i := int((xxhash.Sum64String(key) + uint64(d.f.issuerShift.Load())) % uint64(d.gateways))
	return fmt.Sprintf("127.0.0.1:%d", firstOwnerPort+i), i == d.self
}

func (d fixtureDirectory) LiveShare() float64 { return 1 }

type fixturePeers struct{ f *fixture }

// gateway returns the index of the gateway with a peer address. If it is
// unreachable, gateway returns the error of ctx when that is done.
func (p fixturePeers) gateway(ctx context.Context, address string) (int, error) {
	p.f.mu.Lock()
	unreachable := p.f.unreachableOwners[address]
	p.f.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	var port int
	_, _ = fmt.Sscanf(address, "127.0.0.1:%d", &port)
	return port - firstOwnerPort, nil
}

func (p fixturePeers) owner(ctx context.Context, address string) (*ledger.Owner, error) {
	i, err := p.gateway(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.f.owners[i], nil
}

func (p fixturePeers) Permit(ctx context.Context, address string, in *peerpb.PermitRequest) (*peerpb.PermitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond) // as package peer does
	defer cancel()
	i, err := p.gateway(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.f.issuers[i].Issue(in), nil
}

func (p fixturePeers) Claim(ctx context.Context, address string, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	o, err := p.owner(ctx, address)
	if err != nil {
		return nil, err
	}
	return o.Claim(in), nil
}

func (p fixturePeers) Settle(ctx context.Context, address string, in *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	o, err := p.owner(ctx, address)
	if err != nil {
		return nil, err
	}
	return o.Settle(in), nil
}

func (p fixturePeers) Handover(context.Context, string, *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	return nil, errors.New("not used")
}

func (p fixturePeers) Successor(string, uint64) string { return "" }

// response is the response that a caller received.
type response struct {
	*httptest.ResponseRecorder
	broken bool // the handler aborted the connection
}

// send passes one request through a gateway and recovers http.ErrAbortHandler
// as net/http does.
func (f *fixture) send(g *Gateway, r *http.Request) (out response) {
	return f.sendTo(g, r, func() {})
}

// takingWriter calls taken when it has taken the first part of a body.
type takingWriter struct {
	*httptest.ResponseRecorder
	taken func()
}

// Write implements http.ResponseWriter.
func (w *takingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseRecorder.Write(p)
	if taken := w.taken; taken != nil {
		w.taken = nil
		taken()
	}
	return n, err
}

// sendTo is send for a caller that calls taken when it has taken the first part of the body.
func (f *fixture) sendTo(g *Gateway, r *http.Request, taken func()) (out response) {
	out.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		if p := recover(); p == http.ErrAbortHandler {
			out.broken = true
		} else if p != nil {
			panic(p)
		}
	}()
	g.ServeHTTP(&takingWriter{out.ResponseRecorder, taken}, r)
	return out
}

// order returns a non-idempotent request, with an idempotency key unless key is
// empty.
func order(token, key string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/shop/orders/"+token, strings.NewReader("body of "+token))
	r.Header.Set(pipe.TokenHeader, token)
	if key != "" {
		r.Header.Set(idempotencyKeyHeader, key)
	}
	return r
}

// read returns an idempotent request.
func read(token string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/shop/items/"+token, nil)
	r.Header.Set(pipe.TokenHeader, token)
	return r
}

// uploadBytes is the size of a request body that a backend server does not read at once.
const uploadBytes = 32 << 10

// upload gives a request a body of uploadBytes.
func upload(r *http.Request) *http.Request {
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("u", uploadBytes))), uploadBytes
	return r
}
