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
	// defaultChunkBytes bounds the records of one handover message; the message
	// bound of package peer is 1 MiB and the rest is room for its other fields.
	defaultChunkBytes = 960 << 10
	// maxPending bounds the ledgers that are received at the same time.
	maxPending = 4
	// pendingAge is the time after which an incomplete ledger is dropped.
	pendingAge = time.Minute
	// drainPoll is the time between two looks at the open grants.
	drainPoll = 20 * time.Millisecond
	// maxLifetimeMS is the longest lifetime of a key that the settings allow.
	maxLifetimeMS = 24 * 60 * 60 * 1000
)

// handoverState is guarded by Owner.mu.
type handoverState struct {
	sealed   bool
	exported bool // Chunks was called: this instance no longer knows the current state
	chunks   []*peerpb.HandoverRequest
	started  bool // a chunk may have reached a successor
}

// adoption is the ledger of another incarnation.
type adoption struct {
	records  *records
	sealedAt uint64        // age of the incarnation when it was sealed, milliseconds
	next     uint32        // next expected chunk
	began    clock.Reading // when the first chunk arrived
}

var (
	// ErrHandoverRefused is returned if the successor refused the first chunk.
	// No part of the ledger was taken over, and another successor may be tried.
	ErrHandoverRefused = errors.New("successor refused the ledger")
	// ErrHandoverEnded is returned if a handover that may have reached a
	// successor was made before.
	ErrHandoverEnded = errors.New("ledger was handed over before")
)

// Seal ends granting for good. Settles are still recorded.
func (o *Owner) Seal() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.handover.sealed {
		o.handover.sealed = true
		o.options.Recorder.Record(eventSealed, events.F("claims", len(o.own.bySeq)), events.F("adopted_claims", o.adoptedSize))
	}
}

// Drain waits until every grant is settled or past its limit, or the context
// ends. It is called between Seal and HandOver.
func (o *Owner) Drain(ctx context.Context) {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for o.openGrants() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// openGrants counts the grants that are neither settled nor past their limit.
func (o *Owner) openGrants() int {
	now := o.options.Clock.Read()
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, l := range o.ledgers() {
		o.advance(l, now)
		for _, r := range l.bySeq {
			if r.state == open && l.watermark <= r.openUntil {
				n++
			}
		}
	}
	return n
}

// ledgers returns all complete ledgers by incarnation.
func (o *Owner) ledgers() map[uint64]*records {
	all := map[uint64]*records{o.options.Incarnation: o.own}
	for incarnation, a := range o.adopted {
		all[incarnation] = a.records
	}
	return all
}

// Chunks seals the ledger and returns it as messages, adopted ledgers
// included. From then on this instance answers only from final results,
// because the successor's state may be newer. Every call returns the same
// messages.
func (o *Owner) Chunks() []*peerpb.HandoverRequest {
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
		o.advance(l, now)
		if a := o.adopted[incarnation]; a != nil && l.watermark > a.sealedAt+2*maxLifetimeMS {
			continue // every key of that incarnation has expired
		}
		o.handover.chunks = append(o.handover.chunks, export(incarnation, l, l.age(now), o.chunkBytes)...)
	}
	return o.handover.chunks
}

// export returns one ledger as messages.
func export(incarnation uint64, l *records, age uint64, limit int) []*peerpb.HandoverRequest {
	var list []*peerpb.HandoverRequest
	size := 0
	next := func() *peerpb.HandoverRequest {
		m := &peerpb.HandoverRequest{
			Incarnation: incarnation, WatermarkMs: l.watermark, ElapsedMs: age, Chunk: uint32(len(list)),
		}
		list, size = append(list, m), 0
		return m
	}
	m := next()
	// The order is fixed so that a failing run can be repeated from its seed.
	for _, seq := range slices.Sorted(maps.Keys(l.bySeq)) {
		r := l.bySeq[seq]
		if r.expires <= l.watermark {
			continue
		}
		record := r.message(seq)
		n := proto.Size(record) + 8
		if size+n > limit {
			m = next()
		}
		m.Records = append(m.Records, record)
		size += n
	}
	m.Last = true
	return list
}

var wireStates = map[state]peerpb.ClaimState{
	open:    peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS,
	ran:     peerpb.ClaimState_CLAIM_STATE_RAN,
	notRun:  peerpb.ClaimState_CLAIM_STATE_NOT_RUN,
	unknown: peerpb.ClaimState_CLAIM_STATE_UNKNOWN,
}

func (r record) message(seq uint64) *peerpb.LedgerRecord {
	return &peerpb.LedgerRecord{
		Sequence: seq, Grant: r.grant, State: wireStates[r.state], Fingerprint: r.fingerprint[:],
		Answer: r.answer.message(), ExpiresMs: r.expires, RequestId: r.requestID,
	}
}

// HandOver sends the sealed ledger to the successor. No chunk is sent twice: a
// successor that received the last chunk, granted a key and was replaced at
// the same address would accept the ledger again in its old state.
//
// After an error other than ErrHandoverRefused the successor may or may not
// own the ledger, and no other may be tried.
func (o *Owner) HandOver(ctx context.Context, peers Peers, successor string) error {
	chunks := o.Chunks()
	o.mu.Lock()
	if o.handover.started {
		o.mu.Unlock()
		return ErrHandoverEnded
	}
	o.handover.started = true
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
		o.handover.started = false
		o.mu.Unlock()
		return ErrHandoverRefused
	}
	o.options.Recorder.Record(eventHandedOver, events.F("successor", successor), events.F("chunks", len(chunks)))
	return nil
}

// Accept takes one chunk of another incarnation's ledger. The ledger comes
// into force with its last chunk. A chunk that was accepted before is accepted
// again without effect.
func (o *Owner) Accept(req *peerpb.HandoverRequest) *peerpb.HandoverResponse {
	now := o.options.Clock.Read()
	o.mu.Lock()
	defer o.mu.Unlock()
	reason := o.accept(req, now)
	if reason != "" {
		o.options.Recorder.Record(eventAdoptionRefused, events.F("reason", reason),
			events.F("from", req.GetHeader().GetInstance()), events.F("chunk", req.GetChunk()))
	}
	return &peerpb.HandoverResponse{Accepted: reason == ""}
}

// accept returns the reason for a refusal, empty if there is none.
func (o *Owner) accept(req *peerpb.HandoverRequest, now clock.Reading) string {
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
		if clock.Elapsed(a.began, now) > pendingAge {
			o.drop(other)
		}
	}
	a := o.pending[incarnation]
	if a == nil {
		if req.GetChunk() != 0 {
			return "first chunk missing"
		}
		if len(o.pending) >= maxPending {
			return "too many handovers at once"
		}
		a = &adoption{
			records: newRecords(now, req.GetElapsedMs(), req.GetWatermarkMs()), sealedAt: req.GetElapsedMs(), began: now,
		}
		o.pending[incarnation] = a
	}
	if req.GetChunk() < a.next {
		return ""
	}
	if reason := o.take(a, req); reason != "" {
		o.drop(incarnation)
		return reason
	}
	a.next++
	if req.GetLast() {
		delete(o.pending, incarnation)
		o.adopted[incarnation] = a
		o.options.Recorder.Record(eventAdopted, events.F("from", req.GetHeader().GetInstance()),
			events.F("claims", len(a.records.bySeq)), events.F("chunks", a.next))
	}
	return ""
}

// take stores the records of the next chunk.
func (o *Owner) take(a *adoption, req *peerpb.HandoverRequest) string {
	if req.GetChunk() != a.next {
		return "chunk missing"
	}
	if o.adoptedSize+len(req.GetRecords()) > o.options.MaxClaims {
		return "full"
	}
	for _, m := range req.GetRecords() {
		r, ok := recordOf(m)
		if !ok {
			return "malformed record"
		}
		if r.expires <= a.records.watermark {
			continue
		}
		if _, double := a.records.bySeq[m.GetSequence()]; double {
			return "record sent twice"
		}
		if r.state == ran {
			r.answer = o.keep(m.GetAnswer())
		}
		a.records.add(m.GetSequence(), r)
		o.adoptedSize++
	}
	return ""
}

func recordOf(m *peerpb.LedgerRecord) (record, bool) {
	for s, wire := range wireStates {
		if wire == m.GetState() && len(m.GetFingerprint()) == 32 {
			return record{
				fingerprint: [32]byte(m.GetFingerprint()), requestID: m.GetRequestId(),
				expires: m.GetExpiresMs(), grant: m.GetGrant(), state: s,
			}, true
		}
	}
	return record{}, false
}

// drop removes an incomplete ledger.
func (o *Owner) drop(incarnation uint64) {
	for _, r := range o.pending[incarnation].records.bySeq {
		o.adoptedSize--
		o.replayBytes -= r.bytes()
	}
	delete(o.pending, incarnation)
}
