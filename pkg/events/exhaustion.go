package events

// Exhaustion turns a growing count of refusals into one event where a budget
// begins to refuse and one where it has ceased. It is not safe for concurrent
// use.
type Exhaustion struct {
	reported uint64
	active   bool
}

// Update takes the count since the start. It returns the refusals since the
// last call and whether the state has changed with them.
func (x *Exhaustion) Update(refused uint64) (count uint64, changed bool) {
	count = refused - x.reported
	x.reported = refused
	changed = (count > 0) != x.active
	x.active = count > 0
	return count, changed
}

// RecordExhaustion records the event of a change: exhausted with the refusals,
// or recovered where there are none.
func RecordExhaustion(rec Recorder, exhausted, recovered *Event, service string, count uint64) {
	if count > 0 {
		rec.Record(exhausted, F("service", service), F("refused", count))
		return
	}
	rec.Record(recovered, F("service", service))
}
