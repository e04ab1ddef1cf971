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
	incidentGap    = 2 * time.Second        // failures further apart are separate incidents
	incidentOnset  = 200 * time.Millisecond // breaks this early in an incident may have caused it
	minServers     = 2                      // backend servers needed for a quarantine, whatever the settings say
	maxOnset       = 16                     // fingerprints kept per incident; an entry has 6 connections to a server by default
	maxIncidents   = 1024
	maxBlamed      = 4096
	maxAddresses   = 8 // named for operators
	maxQuarantined = 1024

	// firstShare is the part of the duration that a first quarantine lasts: 5 s
	// of 60 s. Its evidence cannot tell the crashing request from one that was
	// in progress beside it on both servers.
	firstShare = 12
	minFirst   = time.Second
)

// Sources of an entry.
const (
	SourceOwn  = "own"
	SourcePeer = "peer"
)

// Entry is a fingerprint in quarantine.
type Entry struct {
	Fingerprint uint64
	Remaining   time.Duration
	Source      string
	Addresses   []string // backend servers on which it was blamed; empty if a peer reported it
}

// quarantined is a fingerprint that is refused until a time and on probation for
// the duration after it: one attempt at a time is let through as a trial.
type quarantined struct {
	until      time.Duration
	trialUntil time.Duration // end of the trial that is under way
	first      bool          // no trial has failed yet
	source     string
	addresses  []string
}

type incident struct {
	start, last time.Duration
	onset       [maxOnset]breakage // those that broke early
	count       int
	first       uint64 // the first fingerprint, to tell it from others
	broke       bool   // first is set
	confirmed   bool   // something else failed as well
}

// breakage is one broken attempt.
type breakage struct {
	fingerprint uint64
	at          time.Duration
}

type blame struct {
	address string
	at      time.Duration
}

// List holds the requests of one service that crash backend servers.
type List struct {
	rec    events.Recorder
	active atomic.Int32 // quarantined fingerprints
	blames atomic.Int32 // blamed fingerprints

	mu        sync.RWMutex
	settings  dynamic.Quarantine
	trial     time.Duration // longest wait for the result of a trial
	held      map[uint64]quarantined
	blamed    map[uint64][]blame
	incidents map[string]*incident
	pending   []pendingEvent
}

// pendingEvent waits for the mutex to be free: a log stream that blocks must not
// hold up Blocked, which every request calls.
type pendingEvent struct {
	event  *events.Event
	fields []events.Field
}

// New returns an empty list.
func New(settings *dynamic.Service, rec events.Recorder) *List {
	return &List{
		rec: rec, settings: settings.Quarantine, trial: dynamic.MS(settings.AttemptTimeoutMS),
		held: map[uint64]quarantined{}, blamed: map[uint64][]blame{}, incidents: map[string]*incident{},
	}
}

// Configure puts new settings in force. Quarantines that run keep their ends.
func (l *List) Configure(settings *dynamic.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings, l.trial = settings.Quarantine, dynamic.MS(settings.AttemptTimeoutMS)
}

// Fingerprint identifies a request. The parts are separated so that no two
// different requests have the same input.
func Fingerprint(method, target string, body []byte) uint64 {
	var h xxhash.Digest
	h.Reset()
	// Writes to a digest do not fail.
	_, _ = h.WriteString(method)
	_, _ = h.WriteString("\n")
	_, _ = h.WriteString(target)
	_, _ = h.WriteString("\n")
	_, _ = h.Write(body)
	return h.Sum64()
}

// Text is the form of a fingerprint in events and answers to operators.
func Text(fp uint64) string { return fmt.Sprintf("%016x", fp) }

// Blocked reports whether requests with this fingerprint are refused. On
// probation it returns false once and begins a trial with that; it returns true
// until the trial has ended or the attempt timeout has passed.
func (l *List) Blocked(now time.Duration, fp uint64) bool {
	if l.active.Load() == 0 {
		return false
	}
	l.mu.RLock()
	q, ok := l.held[fp]
	l.mu.RUnlock()
	if !ok || now < q.until {
		return ok
	}
	return l.tried(now, fp)
}

// tried begins a trial unless one is under way.
func (l *List) tried(now time.Duration, fp uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.held[fp]
	switch {
	case !ok || now >= q.until+dynamic.MS(l.settings.DurationMS):
		return false
	case now < q.until || now < q.trialUntil:
		return true
	}
	q.trialUntil = now + l.trial
	l.held[fp] = q
	return false
}

// Broken counts an attempt that ended with a broken connection after at least
// one byte of the request was written.
func (l *List) Broken(now time.Duration, fp uint64, address string) {
	l.mu.Lock()
	defer l.unlock()
	in := l.incident(now, address)
	if !in.broke {
		in.broke, in.first = true, fp
	} else if fp != in.first {
		in.confirmed = true
	}
	known := slices.IndexFunc(in.onset[:in.count], func(b breakage) bool { return b.fingerprint == fp })
	switch {
	case known >= 0:
		in.onset[known].at = now
	case now-in.start <= incidentOnset && in.count < maxOnset:
		in.onset[in.count] = breakage{fp, now}
		in.count++
	}
	l.settle(now, address, in)
}

// Failed counts a failure of a backend server that no single request explains: a
// refused connection.
func (l *List) Failed(now time.Duration, address string) {
	l.mu.Lock()
	defer l.unlock()
	in := l.incident(now, address)
	in.confirmed = true
	l.settle(now, address, in)
}

// Ran counts a response, which proves that a request ran without crashing the
// backend server. It removes the blame of the fingerprint and ends its
// quarantine, unless a trial has failed before and the quarantine is in force:
// the response may then belong to an attempt that began earlier.
func (l *List) Ran(now time.Duration, fp uint64) {
	if l.blames.Load() == 0 && l.active.Load() == 0 {
		return
	}
	l.mu.RLock()
	_, blamed := l.blamed[fp]
	_, held := l.held[fp]
	l.mu.RUnlock()
	if !blamed && !held {
		return
	}
	l.mu.Lock()
	defer l.unlock()
	delete(l.blamed, fp)
	l.blames.Store(int32(len(l.blamed)))
	if q, ok := l.held[fp]; ok && (q.first || now >= q.until) {
		l.release(fp, "ran")
	}
}

// Merge takes a quarantine that a peer reported. It lasts no longer than one
// found here would.
func (l *List) Merge(now time.Duration, fp uint64, remaining time.Duration) {
	l.mu.Lock()
	defer l.unlock()
	until := now + min(remaining, dynamic.MS(l.settings.DurationMS))
	if until <= now || until <= l.held[fp].until {
		return
	}
	if q, ok := l.held[fp]; ok {
		q.until = until
		l.held[fp] = q
		return
	}
	l.hold(now, fp, quarantined{until: until, first: true, source: SourcePeer})
	l.note(eventMerged, events.F("fingerprint", Text(fp)), events.F("for_ms", (until-now).Milliseconds()))
}

// Active returns the fingerprints that are refused, in order, and forgets those
// whose probation is over. It is called at least once a second.
func (l *List) Active(now time.Duration) []Entry {
	l.mu.Lock()
	defer l.unlock()
	l.expire(now)
	out := make([]Entry, 0, len(l.held))
	for fp, q := range l.held {
		if now >= q.until {
			continue // on probation, which is the matter of each instance
		}
		out = append(out, Entry{Fingerprint: fp, Remaining: q.until - now, Source: q.source, Addresses: q.addresses})
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// note records an event once the mutex is free.
func (l *List) note(e *events.Event, fields ...events.Field) {
	l.pending = append(l.pending, pendingEvent{e, fields})
}

// unlock frees the mutex and records what note has gathered.
func (l *List) unlock() {
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, p := range pending {
		l.rec.Record(p.event, p.fields...)
	}
}

// incident returns the incident that a failure at now belongs to.
func (l *List) incident(now time.Duration, address string) *incident {
	in := l.incidents[address]
	if in == nil {
		trim(l.incidents, maxIncidents, func(in *incident) time.Duration { return in.last })
		in = &incident{start: now}
		l.incidents[address] = in
	} else if now-in.last >= incidentGap {
		*in = incident{start: now}
	}
	in.last = max(in.last, now)
	return in
}

// settle blames the fingerprints of a confirmed incident.
func (l *List) settle(now time.Duration, address string, in *incident) {
	if !in.confirmed {
		return
	}
	for _, b := range in.onset[:in.count] {
		l.blame(now, b, address)
	}
	in.count = 0
}

func (l *List) blame(now time.Duration, broken breakage, address string) {
	fp := broken.fingerprint
	if q, ok := l.held[fp]; ok && now < q.until+dynamic.MS(l.settings.DurationMS) {
		l.blameAgain(now, broken, address, q)
		return
	}
	oldest := now - dynamic.MS(l.settings.DurationMS)
	blames := slices.DeleteFunc(l.blamed[fp], func(b blame) bool { return b.address == address || b.at <= oldest })
	blames = append(blames, blame{address, now})
	if len(blames) < max(minServers, l.settings.Breaks) {
		trim(l.blamed, maxBlamed, func(b []blame) time.Duration { return b[len(b)-1].at })
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
	duration := dynamic.MS(l.settings.DurationMS)
	duration = min(duration, max(minFirst, duration/firstShare))
	l.hold(now, fp, quarantined{until: now + duration, first: true, source: SourceOwn, addresses: addresses})
	l.note(eventQuarantined, events.F("fingerprint", Text(fp)), events.F("for_ms", duration.Milliseconds()), events.F("addresses", addresses))
}

// blameAgain puts a fingerprint whose trial failed back for the whole duration.
// Breaks before the probation come from attempts that began earlier, also where
// they are confirmed in the probation.
func (l *List) blameAgain(now time.Duration, broken breakage, address string, q quarantined) {
	fp := broken.fingerprint
	if broken.at < q.until {
		return
	}
	duration := dynamic.MS(l.settings.DurationMS)
	q.until, q.trialUntil, q.first, q.source = now+duration, 0, false, SourceOwn
	if !slices.Contains(q.addresses, address) && len(q.addresses) < maxAddresses {
		q.addresses = append(slices.Clone(q.addresses), address)
	}
	l.held[fp] = q
	l.note(eventAgain, events.F("fingerprint", Text(fp)), events.F("for_ms", duration.Milliseconds()), events.F("addresses", q.addresses))
}

func (l *List) hold(now time.Duration, fp uint64, q quarantined) {
	if len(l.held) >= maxQuarantined {
		l.expire(now)
		if n := trim(l.held, maxQuarantined, func(q quarantined) time.Duration { return q.until }); n > 0 {
			l.note(eventEvicted, events.F("evicted", n))
		}
	}
	l.held[fp] = q
	l.active.Store(int32(len(l.held)))
}

// trim makes room in a table that has reached its limit: an eighth of the
// entries goes, those with the lowest time first. Removing one at a time would
// search the whole table for each entry of a flood.
func trim[K cmp.Ordered, V any](table map[K]V, limit int, at func(V) time.Duration) int {
	if len(table) < limit {
		return 0
	}
	keys := slices.SortedFunc(maps.Keys(table), func(a, b K) int {
		return cmp.Or(cmp.Compare(at(table[a]), at(table[b])), cmp.Compare(a, b))
	})
	drop := len(table) - limit + max(1, limit/8)
	for _, k := range keys[:drop] {
		delete(table, k)
	}
	return drop
}

func (l *List) expire(now time.Duration) {
	for fp, q := range l.held {
		if now >= q.until+dynamic.MS(l.settings.DurationMS) {
			l.release(fp, "time")
		}
	}
}

func (l *List) release(fp uint64, reason string) {
	delete(l.held, fp)
	l.active.Store(int32(len(l.held)))
	l.note(eventReleased, events.F("fingerprint", Text(fp)), events.F("reason", reason))
}
