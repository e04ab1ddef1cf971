package ledger

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/events"
	"lentilpin/pkg/peer/peerpb"
)

const (
	// defaultChunkBytes limits the encoded records of one handover message.
	// Package peer limits the message to 1 MiB; the difference leaves space for
	// the other fields.
	defaultChunkBytes = 960 << 10
	// maxPendingLedgers limits the number of ledgers being received at a time.
	maxPendingLedgers = 4
	// pendingTimeout is the time after its first chunk at which an incomplete
	// ledger may be dropped.
	pendingTimeout = time.Minute
	// grantPollInterval is the time between two checks for open grants.
	grantPollInterval = 20 * time.Millisecond
	// maxKeyLifetimeMS is the longest key lifetime that the settings allow, in
	// milliseconds.
	maxKeyLifetimeMS = 24 * 60 * 60 * 1000
)

// handoverState is the progress of handing over the ledger of this instance. It
// is guarded by Owner.mu.
type handoverState struct {
	sealed      bool
	exported    bool // Export was called; a successor may hold a newer state
	chunks      []*peerpb.HandoverRequest
	sendStarted bool // a chunk may have reached a successor
}

// receivedLedger is the ledger of another incarnation, received from its owner
// in a handover.
type receivedLedger struct {
	ledger      *ledger
	sealedAgeMS uint64        // age of the incarnation when its ledger was exported, milliseconds
	nextChunk   uint32        // number of the next expected chunk
	startedAt   clock.Reading // time of arrival of the first chunk
}

var (
	// ErrHandoverRefused is returned if the successor refused the first chunk.
	// The successor adopted no part of the ledger, and the handover to another
	// successor may be tried.
	ErrHandoverRefused = errors.New("successor refused the ledger")
	// ErrAlreadyHandedOver is returned if an earlier handover may have reached a
	// successor.
	ErrAlreadyHandedOver = errors.New("ledger has already been sent to a successor")
)

// Seal permanently stops the ledger from granting keys. Settle requests are
// still recorded.
func (o *Owner) Seal() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.handover.sealed {
		o.handover.sealed = true
		o.options.Recorder.Record(eventSealed, events.F("claims", len(o.ownLedger.bySequence)), events.F("adopted_claims", o.adoptedClaims))
	}
}

// WaitForOpenGrants waits until every grant is settled or past its deadline, or
// until the context ends. It is called between Seal and HandOver.
func (o *Owner) WaitForOpenGrants(ctx context.Context) {
	tick := time.NewTicker(grantPollInterval)
	defer tick.Stop()
	for o.openGrants() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// openGrants returns the number of grants that are neither settled nor past
// their deadline.
func (o *Owner) openGrants() int {
	now := o.options.Clock.Read()
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, l := range o.ledgers() {
		o.advanceWatermark(l, now)
		for _, r := range l.bySequence {
			if r.outcome == outcomePending && l.watermark <= r.grantDeadline {
				n++
			}
		}
	}
	return n
}

// ledgers returns the ledger of this instance and all adopted ledgers by
// incarnation. o.mu must be held.
func (o *Owner) ledgers() map[uint64]*ledger {
	all := map[uint64]*ledger{o.options.Incarnation: o.ownLedger}
	for incarnation, a := range o.adopted {
		all[incarnation] = a.ledger
	}
	return all
}

// Export seals the ledger and returns it, together with the adopted ledgers, as
// handover messages. From then on this instance answers claims only from
// settled records, because the state of the successor may be newer. Every call
// returns the same messages.
func (o *Owner) Export() []*peerpb.HandoverRequest {
	o.Seal()
	now := o.options.Clock.Read()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.handover.exported {
		return o.handover.chunks
	}
	o.handover.exported = true
	all := o.ledgers()
	for _, incarnation := range slices.Sorted(maps.Keys(all)) {
		l := all[incarnation]
		o.advanceWatermark(l, now)
		if a := o.adopted[incarnation]; a != nil && l.watermark > a.sealedAgeMS+2*maxKeyLifetimeMS {
			continue // every key of that incarnation has expired
		}
		o.handover.chunks = append(o.handover.chunks, splitIntoChunks(incarnation, l, l.age(now), o.chunkBytes)...)
	}
	return o.handover.chunks
}

// splitIntoChunks returns one ledger as handover messages, each with at most
// maxBytes of encoded records unless a single record is larger. age is the
// age of the incarnation in milliseconds.
func splitIntoChunks(incarnation uint64, l *ledger, age uint64, maxBytes int) []*peerpb.HandoverRequest {
	var chunks []*peerpb.HandoverRequest
	size := 0
	newChunk := func() *peerpb.HandoverRequest {
		m := &peerpb.HandoverRequest{
			Incarnation: incarnation, WatermarkMs: l.watermark, ElapsedMs: age, Chunk: uint32(len(chunks)),
		}
		chunks, size = append(chunks, m), 0
		return m
	}
	m := newChunk()
	// The records are sorted so that a failing test run can be reproduced from
	// its seed.
	for _, seq := range slices.Sorted(maps.Keys(l.bySequence)) {
		r := l.bySequence[seq]
		if r.expires <= l.watermark {
			continue
		}
		record := r.toProto(seq)
		recordBytes := proto.Size(record) + 8 // with the field tag and the length prefix
		if size+recordBytes > maxBytes {
			m = newChunk()
		}
		m.Records = append(m.Records, record)
		size += recordBytes
	}
	m.Last = true
	return chunks
}

// claimStateByOutcome maps the outcome of a record to its form in handover
// messages.
var claimStateByOutcome = map[outcome]peerpb.ClaimState{
	outcomePending: peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS,
	outcomeRan:     peerpb.ClaimState_CLAIM_STATE_RAN,
	outcomeNotRun:  peerpb.ClaimState_CLAIM_STATE_NOT_RUN,
	outcomeUnknown: peerpb.ClaimState_CLAIM_STATE_UNKNOWN,
}

// toProto returns the handover form of the record with sequence seq.
func (r record) toProto(seq uint64) *peerpb.LedgerRecord {
	return &peerpb.LedgerRecord{
		Sequence: seq, Grant: r.grant, State: claimStateByOutcome[r.outcome], Fingerprint: r.fingerprint[:],
		Answer: r.answer.toProto(), ExpiresMs: r.expires, RequestId: r.requestID,
	}
}

// HandOver seals the ledger if necessary and sends it to the successor. No
// chunk is sent twice: if the successor received the last chunk, granted a key
// and was then replaced by another process at the same address, the new process
// would accept the outdated ledger again.
//
// HandOver returns ErrHandoverRefused if the successor refused the first chunk,
// and ErrAlreadyHandedOver if an earlier call may have reached a successor.
// After any other error it is unknown whether the successor adopted the ledger,
// and no other successor may be tried.
func (o *Owner) HandOver(ctx context.Context, peers PeerClient, successor string) error {
	chunks := o.Export()
	o.mu.Lock()
	if o.handover.sendStarted {
		o.mu.Unlock()
		return ErrAlreadyHandedOver
	}
	o.handover.sendStarted = true
	o.mu.Unlock()
	for i, chunk := range chunks {
		resp, err := peers.Handover(ctx, successor, chunk)
		if err == nil && resp.GetAccepted() {
			continue
		}
		o.options.Recorder.Record(eventHandoverFailed, events.F("successor", successor),
			events.F("chunk", i), events.F("chunks", len(chunks)), events.F("error", err))
		if err != nil {
			return errors.Wrapf(err, "hand over chunk %d of %d to %s", i+1, len(chunks), successor)
		}
		if i > 0 {
			return errors.Errorf("successor %s refused chunk %d of %d", successor, i+1, len(chunks))
		}
		o.mu.Lock()
		o.handover.sendStarted = false
		o.mu.Unlock()
		return ErrHandoverRefused
	}
	o.options.Recorder.Record(eventHandedOver, events.F("successor", successor), events.F("chunks", len(chunks)))
	return nil
}

// AcceptChunk receives one chunk of another incarnation's ledger. The ledger is
// adopted when its last chunk arrives. A chunk that was accepted before is
// accepted again without effect.
func (o *Owner) AcceptChunk(req *peerpb.HandoverRequest) *peerpb.HandoverResponse {
	now := o.options.Clock.Read()
	o.mu.Lock()
	defer o.mu.Unlock()
	reason := o.acceptChunk(req, now)
	if reason != "" {
		o.options.Recorder.Record(eventAdoptionRefused, events.F("reason", reason),
			events.F("from", req.GetHeader().GetInstance()), events.F("chunk", req.GetChunk()))
	}
	return &peerpb.HandoverResponse{Accepted: reason == ""}
}

// acceptChunk stores a chunk. It returns the reason if the chunk is refused,
// otherwise an empty string. o.mu must be held.
func (o *Owner) acceptChunk(req *peerpb.HandoverRequest, now clock.Reading) string {
	incarnation := req.GetIncarnation()
	switch {
	case incarnation == o.options.Incarnation:
		return "own incarnation"
	case o.adopted[incarnation] != nil:
		return ""
	case o.handover.sealed:
		return "sealed"
	}
	for other, a := range o.pending {
		if clock.Elapsed(a.startedAt, now) > pendingTimeout {
			o.dropPending(other)
		}
	}
	a := o.pending[incarnation]
	if a == nil {
		if req.GetChunk() != 0 {
			return "first chunk missing"
		}
		if len(o.pending) >= maxPendingLedgers {
			return "too many handovers at once"
		}
		a = &receivedLedger{
			ledger: newLedger(now, req.GetElapsedMs(), req.GetWatermarkMs()), sealedAgeMS: req.GetElapsedMs(), startedAt: now,
		}
		o.pending[incarnation] = a
	}
	if req.GetChunk() < a.nextChunk {
		return ""
	}
	if reason := o.addChunk(a, req); reason != "" {
		o.dropPending(incarnation)
		return reason
	}
	a.nextChunk++
	if req.GetLast() {
		delete(o.pending, incarnation)
		o.adopted[incarnation] = a
		o.options.Recorder.Record(eventAdopted, events.F("from", req.GetHeader().GetInstance()),
			events.F("claims", len(a.ledger.bySequence)), events.F("chunks", a.nextChunk))
	}
	return ""
}

// addChunk adds the records of the next chunk to a pending ledger. It returns
// the reason if the chunk is refused, otherwise an empty string. o.mu must be
// held.
func (o *Owner) addChunk(a *receivedLedger, req *peerpb.HandoverRequest) string {
	if req.GetChunk() != a.nextChunk {
		return "chunk missing"
	}
	if o.adoptedClaims+len(req.GetRecords()) > o.options.MaxClaims {
		return "full"
	}
	for _, m := range req.GetRecords() {
		r, ok := recordFromProto(m)
		if !ok {
			return "malformed record"
		}
		if r.expires <= a.ledger.watermark {
			continue
		}
		if _, duplicate := a.ledger.bySequence[m.GetSequence()]; duplicate {
			return "record sent twice"
		}
		if r.outcome == outcomeRan {
			r.answer = o.storeAnswer(m.GetAnswer())
		}
		a.ledger.add(m.GetSequence(), r)
		o.adoptedClaims++
	}
	return ""
}

// recordFromProto returns the record of a handover message without its answer,
// and false if the message is malformed.
func recordFromProto(m *peerpb.LedgerRecord) (record, bool) {
	for s, wire := range claimStateByOutcome {
		if wire == m.GetState() && len(m.GetFingerprint()) == 32 {
			return record{
				fingerprint: [32]byte(m.GetFingerprint()), requestID: m.GetRequestId(),
				expires: m.GetExpiresMs(), grant: m.GetGrant(), outcome: s,
			}, true
		}
	}
	return record{}, false
}

// dropPending removes an incomplete ledger. o.mu must be held.
func (o *Owner) dropPending(incarnation uint64) {
	for _, r := range o.pending[incarnation].ledger.bySequence {
		o.adoptedClaims--
		o.replayBytes -= r.bodyBytes()
	}
	delete(o.pending, incarnation)
}
