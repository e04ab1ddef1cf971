package outlier

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/routing"
)

const (
	slowStartWeight = 0.1                   // weight at the beginning of slow start
	minLatencyGap   = 10 * time.Millisecond // below this, jitter of short requests would cause ejections
	// minFailingDuration and minSlowDuration are how long a backend server must be
	// an outlier by error ratio or by latency without interruption. The recent
	// attempts of different servers differ in age: when all servers become slow at
	// once, those that received no requests before look slow for up to 2 s, and when
	// all recover, those with few requests still look failing. The duration for
	// errors is shorter because each error costs a retry.
	minFailingDuration  = time.Second
	minSlowDuration     = 2 * time.Second
	minServersForMedian = 3    // servers with enough samples; a median of fewer is not meaningful
	maxUnlisted         = 1024 // servers outside the list whose state is kept
)

// ServerInfo describes a backend server to operators.
type ServerInfo struct {
	Address    string
	State      State
	Weight     float64
	Reason     string        // one of the Reason constants; empty if the server started at full weight
	Remaining  time.Duration // until the end of draining, ejection or slow start
	Attempts   int           // in the last 10 s
	ErrorRatio float64
	Latency    time.Duration // mean over the last 10 s
	Ejections  int           // ejections that lengthen the next one
}

// Detector detects outliers among the backend servers of one service. It is safe
// for concurrent use. Times are durations on the clock of the calling
// code.
type Detector struct {
	recorder events.Recorder
	servers  atomic.Pointer[map[string]*server] // servers in the list, by address; replaced as a whole

	mu            sync.Mutex
	settings      dynamic.Outlier
	sortedServers []*server          // servers in the list, sorted by address
	unlisted      map[string]*server // servers outside the list, by address
	candidates    []candidate
	medianValues  []float64
	pendingEvents []pendingEvent
}

// pendingEvent is an event that is recorded after the mutex is released: a blocked
// log stream must not delay MarkDraining, which is called while responses are
// handled.
type pendingEvent struct {
	event  *events.Event
	fields []events.Field
}

// New returns a detector without backend servers.
func New(settings *dynamic.Service, recorder events.Recorder) *Detector {
	d := &Detector{recorder: recorder, settings: settings.Outlier, unlisted: map[string]*server{}}
	d.servers.Store(&map[string]*server{})
	return d
}

// Configure applies new settings. Ejections and slow starts in progress keep their
// end.
func (d *Detector) Configure(settings *dynamic.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings = settings.Outlier
}

// Record counts one completed attempt. Addresses outside the list are ignored.
func (d *Detector) Record(now time.Duration, address string, latency time.Duration, o routing.Outcome) {
	if s := (*d.servers.Load())[address]; s != nil {
		s.window.record(now, latency, o)
	}
}

// Update replaces the list of backend servers. The next Sweep returns the resulting
// changes.
func (d *Detector) Update(now time.Duration, addresses []string) {
	d.mu.Lock()
	defer d.unlockAndRecord()
	old := *d.servers.Load()
	list := make(map[string]*server, len(addresses))
	var added []*server
	for _, a := range addresses {
		s := old[a]
		if s == nil {
			if s = d.unlisted[a]; s == nil {
				s = &server{address: a}
			}
			s.reportedState, s.reportedWeight = StateHealthy, 1 // initial state of a new server in routing
			if s.state == StateSlowStart {
				s.state = StateHealthy
			}
			added = append(added, s)
			delete(d.unlisted, a)
		}
		list[a] = s
	}
	for a, s := range old {
		if list[a] == nil {
			d.retainUnlisted(now, s)
		}
	}
	d.sortedServers = slices.SortedFunc(maps.Values(list), func(a, b *server) int { return cmp.Compare(a.address, b.address) })
	d.servers.Store(&list)
	d.expireUnlisted(now)
	d.startAdded(now, added)
}

// retainUnlisted keeps the state of a server outside the list while its drain mark
// or ejections are relevant. Above maxUnlisted, the server whose state expires
// first is evicted.
func (d *Detector) retainUnlisted(now time.Duration, s *server) {
	if d.relevantUntil(s) <= now {
		return
	}
	d.unlisted[s.address] = s
	if len(d.unlisted) <= maxUnlisted {
		return
	}
	d.expireUnlisted(now)
	if len(d.unlisted) <= maxUnlisted {
		return
	}
	earliest := s
	for _, other := range d.unlisted {
		if until := d.relevantUntil(other); until < d.relevantUntil(earliest) || until == d.relevantUntil(earliest) && other.address < earliest.address {
			earliest = other
		}
	}
	delete(d.unlisted, earliest.address)
}

// expireUnlisted removes servers outside the list whose state has expired.
func (d *Detector) expireUnlisted(now time.Duration) {
	maps.DeleteFunc(d.unlisted, func(_ string, s *server) bool { return d.relevantUntil(s) <= now })
}

func (d *Detector) relevantUntil(s *server) time.Duration {
	var until time.Duration
	if s.hasDrainMark {
		until = s.drainMark.SignaledAt + dynamic.MillisToDuration(d.settings.DrainHoldMS)
	}
	if s.ejections > 0 {
		until = max(until, s.until, s.ejectionsChangedAt+time.Duration(s.ejections)*dynamic.MillisToDuration(d.settings.MaxEjectMS))
	}
	return until
}

// startAdded sets the initial state of servers that are new in the list. Servers
// that are still draining or ejected remain in that state.
func (d *Detector) startAdded(now time.Duration, added []*server) {
	inSlowStart := 0
	for _, s := range d.sortedServers {
		if s.state == StateSlowStart {
			inSlowStart++
		}
	}
	toStart := added[:0]
	for _, s := range added {
		if d.isDraining(now, s) {
			d.setState(now, s, StateDraining, ReasonDrainSignal)
		} else if s.state != StateEjected || s.until <= now {
			toStart = append(toStart, s)
		}
	}
	useSlowStart := 2*(inSlowStart+len(toStart)) <= len(d.sortedServers)
	for _, s := range toStart {
		s.window.reset()
		if !useSlowStart || d.settings.SlowStartMS == 0 {
			s.state, s.reason, s.since = StateHealthy, "", now
			continue
		}
		d.setState(now, s, StateSlowStart, ReasonNewInList)
	}
}

// Health records the result of a health check of an ejected backend server. A
// failed check postpones the readmission, at most until maxEjectMs after the
// ejection.
func (d *Detector) Health(now time.Duration, address string, ok bool) {
	d.mu.Lock()
	defer d.unlockAndRecord()
	s := (*d.servers.Load())[address]
	if s == nil || s.state != StateEjected || ok {
		return
	}
	latest := s.since + dynamic.MillisToDuration(d.settings.MaxEjectMS)
	s.until = max(s.until, min(latest, now+dynamic.MillisToDuration(d.settings.HealthPeriodMS)))
}

// ServerInfo describes a backend server of the list. It returns false for an address
// outside the list.
func (d *Detector) ServerInfo(now time.Duration, address string) (ServerInfo, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := (*d.servers.Load())[address]
	if s == nil {
		return ServerInfo{}, false
	}
	total := s.window.total(now)
	info := ServerInfo{
		Address: address, State: s.state, Weight: d.weight(now, s), Reason: s.reason,
		Attempts: int(total.count), ErrorRatio: total.errorRatio(), Latency: total.meanLatency(), Ejections: s.ejections,
	}
	switch s.state {
	case StateDraining:
		info.Remaining = max(0, s.drainMark.SignaledAt+dynamic.MillisToDuration(d.settings.DrainHoldMS)-now)
	case StateEjected, StateSlowStart:
		info.Remaining = max(0, s.until-now)
	case StateHealthy:
	}
	return info, true
}

// StateCounts returns how many backend servers of the list are ejected and how many
// are draining.
func (d *Detector) StateCounts() (ejected, draining int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sortedServers {
		switch s.state {
		case StateEjected:
			ejected++
		case StateDraining:
			draining++
		case StateHealthy, StateSlowStart:
		}
	}
	return ejected, draining
}

// queueEvent queues an event for unlockAndRecord.
func (d *Detector) queueEvent(e *events.Event, fields ...events.Field) {
	d.pendingEvents = append(d.pendingEvents, pendingEvent{e, fields})
}

// unlockAndRecord releases the mutex and records the queued events.
func (d *Detector) unlockAndRecord() {
	pendingEvents := d.pendingEvents
	d.pendingEvents = nil
	d.mu.Unlock()
	for _, p := range pendingEvents {
		d.recorder.Record(p.event, p.fields...)
	}
}

// setState changes the state of a server and records the event.
func (d *Detector) setState(now time.Duration, s *server, to State, reason string) {
	from := s.state
	s.state, s.reason, s.since, s.boundReported = to, reason, now, false
	s.failing, s.slow = sustainedCondition{}, sustainedCondition{}
	address, reasonField := events.F("address", s.address), events.F("reason", reason)
	switch to {
	case StateDraining:
		d.queueEvent(eventDraining, address, events.F("source", s.drainMark.Source))
	case StateEjected:
		duration := min(dynamic.MillisToDuration(d.settings.EjectMS)<<min(s.ejections, 16), dynamic.MillisToDuration(d.settings.MaxEjectMS))
		s.until, s.ejectionsChangedAt = now+duration, now
		s.ejections++
		total := s.window.total(now)
		d.queueEvent(eventEjected, address, reasonField, events.F("for_ms", duration.Milliseconds()),
			events.F("attempts", total.count), events.F("errors", total.errors), events.F("latency_ms", total.meanLatency().Milliseconds()))
	case StateSlowStart:
		s.until = now + dynamic.MillisToDuration(d.settings.SlowStartMS)
		switch from {
		case StateDraining:
			d.queueEvent(eventDrainEnded, address, reasonField)
		case StateEjected:
			d.queueEvent(eventReadmitted, address, reasonField)
		case StateHealthy, StateSlowStart:
			d.queueEvent(eventSlowStart, address, reasonField)
		}
	case StateHealthy:
		d.queueEvent(eventFullWeight, address, reasonField)
	}
}

func (d *Detector) weight(now time.Duration, s *server) float64 {
	switch s.state {
	case StateHealthy:
		return 1
	case StateSlowStart:
		duration := dynamic.MillisToDuration(d.settings.SlowStartMS)
		if duration <= 0 || now >= s.until {
			return 1
		}
		progress := max(0, 1-float64(s.until-now)/float64(duration))
		return slowStartWeight + (1-slowStartWeight)*progress
	case StateEjected, StateDraining:
	}
	return 0
}

// Sweep updates the states and returns the changes since the last Sweep, sorted by
// address. It must be called every 100 ms and after MarkDraining, Merge and Update;
// the calling code applies the weights.
func (d *Detector) Sweep(now time.Duration) []Change {
	d.mu.Lock()
	defer d.unlockAndRecord()
	for _, s := range d.sortedServers {
		d.advanceState(now, s)
	}
	d.enforceEjectionBound(now)
	d.ejectOutliers(now)
	var out []Change
	for _, s := range d.sortedServers {
		w := d.weight(now, s)
		if s.state == s.reportedState && w == s.reportedWeight {
			continue
		}
		out = append(out, Change{Address: s.address, From: s.reportedState, To: s.state, Weight: w, Reason: s.reason})
		s.reportedState, s.reportedWeight = s.state, w
	}
	return out
}

// advanceState ends an expired drain mark, ejection or slow start and decrements
// the number of ejections after each MaxEjectMS without an ejection.
func (d *Detector) advanceState(now time.Duration, s *server) {
	if s.hasDrainMark && !d.isDraining(now, s) {
		s.hasDrainMark = false
	}
	switch {
	case s.state == StateDraining && !s.hasDrainMark:
		d.readmit(now, s, ReasonDrainEnded)
	case s.state == StateEjected && now >= s.until:
		d.readmit(now, s, ReasonEjectionEnded)
	case s.state == StateSlowStart && now >= s.until:
		d.setState(now, s, StateHealthy, ReasonSlowStartEnded)
	}
	if forgetAfter := dynamic.MillisToDuration(d.settings.MaxEjectMS); s.state != StateEjected && s.ejections > 0 && now-s.ejectionsChangedAt >= forgetAfter {
		s.ejections--
		s.ejectionsChangedAt = now
	}
}
