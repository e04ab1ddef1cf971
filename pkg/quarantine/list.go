package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
)

const (
	incidentGap      = 2 * time.Second        // failures further apart are separate incidents
	incidentOnset    = 200 * time.Millisecond // requests whose connections broke this early may have caused the incident
	minBlamedServers = 2                      // minimum number of blamed servers for a quarantine, regardless of the settings
	maxOnsetBreaks   = 16                     // fingerprints kept per incident; by default an entry has at most 6 connections to a server
	maxIncidents     = 1024
	maxBlamed        = 4096
	maxAddresses     = 8 // per quarantine, for operators
	maxQuarantined   = 1024

	// firstDurationDivisor divides the configured duration for a first quarantine:
	// 5 s instead of 60 s. The evidence for a first quarantine cannot distinguish the
	// crashing request from one that was in progress with it on both servers.
	firstDurationDivisor = 12
	minFirstDuration     = time.Second

	// mergeTolerance is the difference below which a peer reports the end that is known:
	// the remaining time does not include the transmission time, so that a quarantine
	// would grow with each exchange.
	mergeTolerance = 500 * time.Millisecond

	// trialIntervalDivisor divides the configured duration for the time between two
	// trials over all instances: 20 s instead of 60 s. A trial whose instance has died
	// has no result.
	trialIntervalDivisor = 3
)

// Sources of a quarantine.
const (
	SourceOwn  = "own"
	SourcePeer = "peer"
)

// ActiveQuarantine describes a fingerprint in quarantine.
type ActiveQuarantine struct {
	Fingerprint uint64
	Remaining   time.Duration
	Source      string
	Addresses   []string // backend servers on which the fingerprint was blamed; empty if only a peer reported it
}

// quarantineState is the state of a fingerprint that is refused before until and
// on probation for the configured duration after it: one attempt at a time is
// allowed as a trial.
type quarantineState struct {
	until      time.Duration
	trialUntil time.Duration // latest end of the trial in progress
	isFirst    bool          // no trial has failed yet
	source     string
	addresses  []string
}

type incident struct {
	start, last         time.Duration
	onsetBreaks         [maxOnsetBreaks]brokenAttempt // broken attempts that may have caused the incident
	onsetCount          int
	firstFingerprint    uint64 // fingerprint of the first broken attempt, to detect another one
	hasFirstFingerprint bool   // firstFingerprint is set
	confirmed           bool   // the server had a failure of another kind or fingerprint
}

// brokenAttempt is an attempt that ended with a broken connection.
type brokenAttempt struct {
	fingerprint uint64
	at          time.Duration
}

type blame struct {
	address string
	at      time.Duration
}

// List holds the fingerprints of requests of one service that are blamed for
// crashes of backend servers or in quarantine. It is safe for concurrent use.
// Times are durations on the clock of the calling code.
type List struct {
	recorder         events.Recorder
	quarantinedCount atomic.Int32 // length of quarantined, readable without the mutex
	blames           atomic.Int32 // length of blamed, readable without the mutex
	clearanceCount   atomic.Int32 // length of clearances, readable without the mutex
	hasNews          atomic.Bool  // something that peers should know was learned

	mu            sync.RWMutex
	settings      dynamic.Quarantine
	trialTimeout  time.Duration // maximum duration of a trial
	quarantined   map[uint64]quarantineState
	blamed        map[uint64][]blame
	clearances    map[uint64]time.Duration // when blamed or quarantined requests ran
	incidents     map[string]*incident
	pendingEvents []pendingEvent
}

// pendingEvent is an event that is recorded after the mutex is released: a blocked
// log stream must not delay CheckBlocked, which is called for every request.
type pendingEvent struct {
	event  *events.Event
	fields []events.Field
}

// New returns an empty list.
func New(settings *dynamic.Service, recorder events.Recorder) *List {
	return &List{
		recorder: recorder, settings: settings.Quarantine, trialTimeout: dynamic.MillisToDuration(settings.AttemptTimeoutMS),
		quarantined: map[uint64]quarantineState{}, blamed: map[uint64][]blame{}, incidents: map[string]*incident{},
		clearances: map[uint64]time.Duration{},
	}
}

// Configure applies new settings. Quarantines in progress keep their end.
func (l *List) Configure(settings *dynamic.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings, l.trialTimeout = settings.Quarantine, dynamic.MillisToDuration(settings.AttemptTimeoutMS)
}

// Fingerprint returns the 64-bit xxHash of a request. Newlines separate method,
// target and body, so that different requests have different hash inputs.
func Fingerprint(method, target string, body []byte) uint64 {
	var h xxhash.Digest
	h.Reset()
	// Writes to an xxhash.Digest never fail.
	_, _ = h.WriteString(method)
	_, _ = h.WriteString("\n")
	_, _ = h.WriteString(target)
	_, _ = h.WriteString("\n")
	_, _ = h.Write(body)
	return h.Sum64()
}

// FormatFingerprint returns a fingerprint as 16 hexadecimal digits, the form in
// events.
func FormatFingerprint(fp uint64) string { return fmt.Sprintf("%016x", fp) }

// CheckBlocked reports whether requests with this fingerprint are refused. If the
// fingerprint is on probation, CheckBlocked returns false once, which begins a
// trial, and then true until the trial has ended or the attempt timeout has passed.
func (l *List) CheckBlocked(now time.Duration, fp uint64) bool {
	if l.quarantinedCount.Load() == 0 {
		return false
	}
	l.mu.RLock()
	q, ok := l.quarantined[fp]
	l.mu.RUnlock()
	if !ok || now < q.until {
		return ok
	}
	return l.beginTrial(now, fp)
}

// beginTrial begins a trial if the fingerprint is on probation and no trial is in
// progress. It reports whether the request is refused.
func (l *List) beginTrial(now time.Duration, fp uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.quarantined[fp]
	switch {
	case !ok || now >= q.until+dynamic.MillisToDuration(l.settings.DurationMS):
		return false
	case now < q.until || now < q.trialUntil:
		return true
	}
	q.trialUntil = now + l.trialTimeout
	l.quarantined[fp] = q
	return false
}

// Broken records an attempt that ended with a broken connection after at least one
// byte of the request was written.
func (l *List) Broken(now time.Duration, fp uint64, address string) {
	l.mu.Lock()
	defer l.unlockAndRecord()
	in := l.incident(now, address)
	if !in.hasFirstFingerprint {
		in.hasFirstFingerprint, in.firstFingerprint = true, fp
	} else if fp != in.firstFingerprint {
		in.confirmed = true
	}
	index := slices.IndexFunc(in.onsetBreaks[:in.onsetCount], func(b brokenAttempt) bool { return b.fingerprint == fp })
	switch {
	case index >= 0:
		in.onsetBreaks[index].at = now
	case now-in.start <= incidentOnset && in.onsetCount < maxOnsetBreaks:
		in.onsetBreaks[in.onsetCount] = brokenAttempt{fp, now}
		in.onsetCount++
	}
	l.assignBlame(now, address, in)
}

// Failed records a failure of a backend server that cannot be attributed to a
// single request: a refused connection.
func (l *List) Failed(now time.Duration, address string) {
	l.mu.Lock()
	defer l.unlockAndRecord()
	in := l.incident(now, address)
	in.confirmed = true
	l.assignBlame(now, address, in)
}

// Ran records a response, which proves that a request ran without crashing the
// backend server. It removes the blame from the fingerprint and ends its quarantine
// or probation. A quarantine that follows a failed trial does not end early, because
// the response may belong to an attempt that began before the quarantine.
func (l *List) Ran(now time.Duration, fp uint64) {
	if l.blames.Load() == 0 && l.quarantinedCount.Load() == 0 {
		return
	}
	l.mu.RLock()
	_, blamed := l.blamed[fp]
	_, quarantined := l.quarantined[fp]
	l.mu.RUnlock()
	if !blamed && !quarantined {
		return
	}
	l.mu.Lock()
	defer l.unlockAndRecord()
	l.clear(fp, now, "ran")
}

// Merge adds a quarantine that a peer reported. Its duration is limited to the
// configured duration of a local quarantine.
func (l *List) Merge(now time.Duration, fp uint64, remaining time.Duration) {
	l.mu.Lock()
	defer l.unlockAndRecord()
	until := now + min(remaining, dynamic.MillisToDuration(l.settings.DurationMS))
	if until <= now || until <= l.quarantined[fp].until {
		return
	}
	if clearedAt, ok := l.clearances[fp]; ok && now-clearedAt <= evidenceSpreadTime {
		return // the peer does not know yet that the request ran
	}
	if q, ok := l.quarantined[fp]; ok && now < q.until && until <= q.until+mergeTolerance {
		return
	}
	if q, ok := l.quarantined[fp]; ok {
		q.until = until
		l.quarantined[fp] = q
		l.hasNews.Store(true)
		return
	}
	l.addQuarantine(now, fp, quarantineState{until: until, isFirst: true, source: SourcePeer})
	l.hasNews.Store(true)
	l.queueEvent(eventQuarantineMerged, events.F("fingerprint", FormatFingerprint(fp)), events.F("for_ms", (until-now).Milliseconds()))
}

// ActiveQuarantines returns the quarantines in force, sorted by fingerprint, and
// removes fingerprints whose probation has ended. It must be called at least once a
// second.
func (l *List) ActiveQuarantines(now time.Duration) []ActiveQuarantine {
	l.mu.Lock()
	defer l.unlockAndRecord()
	l.expire(now)
	out := make([]ActiveQuarantine, 0, len(l.quarantined))
	for fp, q := range l.quarantined {
		if now >= q.until {
			continue // on probation, which is local to each instance
		}
		out = append(out, ActiveQuarantine{Fingerprint: fp, Remaining: q.until - now, Source: q.source, Addresses: q.addresses})
	}
	slices.SortFunc(out, func(a, b ActiveQuarantine) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// queueEvent queues an event for unlockAndRecord.
func (l *List) queueEvent(e *events.Event, fields ...events.Field) {
	l.pendingEvents = append(l.pendingEvents, pendingEvent{e, fields})
}

// unlockAndRecord releases the mutex and records the queued events.
func (l *List) unlockAndRecord() {
	pendingEvents := l.pendingEvents
	l.pendingEvents = nil
	l.mu.Unlock()
	for _, p := range pendingEvents {
		l.recorder.Record(p.event, p.fields...)
	}
}

// incident returns the incident of a server that a failure at now belongs to. It
// starts a new incident after a gap of incidentGap.
func (l *List) incident(now time.Duration, address string) *incident {
	in := l.incidents[address]
	if in == nil {
		evictOldest(l.incidents, maxIncidents, func(in *incident) time.Duration { return in.last })
		in = &incident{start: now}
		l.incidents[address] = in
	} else if now-in.last >= incidentGap {
		*in = incident{start: now}
	}
	in.last = max(in.last, now)
	return in
}

// assignBlame blames the early broken attempts of an incident once it is confirmed.
func (l *List) assignBlame(now time.Duration, address string, in *incident) {
	if !in.confirmed {
		return
	}
	for _, b := range in.onsetBreaks[:in.onsetCount] {
		l.blame(now, b, address, now)
		l.hasNews.Store(true)
	}
	in.onsetCount = 0
}

// blame records blame for a broken attempt on the server at address, whose crash was
// confirmed at a point in time, and starts a quarantine when the fingerprint is blamed on
// enough servers.
func (l *List) blame(now time.Duration, broken brokenAttempt, address string, confirmedAt time.Duration) {
	fp := broken.fingerprint
	if q, ok := l.quarantined[fp]; ok && now < q.until+dynamic.MillisToDuration(l.settings.DurationMS) {
		l.requarantine(now, broken, address, q)
		return
	}
	cutoff := now - dynamic.MillisToDuration(l.settings.DurationMS)
	blames := slices.DeleteFunc(l.blamed[fp], func(b blame) bool { return b.address == address || b.at <= cutoff })
	blames = append(blames, blame{address, confirmedAt})
	if len(blames) < max(minBlamedServers, l.settings.Breaks) {
		evictOldest(l.blamed, maxBlamed, func(b []blame) time.Duration { return b[len(b)-1].at })
		l.blamed[fp] = blames
		l.blames.Store(int32(len(l.blamed)))
		return
	}
	delete(l.blamed, fp)
	l.blames.Store(int32(len(l.blamed)))
	addresses := make([]string, len(blames))
	for i, b := range blames {
		addresses[i] = b.address
	}
	duration := dynamic.MillisToDuration(l.settings.DurationMS)
	duration = min(duration, max(minFirstDuration, duration/firstDurationDivisor))
	l.addQuarantine(now, fp, quarantineState{until: now + duration, isFirst: true, source: SourceOwn, addresses: addresses})
	l.hasNews.Store(true)
	l.queueEvent(eventRequestQuarantined, events.F("fingerprint", FormatFingerprint(fp)), events.F("for_ms", duration.Milliseconds()), events.F("addresses", addresses))
}

// requarantine quarantines a fingerprint for the full duration after a failed trial.
// Connections that broke before the probation belong to earlier attempts, even if
// the incident is confirmed only during the probation, and are ignored.
func (l *List) requarantine(now time.Duration, broken brokenAttempt, address string, q quarantineState) {
	fp := broken.fingerprint
	if broken.at < q.until {
		return
	}
	duration := dynamic.MillisToDuration(l.settings.DurationMS)
	q.until, q.trialUntil, q.isFirst, q.source = now+duration, 0, false, SourceOwn
	if !slices.Contains(q.addresses, address) && len(q.addresses) < maxAddresses {
		q.addresses = append(slices.Clone(q.addresses), address)
	}
	l.quarantined[fp] = q
	l.hasNews.Store(true)
	l.queueEvent(eventQuarantinedAgain, events.F("fingerprint", FormatFingerprint(fp)), events.F("for_ms", duration.Milliseconds()), events.F("addresses", q.addresses))
}

func (l *List) addQuarantine(now time.Duration, fp uint64, q quarantineState) {
	if len(l.quarantined) >= maxQuarantined {
		l.expire(now)
		if n := evictOldest(l.quarantined, maxQuarantined, func(q quarantineState) time.Duration { return q.until }); n > 0 {
			l.queueEvent(eventQuarantineEvicted, events.F("evicted", n))
		}
	}
	l.quarantined[fp] = q
	l.quarantinedCount.Store(int32(len(l.quarantined)))
}

// evictOldest removes the oldest eighth of a table that has reached its limit and
// returns the number of removed elements. Removing one element at a time would scan
// the whole table for each insertion under a flood of requests.
func evictOldest[K cmp.Ordered, V any](table map[K]V, limit int, timeOf func(V) time.Duration) int {
	if len(table) < limit {
		return 0
	}
	keys := slices.SortedFunc(maps.Keys(table), func(a, b K) int {
		return cmp.Or(cmp.Compare(timeOf(table[a]), timeOf(table[b])), cmp.Compare(a, b))
	})
	evicted := len(table) - limit + max(1, limit/8)
	for _, k := range keys[:evicted] {
		delete(table, k)
	}
	return evicted
}

func (l *List) expire(now time.Duration) {
	for fp, q := range l.quarantined {
		if now >= q.until+dynamic.MillisToDuration(l.settings.DurationMS) {
			l.release(fp, "time")
		}
	}
}

func (l *List) release(fp uint64, reason string) {
	delete(l.quarantined, fp)
	l.quarantinedCount.Store(int32(len(l.quarantined)))
	l.queueEvent(eventQuarantineOver, events.F("fingerprint", FormatFingerprint(fp)), events.F("reason", reason))
}
