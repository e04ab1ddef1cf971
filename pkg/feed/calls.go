package feed

import (
	"sync/atomic"
	"time"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/events"
)

// CallReason says why the store is called. The platform counts every call.
type CallReason uint8

// Reasons of calls to the store.
const (
	CallStart        CallReason = iota // the first pages, and the changes since, of an entry without state
	CallReload                         // pages, and the changes since, of an entry that has lost the history or its relay
	CallPoll                           // a reader polls for changes
	CallFallback                       // an entry whose relay has failed polls for changes
	CallPing                           // a reader checks whether the store answers
	CallTree                           // a settings tree did not arrive through the exchange
	CallConfirmation                   // the settings version is confirmed
	CallEvacuations                    // a poll is held up, or the first page lacks the evacuations
	callReasons
)

var callReasonNames = [callReasons]string{"start", "reload", "poll", "fallback", "ping", "tree", "confirmation", "evacuations"}

// String implements fmt.Stringer.
func (c CallReason) String() string { return callReasonNames[c] }

// callReportInterval is how often the number of calls is recorded as an event.
const callReportInterval = 10 * time.Second

// callCounts counts the calls to the store by reason.
type callCounts [callReasons]atomic.Uint64

// countCall counts one call.
func (r *Reader) countCall(reason CallReason) {
	r.calls[reason].Add(1)
	if r.options.CountCall != nil {
		r.options.CountCall(reason)
	}
}

// loadReason returns the reason of calls that load the full state.
func (r *Reader) loadReason() CallReason {
	if r.log.lastPosition() == (Position{}) {
		return CallStart
	}
	return CallReload
}

// pollReason returns the reason of a poll of the store.
func (r *Reader) pollReason() CallReason {
	if r.hasLostRelay {
		return CallFallback
	}
	return CallPoll
}

// reportCalls records the number of calls since the start, as an event, when it has
// changed.
func (r *Reader) reportCalls() {
	var reported uint64
	for clock.Sleep(r.ctx, callReportInterval) {
		var total uint64
		fields := make([]events.Field, 0, callReasons)
		for reason := range callReasons {
			n := r.calls[reason].Load()
			total += n
			fields = append(fields, events.F(reason.String(), n))
		}
		if total != reported {
			r.options.Recorder.Record(eventCalls, fields...)
			reported = total
		}
	}
}
