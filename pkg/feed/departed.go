package feed

import (
	"time"

	"lentilpin/pkg/events"
)

// departure is the deregistration of a backend server.
type departure struct {
	start    string // of the process; see platform.Instance
	at       time.Time
	revision uint64 // of the deregistration; 0 if it is of an earlier era, or not known
}

// withheldRegistration is the registration of a departed backend server in a
// restored store. It is listed at a later time unless it changes before.
type withheldRegistration struct {
	change Change
	until  time.Time
}

// beginEra prepares for replace with the snapshot of a store that was restored from an
// older copy: it withholds the registrations of backend servers that have left since,
// and makes the revisions of the earlier era precede all others.
func (l *registrations) beginEra(snapshot map[string]Change, now time.Time) {
	for key, reg := range l.known {
		reg.revision = 0
		l.known[key] = reg
	}
	for key, d := range l.departed {
		d.revision = 0
		l.departed[key] = d
	}
	clear(l.withheld)
	for key, c := range snapshot {
		d, departed := l.departed[key]
		if !departed || now.Sub(d.at) > departureMemory || c.Deleted {
			continue
		}
		if reg, ok := l.parse(c, now); ok && reg.instance.Start == d.start {
			l.withheld[key] = withheldRegistration{c, now.Add(withholdTime)}
		}
	}
	if len(l.withheld) > 0 {
		l.recorder.Record(eventRegistrationsWithheld, events.F("backends", len(l.withheld)), events.F("withhold_ms", withholdTime.Milliseconds()))
	}
}

// isWithheld reports whether the registration that a change describes is withheld. A
// later change ends that.
func (l *registrations) isWithheld(c Change) bool {
	w, ok := l.withheld[c.Key]
	if ok && w.change.Revision != c.Revision {
		delete(l.withheld, c.Key)
		return false
	}
	return ok
}

// recordDeparture remembers that a backend server was deregistered at a revision.
func (l *registrations) recordDeparture(key string, reg registration, revision uint64, now time.Time) {
	for k, d := range l.departed {
		if now.Sub(d.at) > departureMemory {
			delete(l.departed, k)
		}
	}
	l.departed[key] = departure{reg.instance.Start, now, revision}
}
