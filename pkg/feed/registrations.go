package feed

import (
	"maps"
	"slices"
	"time"

	"lentilpin/pkg/events"
	"lentilpin/pkg/platform"
)

const (
	// expiredHoldTime is how long backend servers whose registrations have expired
	// stay listed; those that are alive have registered again by then.
	expiredHoldTime = 2 * time.Second
	// minExpiredShare is the share of a service's backend servers above which
	// registrations that vanish at once are considered expired; fewer are
	// considered deregistered.
	minExpiredShare = 0.5
	// departureMemory is how long a deregistered backend server is remembered, longer
	// than the age of a copy from which the store is restored.
	departureMemory = time.Minute
	// withholdTime is how long a deregistered backend server that a restored store
	// registers again is not listed: three heartbeat intervals, after which the store
	// removes it if it is gone, and a margin.
	withholdTime = 6 * time.Second
)

// registration is the valid registration of one backend server.
type registration struct {
	instance  platform.Instance
	revision  uint64
	coldUntil time.Time // end of the warm-up
}

// registrations holds the registered backend servers as last read, by key.
type registrations struct {
	translator Translator
	recorder   events.Recorder
	known      map[string]registration
	heldUntil  map[string]time.Time // when a held backend server is dropped
	departed   map[string]departure // backend servers that were deregistered lately
	withheld   map[string]withheldRegistration
	// isEvacuated reports whether a failure domain is evacuated.
	isEvacuated func(failureDomain string) bool
}

// holdGroup is a group of backend servers of which most must vanish to be held. Those that
// are evacuated say nothing about the others.
type holdGroup struct {
	service     string
	isEvacuated bool
}

func (l *registrations) holdGroup(i *platform.Instance) holdGroup {
	return holdGroup{i.Service, l.isEvacuated(i.FailureDomain)}
}

// newRegistrations returns an empty list.
func newRegistrations(translator Translator, recorder events.Recorder) registrations {
	return registrations{
		translator: translator, recorder: recorder, known: map[string]registration{},
		heldUntil: map[string]time.Time{}, departed: map[string]departure{}, withheld: map[string]withheldRegistration{},
		isEvacuated: func(string) bool { return false },
	}
}

// replace replaces all registrations by those of a snapshot; vanished ones may be
// held.
func (l *registrations) replace(snapshot map[string]Change, now time.Time, storeFailedRecently bool) {
	next, vanished := map[string]registration{}, map[string]uint64{}
	for key, c := range snapshot {
		if l.translator.Kind(key) != Registration || c.Deleted || l.isWithheld(c) {
			continue
		}
		if reg, ok := l.parse(c, now); ok {
			next[key] = reg
			delete(l.departed, key)
			delete(l.heldUntil, key)
		}
	}
	for key := range l.known {
		if c, exists := snapshot[key]; !exists || c.Deleted {
			vanished[key] = c.Revision
		}
	}
	held := l.held(vanished, now, storeFailedRecently)
	for key := range vanished {
		if held[key] {
			next[key] = l.known[key]
		} else {
			l.recordDeparture(key, l.known[key], vanished[key], now)
		}
	}
	l.known = next
}

// apply applies changes and reports whether any of them was a new change of a
// registration. All deletions are handled together, because whether they are held
// depends on their number.
func (l *registrations) apply(changes []Change, now time.Time, storeFailedRecently bool) bool {
	vanished, dirty := map[string]uint64{}, false // revisions of the deregistrations
	for _, c := range changes {
		if l.translator.Kind(c.Key) != Registration || l.isKnown(c) {
			continue
		}
		dirty = true
		delete(vanished, c.Key)
		delete(l.withheld, c.Key)
		if c.Deleted {
			if _, listed := l.known[c.Key]; listed {
				vanished[c.Key] = c.Revision
			}
			continue
		}
		delete(l.heldUntil, c.Key)
		if reg, ok := l.parse(c, now); ok {
			l.known[c.Key] = reg
			delete(l.departed, c.Key)
		} else {
			delete(l.known, c.Key)
		}
	}
	held := l.held(vanished, now, storeFailedRecently)
	for key, revision := range vanished {
		if !held[key] {
			l.recordDeparture(key, l.known[key], revision, now)
			delete(l.known, key)
		}
	}
	return dirty
}

// isKnown reports whether a change is not later than what is known of its key. A relay
// may deliver changes that the entry has read from the store before.
func (l *registrations) isKnown(c Change) bool {
	return c.Revision <= max(l.known[c.Key].revision, l.departed[c.Key].revision)
}

// parse decodes a registration. A refused registration is recorded as an event.
func (l *registrations) parse(c Change, now time.Time) (registration, bool) {
	parsed, ok := l.translator.Registration(c.Key, c.Value)
	if !ok {
		l.recorder.Record(eventRegistrationRefused, events.F("key", c.Key), events.F("revision", c.Revision))
		return registration{}, false
	}
	return registration{instance: parsed.Instance, revision: c.Revision, coldUntil: now.Add(parsed.WarmupRemaining)}, true
}

// held returns those of the vanished backend servers that stay listed, and starts
// and ends their holds.
func (l *registrations) held(vanished map[string]uint64, now time.Time, storeFailedRecently bool) map[string]bool {
	known, gone := map[holdGroup]int{}, map[holdGroup]int{}
	if len(vanished) > 0 {
		for key, reg := range l.known {
			group := l.holdGroup(&reg.instance)
			known[group]++
			if _, isGone := vanished[key]; isGone {
				gone[group]++
			}
		}
	}
	out, started := map[string]bool{}, 0
	for key := range vanished {
		reg := l.known[key]
		group := l.holdGroup(&reg.instance)
		until, held := l.heldUntil[key]
		if !held && storeFailedRecently && minExpiredShare*float64(known[group]) < float64(gone[group]) {
			until, held = now.Add(expiredHoldTime), true
			l.heldUntil[key] = until
			started++
		}
		if held && now.Before(until) {
			out[key] = true
			continue
		}
		delete(l.heldUntil, key)
	}
	if started > 0 {
		l.recorder.Record(eventRegistrationsHeld, events.F("backends", started), events.F("hold_ms", expiredHoldTime.Milliseconds()))
	}
	return out
}

// endHolds drops held backend servers whose hold has ended, lists withheld ones whose
// time has passed, and reports whether there were any.
func (l *registrations) endHolds(now time.Time) bool {
	dirty := false
	for key, w := range l.withheld {
		if now.Before(w.until) {
			continue
		}
		delete(l.withheld, key)
		if reg, ok := l.parse(w.change, now); ok {
			l.known[key] = reg
			dirty = true
		}
	}
	for key, until := range l.heldUntil {
		if !now.Before(until) {
			l.recordDeparture(key, l.known[key], 0, now)
			delete(l.heldUntil, key)
			delete(l.known, key)
			dirty = true
		}
	}
	return dirty
}

// limitWait limits a wait so that it ends no later than the first hold or withheld
// registration.
func (l *registrations) limitWait(now time.Time, wait time.Duration) time.Duration {
	for _, until := range l.heldUntil {
		wait = min(wait, max(until.Sub(now), time.Millisecond))
	}
	for _, w := range l.withheld {
		wait = min(wait, max(w.until.Sub(now), time.Millisecond))
	}
	return wait
}

// instances returns the instance list in the order of keys. If most registrations
// state a start time, one without it is left out, because it comes from another
// writer.
func (l *registrations) instances(now time.Time) []platform.Instance {
	started := 0
	for _, reg := range l.known {
		if reg.instance.Start != "" {
			started++
		}
	}
	needsStart := 2*started > len(l.known)
	out := make([]platform.Instance, 0, len(l.known))
	for _, key := range slices.Sorted(maps.Keys(l.known)) {
		reg := l.known[key]
		if needsStart && reg.instance.Start == "" {
			continue
		}
		reg.instance.WarmupRemaining = max(0, reg.coldUntil.Sub(now))
		out = append(out, reg.instance)
	}
	return out
}
