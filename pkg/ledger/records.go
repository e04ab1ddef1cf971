package ledger

import (
	"time"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/peer/peerpb"
)

// bucketMS is the span of expiry times that are forgotten together.
const bucketMS = 1000

// records are the claimed keys of one incarnation. It is not safe for
// concurrent use.
type records struct {
	start     clock.Reading // reading at which the age was startAge
	startAge  uint64        // milliseconds
	watermark uint64        // highest age that a decision was based on, milliseconds
	bySeq     map[uint64]record
	buckets   map[uint64][]uint64 // sequences by expiry / bucketMS
	swept     uint64              // all buckets below this one are forgotten
}

// record is one claimed key. It is stored by value to keep the number of heap
// objects per claim low.
type record struct {
	fingerprint [32]byte
	requestID   string
	answer      *answer // nil unless state is ran
	expires     uint64  // age in milliseconds
	grant       uint64
	openUntil   uint64 // age in milliseconds until which the claimant may dispatch
	state       state
}

// state is what is known of a claimed key.
type state uint8

const (
	open state = iota // granted, not settled
	ran
	notRun
	unknown
)

// answer is the bounded copy of a response.
type answer struct {
	contentType string
	body        []byte
	status      uint32
	whole       bool
}

func (a *answer) message() *peerpb.Answer {
	if a == nil {
		return nil
	}
	return &peerpb.Answer{Status: a.status, ContentType: a.contentType, Body: a.body, Whole: a.whole}
}

func newRecords(start clock.Reading, startAge, watermark uint64) *records {
	watermark = max(watermark, startAge)
	return &records{
		start: start, startAge: startAge, watermark: watermark,
		bySeq: map[uint64]record{}, buckets: map[uint64][]uint64{}, swept: watermark / bucketMS,
	}
}

// age returns the age of the incarnation in milliseconds. The wall clock is
// left out: it may be set forward by any amount, and then every key would
// expire. Late expiry is safe, because only the watermark decides.
func (r *records) age(now clock.Reading) uint64 {
	return r.startAge + uint64(max(0, now.Mono-r.start.Mono, now.Boot-r.start.Boot)/time.Millisecond)
}

// advance raises the watermark and forgets what lies below it. It returns the
// number of records and of response bytes that were forgotten.
func (r *records) advance(now clock.Reading) (count, bytes int) {
	r.watermark = max(r.watermark, r.age(now))
	for end := r.watermark / bucketMS; r.swept < end; r.swept++ {
		if len(r.buckets) == 0 {
			r.swept = end
			break
		}
		for _, seq := range r.buckets[r.swept] {
			bytes += r.bySeq[seq].bytes()
			delete(r.bySeq, seq)
			count++
		}
		delete(r.buckets, r.swept)
	}
	return count, bytes
}

func (r record) bytes() int {
	if r.answer == nil {
		return 0
	}
	return len(r.answer.body)
}

// add stores a new record. Its expiry lies above the watermark.
func (r *records) add(seq uint64, rec record) {
	r.bySeq[seq] = rec
	b := rec.expires / bucketMS
	r.buckets[b] = append(r.buckets[b], seq)
}
