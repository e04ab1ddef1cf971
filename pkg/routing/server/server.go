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
	Slowdown float64       // time that work takes now over the usual; 0: not stated
}

// Load is the number of requests at the backend server.
func (r Report) Load() int32 { return r.Inflight + r.Queued }

// Backend is one entry of the instance list.
type Backend struct {
	Address, FailureDomain string
	ID                     string        // identity that it accepts requests under; empty: not stated
	Start                  string        // tells its starts under one identity apart
	ColdFor                time.Duration // how much longer it is slow after its start
}

// Key identifies the entry, see Server.Key.
func (b Backend) Key() string {
	if b.ID == "" {
		return b.Address
	}
	return b.Address + "/" + b.ID + "/" + b.Start
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	Success       Outcome = iota // whole response below status 500
	ErrorResponse                // response with status 500 or above
	Shed                         // the backend server stated that it did not run the request
	Broken                       // connection failed or response cut short
	Timeout                      // no response within the attempt timeout
	Canceled                     // given up by this instance, for example the slower of a hedged pair
)

const (
	// latencyTime is the time constant of the latency estimate. It spans a few
	// responses of one backend server to one of about 20 instances, so that
	// one slow request does not decide and a slow backend server shows within
	// a few hundred milliseconds.
	latencyTime = 200 * time.Millisecond
	// errorTime is the time constant of the error share.
	errorTime = time.Second
)

// Server is one backend server as seen by this instance. All methods are safe
// for concurrent use. Fields that describe one report are separate atomics: a
// reader may see parts of two successive reports, which a decision under stale
// load tolerates.
type Server struct {
	address, domain string
	id, key         string
	affinity        uint64
	local           bool
	shared          *Shared

	inflight atomic.Int32
	limit    atomic.Int32
	weight   atomic.Uint64 // float64 bits
	place    atomic.Pointer[place]

	reportMu sync.Mutex // serialises writers of the fields below
	inSlots  atomic.Int32
	queued   atomic.Int32
	slots    atomic.Int32
	reported atomic.Int64  // report latency
	slowdown atomic.Uint64 // float64 bits
	reportAt atomic.Int64  // time of the report plus one; 0: none
	begun    atomic.Int32  // attempts begun since the report
	mute     atomic.Int64  // no reply to questions until this time
	coldTill atomic.Int64
	question question
	probedAt atomic.Int64 // time of the last probe plus one

	endMu      sync.Mutex // serialises End's estimates
	endAt      atomic.Int64
	latency    atomic.Uint64 // float64 bits, nanoseconds
	errors     atomic.Uint64 // float64 bits, share of attempts that failed
	sampleAt   atomic.Int64  // start of the sampled attempt plus one; 0: none
	sampleWait atomic.Uint64 // float64 bits, its predicted wait in nanoseconds

	picks  atomic.Uint64
	failed atomic.Uint64
	full   atomic.Uint64 // draws that met the limit
}

// New returns a backend server without reports and with full weight.
func New(b Backend, local bool, shared *Shared, limit int32) *Server {
	s := &Server{address: b.Address, domain: b.FailureDomain, id: b.ID, key: b.Key(), local: local, shared: shared}
	s.limit.Store(limit)
	s.weight.Store(math.Float64bits(1))
	return s
}

// Address returns the IP:port of the backend server.
func (s *Server) Address() string { return s.address }

// ID returns the identity of this start of the backend server, empty if the list
// does not state it.
func (s *Server) ID() string { return s.id }

// FailureDomain returns the failure domain of the backend server.
func (s *Server) FailureDomain() string { return s.domain }

// Local reports whether the backend server is in the failure domain of this instance.
func (s *Server) Local() bool { return s.local }

// Inflight returns the attempts of this instance in flight.
func (s *Server) Inflight() int32 { return s.inflight.Load() }

// Limit returns the limit on attempts of this instance in flight.
func (s *Server) Limit() int32 { return s.limit.Load() }

// Weight returns the share of work, 0 to 1.
func (s *Server) Weight() float64 { return math.Float64frombits(s.weight.Load()) }

// Picks returns the attempts begun so far.
func (s *Server) Picks() uint64 { return s.picks.Load() }

// Failed returns the attempts that ended with an error so far.
func (s *Server) Failed() uint64 { return s.failed.Load() }

// AtLimit returns how often a decision passed over this server at its limit.
func (s *Server) AtLimit() uint64 { return s.full.Load() }

// SetLimit sets the limit on attempts of this instance in flight, at least one.
func (s *Server) SetLimit(n int32) {
	s.limit.Store(max(1, n))
	s.mark()
}

// SetWeight sets the share of work: 0 for none (ejected or draining), 1 for
// full, between for slow start.
func (s *Server) SetWeight(w float64) {
	s.weight.Store(math.Float64bits(min(1, max(0, w))))
	s.mark()
}

// Begin counts an attempt unless the limit or the weight forbids it.
func (s *Server) Begin() bool {
	if s.weight.Load() == 0 {
		return false
	}
	n := s.inflight.Add(1)
	limit := s.limit.Load()
	if n > limit {
		s.inflight.Add(-1)
		s.full.Add(1)
		s.mark()
		return false
	}
	s.picks.Add(1)
	s.begun.Add(1)
	if n == limit {
		s.mark()
	}
	return true
}

// End ends an attempt that Begin counted. A failed attempt counts as one that
// took at least errorLatency, so that a backend server that fails fast does
// not look fast. A canceled attempt counts with its latency only where that
// exceeds the estimate, because its full latency is unknown.
func (s *Server) End(now, latency time.Duration, o Outcome) {
	s.inflight.Add(-1)
	s.mark()
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
	last := time.Duration(s.endAt.Load())
	gap := max(0, now-last)
	s.endAt.Store(int64(max(last, now)))
	if failed > 0 {
		latency = max(latency, s.shared.ErrorLatency())
	}
	if s.latency.Load() == 0 {
		s.latency.Store(math.Float64bits(float64(latency)))
	}
	smooth(&s.latency, float64(latency), gap, latencyTime)
	if o != Canceled {
		smooth(&s.errors, failed, gap, errorTime)
	}
	if o == Success {
		s.shared.observeLatency(float64(latency), s.local)
		s.endSample(now, latency)
	}
}

const (
	// sampleMatch is the most by which the start that End implies may differ
	// from the start of the sampled attempt.
	sampleMatch = 500 * time.Microsecond
	// sampleAge is when a sample whose end was missed is replaced.
	sampleAge = time.Second
)

// Predict notes the wait that was predicted for an attempt that begins now.
// One attempt per backend server is sampled at a time; End matches it by its
// start, so attempts need no memory of their own.
func (s *Server) Predict(now time.Duration, wait float64) {
	old := s.sampleAt.Load()
	if old != 0 && now-time.Duration(old) < sampleAge {
		return
	}
	if s.sampleAt.CompareAndSwap(old, int64(now)+1) {
		s.sampleWait.Store(math.Float64bits(wait))
	}
}

func (s *Server) endSample(now, latency time.Duration) {
	at := s.sampleAt.Load()
	if at == 0 {
		return
	}
	if d := now - latency - time.Duration(at-1); d < -sampleMatch || d > sampleMatch {
		return
	}
	s.shared.trust.observe(math.Float64frombits(s.sampleWait.Load()), float64(latency))
	s.sampleAt.Store(0)
}

// minGain is the least weight of a new sample, so that responses that arrive
// together still move an estimate.
const minGain = 0.05

// smooth moves an exponential average by one sample that is gap after the last.
func smooth(v *atomic.Uint64, sample float64, gap, constant time.Duration) {
	old := math.Float64frombits(v.Load())
	gain := max(minGain, 1-math.Exp(-float64(gap)/float64(constant)))
	v.Store(math.Float64bits(old + (sample-old)*gain))
}

// Key identifies this start of the backend server: the address, with the identity
// where the list states one. An address may pass to another backend server.
func (s *Server) Key() string { return s.key }

// Affinity orders the backend servers of a service differently at each instance:
// where only some of them are to be used, those with the lowest are.
func (s *Server) Affinity() uint64 { return s.affinity }

// SetAffinity is called before the server is used.
func (s *Server) SetAffinity(a uint64) { s.affinity = a }

// Latency returns the smoothed latency of this instance's attempts; 0: none yet.
func (s *Server) Latency() time.Duration {
	return time.Duration(math.Float64frombits(s.latency.Load()))
}

// fadeTime is the time constant with which the latency estimate of a backend
// server without attempts returns to the mean. Without it, a backend server that
// was slow once would get no attempt that shows its recovery.
const fadeTime = 2 * time.Second

// Expected returns the latency to expect of an attempt now, in nanoseconds: the
// smoothed latency, faded towards the mean of the backend servers that are, as
// this one, inside or outside the own failure domain.
func (s *Server) Expected(now time.Duration) float64 {
	own := math.Float64frombits(s.latency.Load())
	mean := s.shared.side(s.local).Value()
	switch {
	case own == 0 && mean == 0:
		return float64(s.shared.MeanLatency())
	case own == 0:
		return mean
	case mean == 0:
		return own
	}
	return mean + (own-mean)*math.Exp(-float64(max(0, now-time.Duration(s.endAt.Load())))/float64(fadeTime))
}

// ErrorShare returns the smoothed share of attempts that failed.
func (s *Server) ErrorShare() float64 { return math.Float64frombits(s.errors.Load()) }

// Observe takes a load report that is age old. A report older than the last
// one is ignored.
func (s *Server) Observe(now time.Duration, r Report, age time.Duration) {
	at := int64(now-max(0, age)) + 1
	s.reportMu.Lock()
	if at < s.reportAt.Load() {
		s.reportMu.Unlock()
		return
	}
	s.inSlots.Store(r.Inflight)
	s.queued.Store(r.Queued)
	s.slots.Store(r.Slots)
	s.reported.Store(int64(r.Latency))
	s.slowdown.Store(math.Float64bits(r.Slowdown))
	s.reportAt.Store(at)
	s.begun.Store(0)
	s.reportMu.Unlock()
	s.shared.observeReport(r)
}

// Reported returns the last report and its age; false: there is none.
func (s *Server) Reported(now time.Duration) (Report, time.Duration, bool) {
	at := s.reportAt.Load()
	if at == 0 {
		return Report{}, 0, false
	}
	r := Report{Inflight: s.inSlots.Load(), Queued: s.queued.Load(), Slots: s.slots.Load(), Latency: time.Duration(s.reported.Load()), Slowdown: math.Float64frombits(s.slowdown.Load())}
	return r, max(0, now-time.Duration(at-1)), true
}

// Probing notes that a probe was sent.
func (s *Server) Probing(now time.Duration) { s.probedAt.Store(int64(now) + 1) }

// ProbeAge returns the time since the last probe; false: never probed.
func (s *Server) ProbeAge(now time.Duration) (time.Duration, bool) {
	at := s.probedAt.Load()
	return now - time.Duration(at-1), at != 0
}

// Usable reports whether the backend server may take an attempt now.
func (s *Server) Usable() bool {
	return s.weight.Load() != 0 && s.inflight.Load() < s.limit.Load()
}

// mark brings the bit of this server in the current list up to date. It writes
// until the state read after the write agrees, so that of two concurrent
// writers the later state remains.
func (s *Server) mark() {
	for {
		p := s.place.Load()
		if p == nil {
			return
		}
		usable := s.Usable()
		p.bits.set(p.index, usable)
		if s.Usable() == usable && s.place.Load() == p {
			return
		}
	}
}
