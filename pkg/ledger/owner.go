package ledger

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/events"
	"lentilpin/pkg/peer/peerpb"
)

// Defaults of OwnerOptions.
const (
	DefaultMaxClaims      = 200_000
	DefaultMaxReplayBytes = 64 << 20
)

// maxRequestID bounds the request ID of a claimant in bytes; IDs of this
// system are shorter.
const maxRequestID = 128

// OwnerOptions are the settings of an Owner.
type OwnerOptions struct {
	Address     string // peer listener of this instance, IP:port
	Incarnation uint64 // 64 random bits, drawn at process start
	Clock       clock.Clock
	MaxClaims   int // default 200000; own claims, and as many again of adopted ledgers
	// MaxReplayBytes bounds the responses kept for replay, default 64 MiB.
	// Without it, claims times replayMaxBytes would decide.
	MaxReplayBytes int
	Keyring        *Keyring
	Recorder       events.Recorder // default: events are dropped
}

// Owner issues keys and grants each of them at most once.
type Owner struct {
	options    OwnerOptions
	address    netip.AddrPort
	chunkBytes int

	sequence  atomic.Uint64 // last issued
	watermark atomic.Uint64 // copy of own.watermark for Issue

	mu          sync.Mutex
	own         *records
	adopted     map[uint64]*adoption // complete ledgers of other incarnations
	pending     map[uint64]*adoption // incomplete ones
	adoptedSize int                  // records in adopted and pending
	replayBytes int
	grant       uint64 // last granted
	full        bool
	replayFull  bool
	handover    handoverState
}

// NewOwner returns an owner without claims. It panics if the address is not an
// IP address with a port, because no other instance could reach the owner of
// its keys.
func NewOwner(o OwnerOptions) *Owner {
	address, err := netip.ParseAddrPort(o.Address)
	if err != nil {
		panic(fmt.Sprintf("ledger: owner address: %v", err))
	}
	if o.MaxClaims == 0 {
		o.MaxClaims = DefaultMaxClaims
	}
	if o.MaxReplayBytes == 0 {
		o.MaxReplayBytes = DefaultMaxReplayBytes
	}
	if o.Recorder == nil {
		o.Recorder = events.Discard{}
	}
	start := o.Clock.Read()
	return &Owner{
		options: o, chunkBytes: defaultChunkBytes, own: newRecords(start, 0, 0),
		address: netip.AddrPortFrom(address.Addr().WithZone("").Unmap(), address.Port()),
		adopted: map[uint64]*adoption{}, pending: map[uint64]*adoption{},
	}
}

// Issue returns a fresh key that expires after the lifetime. It stores nothing.
func (o *Owner) Issue(lifetime time.Duration) string {
	now := o.options.Clock.Read()
	// own.start and own.startAge never change, so age needs no lock.
	age := max(o.own.age(now), o.watermark.Load())
	k := issuedKey{
		owner: o.address, incarnation: o.options.Incarnation, sequence: o.sequence.Add(1),
		expires: min(age+uint64(max(0, lifetime.Milliseconds())), maxExpiryMS),
	}
	return o.options.Keyring.sign(&k)
}

// ledger returns the records that hold the key, nil if this instance does not
// own it.
func (o *Owner) ledger(k *issuedKey) *records {
	if k.incarnation == o.options.Incarnation {
		return o.own
	}
	if a := o.adopted[k.incarnation]; a != nil {
		return a.records
	}
	return nil
}

// advance forgets expired records of one ledger.
func (o *Owner) advance(l *records, now clock.Reading) {
	count, bytes := l.advance(now)
	o.replayBytes -= bytes
	if l != o.own {
		o.adoptedSize -= count
		return
	}
	o.watermark.Store(l.watermark)
	if o.full && len(l.bySeq) < o.options.MaxClaims {
		o.full = false
		o.options.Recorder.Record(eventNotFull, events.F("claims", len(l.bySeq)))
	}
}

// Claim grants the key of the request or says what became of it.
func (o *Owner) Claim(req *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	k, ok := o.options.Keyring.verify(req.GetKey())
	if !ok || len(req.GetFingerprint()) != 32 {
		return &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_NOT_OWNER}
	}
	now := o.options.Clock.Read()
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.ledger(&k)
	if l == nil {
		return &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_NOT_OWNER}
	}
	o.advance(l, now)
	if k.expires <= l.watermark {
		return &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_EXPIRED}
	}
	fp := [32]byte(req.GetFingerprint())
	if r, ok := l.bySeq[k.sequence]; ok {
		return o.known(l, r, fp)
	}
	if refused := o.mayNotGrant(l); refused != peerpb.ClaimState_CLAIM_STATE_UNSPECIFIED {
		return &peerpb.ClaimResponse{State: refused}
	}
	o.grant++
	id := req.GetRequestId()
	if len(id) > maxRequestID {
		id = strings.Clone(id[:maxRequestID])
	}
	l.add(k.sequence, record{
		fingerprint: fp, requestID: id, expires: k.expires,
		grant: o.grant, openUntil: l.watermark + uint64(req.GetGrantMs()),
	})
	if l != o.own {
		o.adoptedSize++
	}
	return &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_GRANTED, Grant: o.grant, RequestId: id}
}

// known answers a claim of a key that was granted before.
func (o *Owner) known(l *records, r record, fp [32]byte) *peerpb.ClaimResponse {
	if r.fingerprint != fp {
		return &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_FINGERPRINT_MISMATCH}
	}
	resp := &peerpb.ClaimResponse{RequestId: r.requestID, Answer: r.answer.message()}
	switch r.state {
	case ran:
		resp.State = peerpb.ClaimState_CLAIM_STATE_RAN
	case notRun:
		resp.State = peerpb.ClaimState_CLAIM_STATE_NOT_RUN
	case unknown:
		resp.State = peerpb.ClaimState_CLAIM_STATE_UNKNOWN
	default:
		resp.State = peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS
		if l.watermark > r.openUntil {
			resp.State = peerpb.ClaimState_CLAIM_STATE_UNKNOWN
		}
		if o.handover.exported {
			// A settle may have reached the successor.
			resp.State = peerpb.ClaimState_CLAIM_STATE_NOT_OWNER
		}
	}
	return resp
}

// mayNotGrant returns the reason why no further key may be granted.
func (o *Owner) mayNotGrant(l *records) peerpb.ClaimState {
	size := len(l.bySeq)
	if l != o.own {
		size = o.adoptedSize
	}
	switch {
	case o.handover.exported:
		// The successor may have granted the key since.
		return peerpb.ClaimState_CLAIM_STATE_NOT_OWNER
	case o.handover.sealed:
		return peerpb.ClaimState_CLAIM_STATE_SEALED
	case size < o.options.MaxClaims:
		return peerpb.ClaimState_CLAIM_STATE_UNSPECIFIED
	}
	if l == o.own && !o.full {
		o.full = true
		o.options.Recorder.Record(eventFull, events.F("claims", size))
	}
	return peerpb.ClaimState_CLAIM_STATE_LEDGER_FULL
}

// Settle records the result of a grant. The first settle of a grant decides;
// a repeated one with the same result is accepted and changes nothing.
func (o *Owner) Settle(req *peerpb.SettleRequest) *peerpb.SettleResponse {
	k, ok := o.options.Keyring.verify(req.GetKey())
	to, valid := stateOf(req.GetRun())
	if !ok || !valid {
		return &peerpb.SettleResponse{}
	}
	now := o.options.Clock.Read()
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.ledger(&k)
	if l == nil {
		return &peerpb.SettleResponse{}
	}
	o.advance(l, now)
	r, ok := l.bySeq[k.sequence]
	switch {
	case !ok || k.expires <= l.watermark:
		return &peerpb.SettleResponse{}
	case r.grant != req.GetGrant(), r.state != open && r.state != to:
		o.options.Recorder.Record(eventSettleConflict, events.F("request_id", r.requestID), events.F("run", req.GetRun().String()))
		return &peerpb.SettleResponse{}
	case r.state == open && o.handover.exported:
		return &peerpb.SettleResponse{}
	case r.state == open:
		r.state = to
		if to == ran {
			r.answer = o.keep(req.GetAnswer())
		}
		l.bySeq[k.sequence] = r
	}
	return &peerpb.SettleResponse{Accepted: true}
}

// stateOf returns the state that a settle with this result leads to.
func stateOf(run peerpb.Run) (state, bool) {
	switch run {
	case peerpb.Run_RUN_RAN:
		return ran, true
	case peerpb.Run_RUN_NOT_RUN:
		return notRun, true
	case peerpb.Run_RUN_UNKNOWN:
		return unknown, true
	}
	return open, false
}

// keep returns the copy of a response to store, without its body if there is
// no room.
func (o *Owner) keep(m *peerpb.Answer) *answer {
	if m == nil {
		return nil
	}
	a := &answer{status: m.GetStatus(), contentType: m.GetContentType(), whole: m.GetWhole()}
	if !a.whole {
		return a
	}
	fits := o.replayBytes+len(m.GetBody()) <= o.options.MaxReplayBytes
	if fits {
		a.body = m.GetBody()
		o.replayBytes += len(a.body)
	} else {
		a.whole = false
		if !o.replayFull {
			o.options.Recorder.Record(eventReplayFull, events.F("bytes", o.replayBytes))
		}
	}
	o.replayFull = !fits
	return a
}

// Stats are the sizes of a ledger.
type Stats struct {
	Claims, AdoptedClaims, ReplayBytes int
	Issued                             uint64
	Sealed                             bool
}

// Stats forgets expired records and returns the sizes of the ledger.
func (o *Owner) Stats() Stats {
	now := o.options.Clock.Read()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advance(o.own, now)
	for _, a := range o.adopted {
		o.advance(a.records, now)
	}
	return Stats{
		Claims: len(o.own.bySeq), AdoptedClaims: o.adoptedSize, ReplayBytes: o.replayBytes,
		Issued: o.sequence.Load(), Sealed: o.handover.sealed,
	}
}
