package feed

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lentilpin/pkg/events"
	"lentilpin/pkg/platform"
)

const (
	// endedEvacuationMemory is how long the end of an evacuation is remembered, longer
	// than the age of a stale page or of a change that a relay delivers again.
	endedEvacuationMemory = time.Minute
	// restoredHoldTime is how long an evacuation stays in force that a store restored from
	// an older copy does not hold. The operator can write it again meanwhile.
	restoredHoldTime = time.Minute
	// maxUnknownDomains is the number of evacuated failure domains without backend servers
	// that are published. Other writers may write any number of keys.
	maxUnknownDomains = 64
)

// evacuation is the last known change of one key of an evacuation.
type evacuation struct {
	failureDomain string
	revision      uint64    // of the change; 0 if it is of an earlier era
	endedAt       time.Time // zero: in force
	heldUntil     time.Time // end of one that a restored store does not hold; zero: it holds it
}

// isInForce reports whether the failure domain is evacuated.
func (e *evacuation) isInForce() bool { return e.endedAt.IsZero() }

// evacuations holds the evacuated failure domains as last read. It is safe for concurrent
// use: evacuations are also read apart while a reply of the store is held up.
type evacuations struct {
	translator Translator
	recorder   events.Recorder

	mu      sync.Mutex
	known   map[string]evacuation // by key
	inForce map[string]string     // keys by failure domain
	sorted  []string              // keys of inForce in order; nil: to be built
	sweptAt time.Time             // last call of forgetEnded that had an effect
}

func newEvacuations(translator Translator, recorder events.Recorder) *evacuations {
	return &evacuations{translator: translator, recorder: recorder, known: map[string]evacuation{}, inForce: map[string]string{}}
}

// apply applies changes and reports whether any of them was a new one of an evacuation. A
// change that is not later than the known one of its key is ignored.
func (l *evacuations) apply(changes []Change, now time.Time) (dirty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		if l.translator.Kind(c.Key) == Evacuation && c.Revision > l.known[c.Key].revision {
			l.set(c, now)
			dirty = true
		}
	}
	return dirty
}

// set records a change of a key. l.mu must be held.
func (l *evacuations) set(c Change, now time.Time) {
	e := evacuation{failureDomain: l.translator.Evacuation(c.Key), revision: c.Revision}
	if c.Deleted {
		e.endedAt = now
		delete(l.inForce, e.failureDomain)
		l.forgetEnded(now)
	} else {
		l.inForce[e.failureDomain] = c.Key
	}
	l.known[c.Key], l.sorted = e, nil
}

// forgetEnded deletes the evacuations that ended long ago, at most once in
// endedEvacuationMemory. l.mu must be held.
func (l *evacuations) forgetEnded(now time.Time) {
	if now.Sub(l.sweptAt) < endedEvacuationMemory {
		return
	}
	l.sweptAt = now
	for key, e := range l.known {
		if !e.isInForce() && now.Sub(e.endedAt) > endedEvacuationMemory {
			delete(l.known, key)
		}
	}
}

// replace replaces all evacuations by those of a snapshot as of a position. Evacuations
// that began later, or whose hold has not ended, stay in force.
func (l *evacuations) replace(snapshot map[string]Change, at Position, now time.Time) {
	l.endHolds(now)
	var keys []Change
	for key, c := range snapshot {
		if l.translator.Kind(key) == Evacuation {
			keys = append(keys, c)
		}
	}
	l.apply(l.changesTo(keys, at), now)
}

// changesTo returns the changes that lead to the given keys of evacuations, which are all
// that exist at a position. The deletion of a key has the revision of the position.
func (l *evacuations) changesTo(keys []Change, at Position) (out []Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	exists := make(map[string]bool, len(keys))
	for _, c := range keys {
		exists[c.Key] = true
		if c.Revision > l.known[c.Key].revision {
			out = append(out, c)
		}
	}
	for _, key := range l.inForce {
		if e := l.known[key]; !exists[key] && e.heldUntil.IsZero() && e.revision < at.Revision {
			out = append(out, Change{Key: key, Revision: at.Revision, Deleted: true})
		}
	}
	return out
}

// beginEra prepares for replace with the snapshot of a store that was restored from an
// older copy: an evacuation that the copy does not hold stays in force for restoredHoldTime,
// and the revisions of the earlier era precede all others.
func (l *evacuations) beginEra(snapshot map[string]Change, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, e := range l.known {
		if !e.isInForce() {
			delete(l.known, key)
			continue
		}
		e.revision = 0
		if c, exists := snapshot[key]; e.heldUntil.IsZero() && (!exists || c.Deleted) {
			e.heldUntil = now.Add(restoredHoldTime)
			l.recorder.Record(eventEvacuationHeld, events.F("failure_domain", e.failureDomain), events.F("hold_ms", restoredHoldTime.Milliseconds()))
		}
		l.known[key] = e
	}
}

// endHolds ends the evacuations whose hold has ended, and reports whether there were any.
func (l *evacuations) endHolds(now time.Time) (dirty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, e := range l.known {
		if !e.heldUntil.IsZero() && !now.Before(e.heldUntil) {
			l.set(Change{Key: key, Revision: e.revision, Deleted: true}, now)
			dirty = true
		}
	}
	return dirty
}

// lastRevision returns the highest known revision of a change of an evacuation.
func (l *evacuations) lastRevision() (revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.known {
		revision = max(revision, e.revision)
	}
	return revision
}

// contains reports whether a failure domain is evacuated.
func (l *evacuations) contains(failureDomain string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.inForce[failureDomain]
	return ok
}

// withRegistered returns an instance list of the evacuated failure domains and the
// registered backend servers. All failure domains that have a backend server are in it,
// and at most maxUnknownDomains others.
func (l *evacuations) withRegistered(registered []platform.Instance) []platform.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.inForce) == 0 {
		return registered
	}
	if l.sorted == nil {
		for domain := range l.inForce {
			l.sorted = append(l.sorted, domain)
		}
		slices.Sort(l.sorted)
	}
	listed := map[string]bool{}
	for _, i := range registered {
		if _, ok := l.inForce[i.FailureDomain]; ok {
			listed[i.FailureDomain] = true
		}
	}
	unknown := 0
	for _, domain := range l.sorted {
		if unknown == maxUnknownDomains {
			break
		}
		if !listed[domain] {
			listed[domain] = true
			unknown++
		}
	}
	out := make([]platform.Instance, 0, len(listed)+len(registered))
	for domain := range listed {
		out = append(out, platform.Instance{Name: domain, Kind: platform.KindFailureDomain, FailureDomain: domain, State: platform.StateEvacuated})
	}
	slices.SortFunc(out, func(a, b platform.Instance) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return append(out, registered...)
}
