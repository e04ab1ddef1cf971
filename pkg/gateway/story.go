package gateway

import (
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/events"
	"lentilpin/pkg/routing"
)

// sampleEvery is how many requests that went as planned share one log line.
const sampleEvery = 128

// tell writes the line of a request: whole where anything did not go as planned,
// else for one in sampleEvery.
func (c *call) tell() {
	planned := c.wentAsPlanned()
	if planned && c.g.planned.Add(1)%sampleEvery != 0 {
		return
	}
	e := EventRequest
	if planned {
		e = EventRequestSample
	}
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	r := &c.rec
	c.g.o.Recorder.Record(e, events.F("request_id", r.RequestID), events.F("service", r.Service), events.F("route", name),
		events.F("idempotent", c.settings != nil && c.isRead()), events.F("version", c.inForce.version),
		events.F("outcome", r.Outcome), events.F("run", r.Run), events.F("reason", r.Reason), events.F("status", r.Status),
		events.F("duration_ms", millis(r.Duration)), events.F("deadline_ms", c.deadlineMS()), events.F("attempts", r.Attempts))
}

// wentAsPlanned reports whether the first attempt answered well and in time.
func (c *call) wentAsPlanned() bool {
	r := &c.rec
	late := c.route != nil && c.route.TargetLatencyMS > 0 && r.Duration > time.Duration(c.route.TargetLatencyMS)*time.Millisecond
	return r.Outcome == audit.Answered && len(r.Attempts) == 1 && !late && r.Attempts[0].Result == outcomeWords[routing.Success]
}

// deadlineMS is the time that the request had, 0 if it was refused before that
// was known.
func (c *call) deadlineMS() float64 {
	if c.deadline.IsZero() {
		return 0
	}
	return millis(c.deadline.Sub(c.started))
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// seen is what was known of a backend server when it was chosen.
func seen(now time.Duration, s *routing.Server) audit.Seen {
	r, age, ok := s.Reported(now)
	if !ok {
		return audit.Seen{Near: s.Local(), Mute: s.IsMute(now)}
	}
	return audit.Seen{
		Near: s.Local(), Mute: s.IsMute(now), Reported: true, AgeMS: millis(age),
		Running: r.Inflight, Waiting: r.Queued, Slots: r.Slots, Slowdown: r.Slowdown,
	}
}
