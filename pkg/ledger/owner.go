package ledger

import (
	"bytes"
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

// Defaults of the fields of OwnerOptions.
const (
	DefaultMaxClaims      = 200_000  // claims
	DefaultMaxReplayBytes = 64 << 20 // bytes
)

// maxRequestIDBytes is the length to which the request ID of a claim is
// truncated. Request IDs that an entry generates are shorter.
const maxRequestIDBytes = 128

// maxContentTypeBytes is the length of the longest Content-Type with which a response is
// stored.
const maxContentTypeBytes = 256

// OwnerOptions configures an Owner.
type OwnerOptions struct {
	Address     string // address of the peer listener of this instance, IP:port
	Incarnation uint64 // 64 random bits, generated at process start
	Clock       clock.Clock
	MaxClaims   int // default 200000; applies once to the own ledger and once to all adopted ledgers together
	// MaxReplayBytes limits the total size of the response bodies stored for
	// replay, default 64 MiB. Without this limit, memory use could reach the
	// number of claims times the setting replayMaxBytes.
	MaxReplayBytes int
	Keyring        *Keyring
	Recorder       events.Recorder // default: events are discarded
}

// Owner issues keys and grants each of them at most once. It is safe for
// concurrent use.
type Owner struct {
	options    OwnerOptions
	address    netip.AddrPort
	chunkBytes int

	sequence  atomic.Uint64 // sequence of the last issued key
	watermark atomic.Uint64 // copy of ownLedger.watermark, read by Issue without mu

	mu            sync.Mutex
	ownLedger     *ledger
	adopted       map[uint64]*receivedLedger // complete ledgers of other incarnations, by incarnation
	pending       map[uint64]*receivedLedger // ledgers of which chunks are missing, by incarnation
	adoptedClaims int                        // number of records in adopted and pending
	replayBytes   int                        // total size of the stored response bodies
	grant         uint64                     // number of the last grant
	claimsFull    bool                       // a claim was refused at MaxClaims, and ownLedger has not shrunk since
	replayFull    bool                       // the last complete response exceeded MaxReplayBytes and was stored without its body
	handover      handoverState
}

// NewOwner returns an owner with an empty ledger. It panics if the address is
// not an IP address with a port, because other instances could then not reach
// the owner of its keys.
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
		options: o, chunkBytes: defaultChunkBytes, ownLedger: newLedger(start, 0, 0),
		address: netip.AddrPortFrom(address.Addr().WithZone("").Unmap(), address.Port()),
		adopted: map[uint64]*receivedLedger{}, pending: map[uint64]*receivedLedger{},
	}
}

// Issue returns a new key that expires after the given lifetime. It stores no
// record.
func (o *Owner) Issue(lifetime time.Duration) string {
	now := o.options.Clock.Read()
	// ownLedger.start and ownLedger.startAge never change, so age needs no lock.
	age := max(o.ownLedger.age(now), o.watermark.Load())
	k := issuedKey{
		owner: o.address, incarnation: o.options.Incarnation, sequence: o.sequence.Add(1),
		expires: min(age+uint64(max(0, lifetime.Milliseconds())), maxExpiryMS),
	}
	return o.options.Keyring.sign(&k)
}

// findLedger returns the ledger that the key belongs to, or nil if this
// instance holds no such ledger. o.mu must be held.
func (o *Owner) findLedger(k *issuedKey) *ledger {
	if k.incarnation == o.options.Incarnation {
		return o.ownLedger
	}
	if a := o.adopted[k.incarnation]; a != nil {
		return a.ledger
	}
	return nil
}

// advanceWatermark advances the watermark of one ledger, removes its expired
// records and updates the totals of the owner. o.mu must be held.
func (o *Owner) advanceWatermark(l *ledger, now clock.Reading) {
	count, bytes := l.advanceWatermark(now)
	o.replayBytes -= bytes
	if l != o.ownLedger {
		o.adoptedClaims -= count
		return
	}
	o.watermark.Store(l.watermark)
	if o.claimsFull && len(l.bySequence) < o.options.MaxClaims {
		o.claimsFull = false
		o.options.Recorder.Record(eventNotFull, events.F("claims", len(l.bySequence)))
	}
}

// Claim grants the key of the request if it has never been granted; otherwise
// it returns the state of the key.
func (o *Owner) Claim(req *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	k, ok := o.options.Keyring.verify(req.GetKey())
	if !ok || len(req.GetFingerprint()) != 32 {
		return &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_NOT_OWNER}
	}
	now := o.options.Clock.Read()
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.findLedger(&k)
	if l == nil {
		return &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_NOT_OWNER}
	}
	o.advanceWatermark(l, now)
	if k.expires <= l.watermark {
		return &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_EXPIRED}
	}
	fp := [32]byte(req.GetFingerprint())
	if r, ok := l.bySequence[k.sequence]; ok {
		return o.answerFromRecord(l, r, fp)
	}
	if refused := o.grantRefusal(l); refused != peerpb.ClaimState_CLAIM_STATE_UNSPECIFIED {
		return &peerpb.ClaimResponse{State: refused}
	}
	o.grant++
	id := req.GetRequestId()
	if len(id) > maxRequestIDBytes {
		id = strings.Clone(id[:maxRequestIDBytes])
	}
	l.add(k.sequence, record{
		fingerprint: fp, requestID: id, expires: k.expires,
		grant: o.grant, grantDeadline: l.watermark + uint64(req.GetGrantMs()),
	})
	if l != o.ownLedger {
		o.adoptedClaims++
	}
	return &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_GRANTED, Grant: o.grant, RequestId: id}
}

// answerFromRecord returns the response to a claim of a key that was granted
// before. o.mu must be held.
func (o *Owner) answerFromRecord(l *ledger, r record, fp [32]byte) *peerpb.ClaimResponse {
	if r.fingerprint != fp {
		return &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_FINGERPRINT_MISMATCH}
	}
	resp := &peerpb.ClaimResponse{RequestId: r.requestID, Answer: r.answer.toProto()}
	switch r.outcome {
	case outcomeRan:
		resp.State = peerpb.ClaimState_CLAIM_STATE_RAN
	case outcomeNotRun:
		resp.State = peerpb.ClaimState_CLAIM_STATE_NOT_RUN
	case outcomeUnknown:
		resp.State = peerpb.ClaimState_CLAIM_STATE_UNKNOWN
	default:
		resp.State = peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS
		if l.watermark > r.grantDeadline {
			resp.State = peerpb.ClaimState_CLAIM_STATE_UNKNOWN
		}
		if o.handover.exported {
			// The successor may have received a settle request.
			resp.State = peerpb.ClaimState_CLAIM_STATE_NOT_OWNER
		}
	}
	return resp
}

// grantRefusal returns the state with which to refuse a new grant, or
// CLAIM_STATE_UNSPECIFIED if a key may be granted. o.mu must be held.
func (o *Owner) grantRefusal(l *ledger) peerpb.ClaimState {
	size := len(l.bySequence)
	if l != o.ownLedger {
		size = o.adoptedClaims
	}
	switch {
	case o.handover.exported:
		// The successor may have granted the key in the meantime.
		return peerpb.ClaimState_CLAIM_STATE_NOT_OWNER
	case o.handover.sealed:
		return peerpb.ClaimState_CLAIM_STATE_SEALED
	case size < o.options.MaxClaims:
		return peerpb.ClaimState_CLAIM_STATE_UNSPECIFIED
	}
	if l == o.ownLedger && !o.claimsFull {
		o.claimsFull = true
		o.options.Recorder.Record(eventFull, events.F("claims", size))
	}
	return peerpb.ClaimState_CLAIM_STATE_LEDGER_FULL
}

// Settle records the result of a grant. The result of the first settle request
// is final; a repeated request with the same result is accepted and has no
// effect.
func (o *Owner) Settle(req *peerpb.SettleRequest) *peerpb.SettleResponse {
	k, ok := o.options.Keyring.verify(req.GetKey())
	newOutcome, valid := outcomeOfRun(req.GetRun())
	if !ok || !valid {
		return &peerpb.SettleResponse{}
	}
	now := o.options.Clock.Read()
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.findLedger(&k)
	if l == nil {
		return &peerpb.SettleResponse{}
	}
	o.advanceWatermark(l, now)
	r, ok := l.bySequence[k.sequence]
	switch {
	case !ok || k.expires <= l.watermark:
		return &peerpb.SettleResponse{}
	case r.grant != req.GetGrant(), r.outcome != outcomePending && r.outcome != newOutcome:
		o.options.Recorder.Record(eventSettleConflict, events.F("request_id", r.requestID), events.F("run", req.GetRun().String()))
		return &peerpb.SettleResponse{}
	case r.outcome == outcomePending && o.handover.exported:
		return &peerpb.SettleResponse{}
	case r.outcome == outcomePending:
		r.outcome = newOutcome
		if newOutcome == outcomeRan {
			r.answer = o.storeAnswer(req.GetAnswer())
		}
		l.bySequence[k.sequence] = r
	}
	return &peerpb.SettleResponse{Accepted: true}
}

// outcomeOfRun returns the record outcome for the result in a settle request,
// and false if the result is not valid.
func outcomeOfRun(run peerpb.Run) (outcome, bool) {
	switch run {
	case peerpb.Run_RUN_RAN:
		return outcomeRan, true
	case peerpb.Run_RUN_NOT_RUN:
		return outcomeNotRun, true
	case peerpb.Run_RUN_UNKNOWN:
		return outcomeUnknown, true
	}
	return outcomePending, false
}

// storeAnswer returns the form of a response to store in a record, without the
// body if the response is not complete or the body would exceed MaxReplayBytes.
// o.mu must be held.
func (o *Owner) storeAnswer(m *peerpb.Answer) *answer {
	if m == nil {
		return nil
	}
	a := &answer{status: m.GetStatus(), complete: m.GetWhole() && len(m.GetContentType()) <= maxContentTypeBytes}
	if !a.complete {
		return a
	}
	a.contentType = strings.Clone(m.GetContentType())
	fits := o.replayBytes+len(m.GetBody()) <= o.options.MaxReplayBytes
	if fits {
		a.body = bytes.Clone(m.GetBody()) // its buffer may be longer
		o.replayBytes += len(a.body)
	} else {
		a.complete = false
		if !o.replayFull {
			o.options.Recorder.Record(eventReplayFull, events.F("bytes", o.replayBytes))
		}
	}
	o.replayFull = !fits
	return a
}

// Stats holds the sizes of the ledgers of an Owner: the number of claims in its
// own ledger and in ledgers received from other instances, the total size of
// the stored response bodies in bytes, and the number of issued keys.
type Stats struct {
	Claims, AdoptedClaims, ReplayBytes int
	Issued                             uint64
	Sealed                             bool
}

// Stats removes expired records and returns the sizes of the ledgers.
func (o *Owner) Stats() Stats {
	now := o.options.Clock.Read()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advanceWatermark(o.ownLedger, now)
	for _, a := range o.adopted {
		o.advanceWatermark(a.ledger, now)
	}
	return Stats{
		Claims: len(o.ownLedger.bySequence), AdoptedClaims: o.adoptedClaims, ReplayBytes: o.replayBytes,
		Issued: o.sequence.Load(), Sealed: o.handover.sealed,
	}
}
