package feed

import (
	"maps"
	"time"

	"lentilpin/pkg/events"
)

// departure is the deregistration of a backend server.
type departure struct {
	start string // of the process; see platform.Instance
	at    time.Time
}

// withheldRegistration is the registration of a departed backend server in a
// restored store. It is listed at a later time unless it changes before.
type withheldRegistration struct {
	change Change
	until  time.Time
}

// restored prepares for replace with the snapshot of a store that was restored from an
// older copy, and returns the snapshot without the registrations of backend servers
// that have left since. These are withheld.
func (l *registrations) restored(snapshot map[string]Change, now time.Time) map[string]Change {
	out := maps.Clone(snapshot)
	for key, c := range snapshot {
		d, departed := l.departed[key]
		if !departed || now.Sub(d.at) > departureMemory || c.Deleted {
			continue
		}
		if reg, ok := l.parse(c, now); ok && reg.instance.Start == d.start {
			l.withheld[key] = withheldRegistration{c, now.Add(withholdTime)}
			delete(out, key)
		}
	}
	if len(l.withheld) > 0 {
		l.recorder.Record(eventRegistrationsWithheld, events.F("backends", len(l.withheld)), events.F("withhold_ms", withholdTime.Milliseconds()))
	}
	return out
}

// recordDeparture remembers that a backend server was deregistered.
func (l *registrations) recordDeparture(key string, reg registration, now time.Time) {
	for k, d := range l.departed {
		if now.Sub(d.at) > departureMemory {
			delete(l.departed, k)
		}
	}
	l.departed[key] = departure{reg.instance.Start, now}
}
