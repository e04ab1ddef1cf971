package server

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Report is the load that a backend server states about itself.
type Report struct {
	Inflight int32         // requests that hold a slot
	Queued   int32         // requests that wait for a slot
	Slots    int32         // requests that can run at once; 0: not stated
	Latency  time.Duration // recent time from arrival to response; 0: not stated
	Slowdown float64       // current service time divided by the usual one; 0: not stated
}

// Load returns the number of requests at the backend server, running and queued.
func (r Report) Load() int32 { return r.Inflight + r.Queued }

// Backend describes one backend server as the instance list states it.
type Backend struct {
	Address, FailureDomain string
	ID                     string        // identity under which it accepts requests; empty: not stated
	Start                  string        // distinguishes starts of the process under the same ID
	WarmupRemaining        time.Duration // remaining time of slow operation after a cold start
	IsEvacuated            bool          // its failure domain gets no requests
}

// Key returns the key of the backend server; see Server.Key.
func (b Backend) Key() string {
	if b.ID == "" {
		return b.Address
	}
	return b.Address + "/" + b.ID + "/" + b.Start
}

// Outcome is the result of an attempt.
type Outcome uint8

// Outcomes of an attempt.
const (
	Success       Outcome = iota // complete response with a status below 500
	ErrorResponse                // response with status 500 or above
	Shed                         // the backend server stated that it did not run the request
	Broken                       // connection failed or response incomplete
	Timeout                      // no response within the attempt timeout
	Canceled                     // abandoned by this instance, for example the slower of two hedged attempts
)

const (
	// latencyTimeConstant is the time constant of the latency estimate of one
	// backend server. With about 20 instances, a backend server sends each
	// instance a few responses in this time, so that one slow request does not
	// dominate the estimate and a slow backend server is detected within a few
	// hundred milliseconds.
	latencyTimeConstant = 200 * time.Millisecond
	// errorShareTimeConstant is the time constant of the share of failed attempts.
	errorShareTimeConstant = time.Second
)

// Server is the state of one backend server as seen by this instance. All methods
// except SetAffinity are safe for concurrent use. The values of one report are
// separate atomics: a reader may see parts of two successive reports, which is
// acceptable because decisions tolerate stale load.
type Server struct {
	address, failureDomain string
	id, key                string
	affinity               uint64
	local                  bool
	stats                  *ServiceStats

	inflight     atomic.Int32
	limit        atomic.Int32
	weight       atomic.Uint64 // float64 bits
	listPosition atomic.Pointer[listPosition]

	reportMu         sync.Mutex // serializes the updates of the report in RecordReport
	reportedInflight atomic.Int32
	reportedQueued   atomic.Int32
	reportedSlots    atomic.Int32
	reportedLatency  atomic.Int64  // nanoseconds
	reportedSlowdown atomic.Uint64 // float64 bits
	reportAt         atomic.Int64  // time of the report plus one nanosecond; 0: no report
	begunSinceReport atomic.Int32  // attempts begun since the report
	downUntil        atomic.Int64  // time until which the backend server counts as unresponsive
	warmup           warmup
	rateLimit        atomic.Pointer[statedRateLimit] // nil: not stated
	hasPermit        atomic.Bool                     // one attempt is permitted although the backend server is rate-limited
	permitUntil      atomic.Int64                    // time until which the permit can be used
	backoffUntil     atomic.Int64                    // time until which the backend server wants no requests
	isBackingOff     atomic.Bool                     // until EndBackoff after backoffUntil
	isEvacuated      atomic.Bool                     // the failure domain gets no requests
	loadQuery        loadQuery
	probedAt         atomic.Int64 // time of the last probe plus one nanosecond; 0: never probed

	endMu               sync.Mutex    // serializes the updates of estimates in EndAttempt
	lastEndAt           atomic.Int64  // time of the last update of the latency estimate
	latency             atomic.Uint64 // float64 bits, nanoseconds
	errorShare          atomic.Uint64 // float64 bits, share of attempts that failed
	sampleAt            atomic.Int64  // start of the sampled attempt plus one nanosecond; 0: none
	samplePredictedWait atomic.Uint64 // float64 bits, predicted wait of the sampled attempt in nanoseconds

	picks           atomic.Uint64
	failed          atomic.Uint64
	limitRejections atomic.Uint64 // attempts that BeginAttempt refused at the limit
}

// New returns the state of a backend server without reports and with weight 1.
// local says whether it is in the failure domain of this instance; limit bounds
// the attempts of this instance in flight.
func New(b Backend, local bool, stats *ServiceStats, limit int32) *Server {
	s := &Server{address: b.Address, failureDomain: b.FailureDomain, id: b.ID, key: b.Key(), local: local, stats: stats}
	s.limit.Store(limit)
	s.weight.Store(math.Float64bits(1))
	return s
}

// Address returns the IP:port of the backend server.
func (s *Server) Address() string { return s.address }

// ID returns the identity under which the backend server accepts requests; empty
// if the instance list does not state it.
func (s *Server) ID() string { return s.id }

// FailureDomain returns the failure domain of the backend server.
func (s *Server) FailureDomain() string { return s.failureDomain }

// Local reports whether the backend server is in the failure domain of this instance.
func (s *Server) Local() bool { return s.local }

// Inflight returns the number of attempts of this instance in flight.
func (s *Server) Inflight() int32 { return s.inflight.Load() }

// Limit returns the limit on attempts of this instance in flight.
func (s *Server) Limit() int32 { return s.limit.Load() }

// Weight returns the weight, 0 to 1; see SetWeight.
func (s *Server) Weight() float64 { return math.Float64frombits(s.weight.Load()) }

// Picks returns the number of attempts begun so far.
func (s *Server) Picks() uint64 { return s.picks.Load() }

// Failed returns the number of attempts that have failed so far. Canceled
// attempts do not count.
func (s *Server) Failed() uint64 { return s.failed.Load() }

// AtLimit returns how often BeginAttempt refused an attempt because the limit was
// reached.
func (s *Server) AtLimit() uint64 { return s.limitRejections.Load() }

// SetLimit sets the limit on attempts of this instance in flight. Values below 1
// are raised to 1.
func (s *Server) SetLimit(n int32) {
	s.limit.Store(max(1, n))
	s.updateUsable()
}

// SetWeight sets the weight that scales the share of work, limited to 0 to 1: 0
// while the backend server is ejected or draining, 1 for a full share, a value
// between during slow start.
func (s *Server) SetWeight(w float64) {
	s.weight.Store(math.Float64bits(min(1, max(0, w))))
	s.updateUsable()
}

// BeginAttempt counts an attempt as in flight and returns true. It returns false if
// the weight is 0, the backend server is evacuated or wants no requests, the limit is
// reached or the rate limit permits no attempt. It uses the permit of a rate-limited backend
// server.
func (s *Server) BeginAttempt() bool {
	if s.weight.Load() == 0 || s.isBackingOff.Load() || s.isEvacuated.Load() {
		return false
	}
	n := s.inflight.Add(1)
	limit := s.limit.Load()
	if n > limit {
		s.inflight.Add(-1)
		s.limitRejections.Add(1)
		s.updateUsable()
		return false
	}
	if !s.usePermit() {
		s.inflight.Add(-1)
		s.updateUsable()
		return false
	}
	s.picks.Add(1)
	s.stats.inflight.Add(1)
	s.begunSinceReport.Add(1)
	if n == limit || s.IsRateLimited() {
		s.updateUsable()
	}
	return true
}

// EndAttempt ends an attempt that BeginAttempt counted. A failed attempt contributes
// at least ServiceStats.ErrorLatency to the latency estimate, so that a backend
// server that fails fast does not look fast. A canceled attempt contributes its
// latency only if that exceeds the estimate, because its full latency is unknown.
func (s *Server) EndAttempt(now, latency time.Duration, o Outcome) {
	s.inflight.Add(-1)
	s.stats.inflight.Add(-1)
	s.updateUsable()
	failed := 0.0
	switch o {
	case Success:
	case Canceled:
		if latency <= s.Latency() {
			return
		}
	default:
		failed = 1
		s.failed.Add(1)
	}
	s.endMu.Lock()
	defer s.endMu.Unlock()
	last := time.Duration(s.lastEndAt.Load())
	gap := max(0, now-last)
	s.lastEndAt.Store(int64(max(last, now)))
	if failed > 0 {
		latency = max(latency, s.stats.ErrorLatency())
	}
	if s.latency.Load() == 0 {
		s.latency.Store(math.Float64bits(float64(latency)))
	}
	updateEWMA(&s.latency, float64(latency), gap, latencyTimeConstant)
	if o != Canceled {
		updateEWMA(&s.errorShare, failed, gap, errorShareTimeConstant)
	}
	if o == Success {
		s.stats.observeLatency(float64(latency), s.local)
		s.completeSample(now, latency)
	}
}

const (
	// sampleStartTolerance is the largest difference between the start time that
	// EndAttempt computes from the latency and the start time of the sampled
	// attempt.
	sampleStartTolerance = 500 * time.Microsecond
	// maxSampleAge is the age at which a sample whose end was not matched is
	// replaced.
	maxSampleAge = time.Second
)

// RecordPredictedWait records the wait in nanoseconds that was predicted for an
// attempt that begins now. One attempt per backend server is sampled at a time.
// EndAttempt matches it by its start time, so that attempts need no state of their
// own.
func (s *Server) RecordPredictedWait(now time.Duration, wait float64) {
	old := s.sampleAt.Load()
	if old != 0 && now-time.Duration(old) < maxSampleAge {
		return
	}
	if s.sampleAt.CompareAndSwap(old, int64(now)+1) {
		s.samplePredictedWait.Store(math.Float64bits(wait))
	}
}

// completeSample passes the sampled attempt to the regression if the attempt that
// ends now is the sampled one.
func (s *Server) completeSample(now, latency time.Duration) {
	at := s.sampleAt.Load()
	if at == 0 {
		return
	}
	if d := now - latency - time.Duration(at-1); d < -sampleStartTolerance || d > sampleStartTolerance {
		return
	}
	s.stats.reportConfidence.observe(math.Float64frombits(s.samplePredictedWait.Load()), float64(latency))
	s.sampleAt.Store(0)
}

// minSmoothingGain is the least weight of a new sample, so that responses that
// arrive at the same time still change an estimate.
const minSmoothingGain = 0.05

// updateEWMA adds a sample to the exponentially weighted moving average in v, which
// holds float64 bits. gap is the time since the previous sample.
func updateEWMA(v *atomic.Uint64, sample float64, gap, timeConstant time.Duration) {
	old := math.Float64frombits(v.Load())
	gain := max(minSmoothingGain, 1-math.Exp(-float64(gap)/float64(timeConstant)))
	v.Store(math.Float64bits(old + (sample-old)*gain))
}

// Key identifies this start of the backend server: the address and, where the
// instance list states an identity, the identity and the start. The address alone
// is not enough because another backend server may take it over.
func (s *Server) Key() string { return s.key }

// Affinity returns a rank that orders the backend servers of a service differently
// on each instance. A policy that uses only some of them prefers those with the
// lowest affinity.
func (s *Server) Affinity() uint64 { return s.affinity }

// SetAffinity sets the affinity. It must be called before other goroutines use s.
func (s *Server) SetAffinity(a uint64) { s.affinity = a }

// Latency returns the smoothed latency of this instance's attempts; 0 before the
// first one ends.
func (s *Server) Latency() time.Duration {
	return time.Duration(math.Float64frombits(s.latency.Load()))
}

// idleLatencyTimeConstant is the time constant with which the latency estimate of
// a backend server without attempts decays to the mean. Without the decay, a
// backend server that was slow once would get no attempts that show its recovery.
const idleLatencyTimeConstant = 2 * time.Second

// ExpectedLatency returns the expected latency in nanoseconds of an attempt that
// begins now. It is the smoothed latency, decayed towards the mean latency of the
// local backend servers if this one is local, else of the remote ones.
func (s *Server) ExpectedLatency(now time.Duration) float64 {
	own := math.Float64frombits(s.latency.Load())
	mean := s.stats.domainLatency(s.local).Value()
	switch {
	case own == 0 && mean == 0:
		return float64(s.stats.MeanLatency())
	case own == 0:
		return mean
	case mean == 0:
		return own
	}
	return mean + (own-mean)*math.Exp(-float64(max(0, now-time.Duration(s.lastEndAt.Load())))/float64(idleLatencyTimeConstant))
}

// ErrorShare returns the smoothed share of attempts that failed.
func (s *Server) ErrorShare() float64 { return math.Float64frombits(s.errorShare.Load()) }

// RecordReport records a load report of the given age. A report older than the last
// one is ignored.
func (s *Server) RecordReport(now time.Duration, r Report, age time.Duration) {
	at := int64(now-max(0, age)) + 1
	s.reportMu.Lock()
	if at < s.reportAt.Load() {
		s.reportMu.Unlock()
		return
	}
	s.reportedInflight.Store(r.Inflight)
	s.reportedQueued.Store(r.Queued)
	s.reportedSlots.Store(r.Slots)
	s.reportedLatency.Store(int64(r.Latency))
	s.reportedSlowdown.Store(math.Float64bits(r.Slowdown))
	s.reportAt.Store(at)
	s.begunSinceReport.Store(0)
	s.reportMu.Unlock()
	s.stats.observeReport(r)
}

// Reported returns the last report and its age; false if there is none.
func (s *Server) Reported(now time.Duration) (Report, time.Duration, bool) {
	at := s.reportAt.Load()
	if at == 0 {
		return Report{}, 0, false
	}
	r := Report{Inflight: s.reportedInflight.Load(), Queued: s.reportedQueued.Load(), Slots: s.reportedSlots.Load(), Latency: time.Duration(s.reportedLatency.Load()), Slowdown: math.Float64frombits(s.reportedSlowdown.Load())}
	return r, max(0, now-time.Duration(at-1)), true
}

// RecordProbe records that a probe was sent.
func (s *Server) RecordProbe(now time.Duration) { s.probedAt.Store(int64(now) + 1) }

// ProbeAge returns the time since the last probe; false if no probe was sent.
func (s *Server) ProbeAge(now time.Duration) (time.Duration, bool) {
	at := s.probedAt.Load()
	return now - time.Duration(at-1), at != 0
}

// Usable reports whether the backend server may take an attempt now.
func (s *Server) Usable() bool {
	return s.weight.Load() != 0 && !s.isBackingOff.Load() && !s.isEvacuated.Load() && s.isPermitted() && s.inflight.Load() < s.limit.Load()
}

// updateUsable updates the bit of this backend server in the bitmap of the current
// List. It repeats the write until the state read after the write agrees, so that
// the last state remains after concurrent writes.
func (s *Server) updateUsable() {
	for {
		p := s.listPosition.Load()
		if p == nil {
			return
		}
		usable := s.Usable()
		p.bits.set(p.index, usable)
		if s.Usable() == usable && s.listPosition.Load() == p {
			return
		}
	}
}
