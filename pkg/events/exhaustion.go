package events

// ExhaustionDetector detects from the total number of refusals of a budget when the
// budget becomes exhausted and when it recovers, so that each change is reported
// by one event. It is not safe for concurrent use.
type ExhaustionDetector struct {
	lastRefused uint64
	exhausted   bool
}

// Update takes the total number of refusals since the start. It returns the
// number of refusals since the last call and whether the budget has become
// exhausted (some refusals after a call with none) or has recovered (none after a
// call with some).
func (x *ExhaustionDetector) Update(refused uint64) (newRefusals uint64, changed bool) {
	newRefusals = refused - x.lastRefused
	x.lastRefused = refused
	changed = (newRefusals > 0) != x.exhausted
	x.exhausted = newRefusals > 0
	return newRefusals, changed
}

// RecordExhaustion records a change that Update has reported: the event exhausted
// with the number of refusals, or the event recovered if refused is 0.
func RecordExhaustion(recorder Recorder, exhausted, recovered *Event, service string, refused uint64) {
	if refused > 0 {
		recorder.Record(exhausted, F("service", service), F("refused", refused))
		return
	}
	recorder.Record(recovered, F("service", service))
}
