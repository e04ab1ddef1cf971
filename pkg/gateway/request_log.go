package gateway

import (
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/events"
	"lentilpin/pkg/routing"
)

// normalSampleInterval is the number of normally completed requests per sampled
// log line.
const normalSampleInterval = 128

// logRequest logs each request that did not complete normally and one in
// normalSampleInterval of the others.
func (c *call) logRequest() {
	normal := c.completedNormally()
	if normal && c.g.normal.Add(1)%normalSampleInterval != 0 {
		return
	}
	e := EventAbnormalRequest
	if normal {
		e = EventNormalRequest
	}
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	r := &c.record
	fields := []events.Field{events.F("request_id", r.RequestID), events.F("service", r.Service), events.F("route", name),
		events.F("idempotent", c.settings != nil && c.isIdempotent()), events.F("version", c.activeSnapshot.version),
		events.F("outcome", r.Outcome), events.F("run", r.Run), events.F("reason", r.Reason), events.F("status", r.Status),
		events.F("duration_ms", milliseconds(r.Duration)), events.F("deadline_ms", c.deadlineMS()), events.F("attempts", r.Attempts)}
	if r.Admission != nil {
		fields = append(fields, events.F("admission", r.Admission))
	}
	c.g.options.Recorder.Record(e, fields...)
}

// completedNormally reports whether the request was answered by its only
// attempt, at a backend server or a peer, successfully and within the target latency of its route.
func (c *call) completedNormally() bool {
	r := &c.record
	late := c.route != nil && c.route.TargetLatencyMS > 0 && r.Duration > time.Duration(c.route.TargetLatencyMS)*time.Millisecond
	if r.Outcome != audit.OutcomeAnswered || len(r.Attempts) != 1 || late {
		return false
	}
	return r.Attempts[0].Result == outcomeNames[routing.Success] || r.Attempts[0].Result == handedOn
}

// deadlineMS returns the time from the start of the request to its deadline in
// milliseconds; 0 if the request was refused before it had a deadline.
func (c *call) deadlineMS() float64 {
	if c.deadline.IsZero() {
		return 0
	}
	return milliseconds(c.deadline.Sub(c.startTime))
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// serverState returns the state of a backend server, as known to this instance,
// for the request record.
func serverState(now time.Duration, s *routing.Server) audit.BackendState {
	r, age, ok := s.Reported(now)
	if !ok {
		return audit.BackendState{SameDomain: s.Local(), Unresponsive: s.IsUnresponsive(now)}
	}
	return audit.BackendState{
		SameDomain: s.Local(), Unresponsive: s.IsUnresponsive(now), Reported: true, AgeMS: milliseconds(age),
		Running: r.Inflight, Waiting: r.Queued, Slots: r.Slots, Slowdown: r.Slowdown,
	}
}
