package ledger

import (
	"time"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/peer/peerpb"
)

// expiryBucketMS is the range of expiry times, in milliseconds, whose records
// are removed together.
const expiryBucketMS = 1000

// ledger holds the records of the claimed keys of one incarnation. It is not
// safe for concurrent use.
type ledger struct {
	start      clock.Reading       // clock reading at which the age was startAge
	startAge   uint64              // age of the incarnation at start, milliseconds
	watermark  uint64              // highest age used in a decision so far, milliseconds
	bySequence map[uint64]record   // by sequence of the key
	buckets    map[uint64][]uint64 // sequences by expiry / expiryBucketMS
	nextBucket uint64              // all buckets below this one have been removed
}

// record is the state of one claimed key. Records are stored by value to reduce
// the number of heap objects per claim.
type record struct {
	fingerprint   [32]byte
	requestID     string
	answer        *answer // nil unless outcome is outcomeRan
	expires       uint64  // age of the incarnation in milliseconds
	grant         uint64  // number of the grant
	grantDeadline uint64  // age of the incarnation in milliseconds until which the claimant may dispatch; 0 if received in a handover
	outcome       outcome
}

// outcome is what is known about the run of the request of a claimed key.
type outcome uint8

const (
	outcomePending outcome = iota // granted, not settled
	outcomeRan
	outcomeNotRun
	outcomeUnknown
)

// answer is a stored response.
type answer struct {
	contentType string
	body        []byte
	status      uint32
	complete    bool // body is complete
}

// toProto returns the message form of the answer, nil if there is none.
func (a *answer) toProto() *peerpb.Answer {
	if a == nil {
		return nil
	}
	return &peerpb.Answer{Status: a.status, ContentType: a.contentType, Body: a.body, Whole: a.complete}
}

// newLedger returns an empty ledger of an incarnation that has the age startAge
// at start. Ages are in milliseconds.
func newLedger(start clock.Reading, startAge, watermark uint64) *ledger {
	watermark = max(watermark, startAge)
	return &ledger{
		start: start, startAge: startAge, watermark: watermark,
		bySequence: map[uint64]record{}, buckets: map[uint64][]uint64{}, nextBucket: watermark / expiryBucketMS,
	}
}

// age returns the age of the incarnation in milliseconds, by the monotonic or
// the boot time clock, whichever shows more. The wall clock is not used: it may
// be set forward by any amount, which would expire every key. Late expiry is
// safe, because expiry depends on the watermark alone.
func (l *ledger) age(now clock.Reading) uint64 {
	return l.startAge + uint64(max(0, now.Mono-l.start.Mono, now.Boot-l.start.Boot)/time.Millisecond)
}

// advanceWatermark raises the watermark to the current age and removes expired
// records. It returns the number of records and of response bytes removed.
func (l *ledger) advanceWatermark(now clock.Reading) (count, bodyBytes int) {
	l.watermark = max(l.watermark, l.age(now))
	for end := l.watermark / expiryBucketMS; l.nextBucket < end; l.nextBucket++ {
		if len(l.buckets) == 0 {
			l.nextBucket = end
			break
		}
		for _, seq := range l.buckets[l.nextBucket] {
			bodyBytes += l.bySequence[seq].bodyBytes()
			delete(l.bySequence, seq)
			count++
		}
		delete(l.buckets, l.nextBucket)
	}
	return count, bodyBytes
}

// bodyBytes returns the size of the stored response body.
func (r record) bodyBytes() int {
	if r.answer == nil {
		return 0
	}
	return len(r.answer.body)
}

// add stores a new record, whose expiry must be above the watermark.
func (l *ledger) add(seq uint64, rec record) {
	l.bySequence[seq] = rec
	b := rec.expires / expiryBucketMS
	l.buckets[b] = append(l.buckets[b], seq)
}
