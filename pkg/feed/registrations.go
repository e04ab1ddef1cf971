package feed

import (
	"maps"
	"slices"
	"time"

	"lentilpin/pkg/events"
	"lentilpin/pkg/platform"
)

const (
	// lapseHold is how long backend servers whose registrations have lapsed
	// stay listed: those that are alive are back by then.
	lapseHold = 2 * time.Second
	// lapseShare is the share of a service's backend servers that must vanish at
	// once for that; fewer have left.
	lapseShare = 0.5
)

// registered is one valid registration.
type registered struct {
	instance platform.Instance
	revision uint64
	coldTill time.Time
}

// registrations are the backend servers as last read.
type registrations struct {
	translator Translator
	rec        events.Recorder
	known      map[string]registered
	lapsed     map[string]time.Time // until when a vanished one stays listed
}

// replace takes a snapshot.
func (l *registrations) replace(all map[string]Change, now time.Time, inTrouble bool) {
	next, vanished := map[string]registered{}, map[string]bool{}
	for key, c := range all {
		if l.translator.Kind(key) != Registration || c.Deleted {
			continue
		}
		if one, ok := l.parse(c, now); ok {
			next[key] = one
		}
	}
	for key := range l.known {
		if c, there := all[key]; !there || c.Deleted {
			vanished[key] = true
		}
	}
	for key := range l.held(vanished, now, inTrouble) {
		next[key] = l.known[key]
	}
	l.known = next
}

// apply takes changes and reports whether there were any of the list. Deletions
// are judged together, because what becomes of them depends on their number.
func (l *registrations) apply(changes []Change, now time.Time, inTrouble bool) bool {
	vanished, dirty := map[string]bool{}, false
	for _, c := range changes {
		if l.translator.Kind(c.Key) != Registration || c.Revision <= l.known[c.Key].revision {
			continue
		}
		dirty = true
		delete(vanished, c.Key)
		if c.Deleted {
			if _, listed := l.known[c.Key]; listed {
				vanished[c.Key] = true
			}
			continue
		}
		delete(l.lapsed, c.Key)
		if one, ok := l.parse(c, now); ok {
			l.known[c.Key] = one
		} else {
			delete(l.known, c.Key)
		}
	}
	held := l.held(vanished, now, inTrouble)
	for key := range vanished {
		if !held[key] {
			delete(l.known, key)
		}
	}
	return dirty
}

func (l *registrations) parse(c Change, now time.Time) (registered, bool) {
	one, ok := l.translator.Registration(c.Key, c.Value)
	if !ok {
		l.rec.Record(eventRegistrationRefused, events.F("key", c.Key), events.F("revision", c.Revision))
		return registered{}, false
	}
	return registered{instance: one.Instance, revision: c.Revision, coldTill: now.Add(one.ColdFor)}, true
}

// held returns those of the vanished backend servers that stay listed.
func (l *registrations) held(vanished map[string]bool, now time.Time, inTrouble bool) map[string]bool {
	known, gone := map[string]int{}, map[string]int{}
	for key, one := range l.known {
		known[one.instance.Service]++
		if vanished[key] {
			gone[one.instance.Service]++
		}
	}
	out := map[string]bool{}
	for key := range vanished {
		service := l.known[key].instance.Service
		until, held := l.lapsed[key]
		if !held && inTrouble && lapseShare*float64(known[service]) < float64(gone[service]) {
			until, held = now.Add(lapseHold), true
			l.lapsed[key] = until
		}
		if held && now.Before(until) {
			out[key] = true
			continue
		}
		delete(l.lapsed, key)
	}
	return out
}

// expire drops vanished backend servers whose hold is over and reports whether
// there were any.
func (l *registrations) expire(now time.Time) bool {
	dropped := false
	for key, until := range l.lapsed {
		if !now.Before(until) {
			delete(l.lapsed, key)
			delete(l.known, key)
			dropped = true
		}
	}
	return dropped
}

// patience shortens a wait so that it does not outlast a hold.
func (l *registrations) patience(now time.Time, wait time.Duration) time.Duration {
	for _, until := range l.lapsed {
		wait = min(wait, max(until.Sub(now), time.Millisecond))
	}
	return wait
}

// instances returns the list in the order of keys. Where most backend servers
// state their start, one that does not comes from another writer.
func (l *registrations) instances(now time.Time) []platform.Instance {
	started := 0
	for _, one := range l.known {
		if one.instance.Start != "" {
			started++
		}
	}
	needsStart := 2*started > len(l.known)
	out := make([]platform.Instance, 0, len(l.known))
	for _, key := range slices.Sorted(maps.Keys(l.known)) {
		one := l.known[key]
		if needsStart && one.instance.Start == "" {
			continue
		}
		one.instance.ColdFor = max(0, one.coldTill.Sub(now))
		out = append(out, one.instance)
	}
	return out
}
