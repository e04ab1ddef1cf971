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

// State determines the share of new requests that a backend server may receive.
type State uint8

// States of a backend server.
const (
	StateHealthy   State = iota // weight 1
	StateSlowStart              // weight rises from slowStartWeight to 1
	StateEjected                // weight 0
	StateDraining               // weight 0
)

// String returns the name of the state, for example "slow_start".
func (s State) String() string {
	return [...]string{"healthy", "slow_start", "ejected", "draining"}[s]
}

// Sources of a drain signal.
const (
	SourceResponse = "response"
	SourcePeer     = "peer"
	SourceList     = "list"
	SourceHealth   = "health"
)

// Reasons for a change of state.
const (
	ReasonErrorRatio     = "error_ratio"
	ReasonLatency        = "latency"
	ReasonDrainSignal    = "drain_signal"
	ReasonDrainEnded     = "drain_hold_over"
	ReasonEjectionEnded  = "ejection_over"
	ReasonEjectionBound  = "ejection_bound"
	ReasonNewInList      = "new_in_list"
	ReasonSlowStart      = "slow_start"
	ReasonSlowStartEnded = "slow_start_over"
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

// Change is a change of state or weight of a backend server. From equals To if
// only the weight has changed.
type Change struct {
	Address  string
	From, To State
	Weight   float64
	Reason   string
}

// DrainMark records that a backend server is draining. SignaledAt is the time of the
// original drain signal; it is negative if a peer received the signal before this
// process started. Source is one of the Source constants.
type DrainMark struct {
	Address    string
	SignaledAt time.Duration
	Source     string
}

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

type server struct {
	address string
	window  window

	// The fields below are guarded by Detector.mu.
	state              State
	reason             string
	until              time.Duration // end of ejection or slow start
	since              time.Duration // start of the current state
	ejections          int
	ejectionsChangedAt time.Duration // last change of ejections
	drainMark          DrainMark
	hasDrainMark       bool // drainMark is set
	// State and weight that the last Sweep returned.
	reportedState  State
	reportedWeight float64
	boundReported  bool // ejection_bound_reached was recorded
	failing        sustainedCondition
	slow           sustainedCondition
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

// sustainedCondition is a condition that takes effect only after it has been true
// for some time without interruption.
type sustainedCondition struct {
	active bool
	since  time.Duration
}

// update sets the condition at now and reports whether it has been active for
// minDuration.
func (c *sustainedCondition) update(now time.Duration, active bool, minDuration time.Duration) bool {
	if active && !c.active {
		c.since = now
	}
	c.active = active
	return active && now-c.since >= minDuration
}

type candidate struct {
	backend *server
	errors  attemptStats // for the error ratio
	timed   attemptStats // for the mean latency
	score   float64      // above 1: eligible for ejection, highest first
	reason  string
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

// MarkDraining marks a backend server as draining from now on. source is one of the
// Source constants. The mark takes effect at once; the next Sweep returns the
// change.
func (d *Detector) MarkDraining(now time.Duration, address, source string) {
	d.Merge(now, now, address, source)
}

// Merge adds a drain mark whose original signal was at seen, usually from a peer.
// A time in the future, from a peer whose wall clock is ahead, counts as now. A
// mark that has expired or is not newer than the known one is ignored.
func (d *Detector) Merge(now, seen time.Duration, address, source string) {
	d.mu.Lock()
	defer d.unlockAndRecord()
	seen = min(seen, now)
	if seen+dynamic.MillisToDuration(d.settings.DrainHoldMS) <= now {
		return
	}
	s := (*d.servers.Load())[address]
	listed := s != nil
	if s == nil {
		s = d.unlisted[address]
	}
	if s == nil {
		s = &server{address: address}
	}
	if s.hasDrainMark && s.drainMark.SignaledAt >= seen {
		return
	}
	s.drainMark, s.hasDrainMark = DrainMark{Address: address, SignaledAt: seen, Source: source}, true
	if !listed {
		d.retainUnlisted(now, s)
		return
	}
	if s.state != StateDraining {
		d.setState(now, s, StateDraining, ReasonDrainSignal)
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

// DrainingAddresses returns the sorted addresses of the servers that are marked as
// draining.
func (d *Detector) DrainingAddresses(now time.Duration) []string {
	var out []string
	for _, m := range d.ActiveDrainMarks(now) {
		out = append(out, m.Address)
	}
	return out
}

// ActiveDrainMarks returns the drain marks in force, sorted by address. It includes
// the marks of servers outside the list.
func (d *Detector) ActiveDrainMarks(now time.Duration) []DrainMark {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []DrainMark
	for _, s := range d.sortedServers {
		if d.isDraining(now, s) {
			out = append(out, s.drainMark)
		}
	}
	for _, s := range d.unlisted {
		if d.isDraining(now, s) {
			out = append(out, s.drainMark)
		}
	}
	slices.SortFunc(out, func(a, b DrainMark) int { return cmp.Compare(a.Address, b.Address) })
	return out
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

func (d *Detector) isDraining(now time.Duration, s *server) bool {
	return s.hasDrainMark && now < s.drainMark.SignaledAt+dynamic.MillisToDuration(d.settings.DrainHoldMS)
}

// ejectionBound returns how many servers may be ejected and how many are ejected.
func (d *Detector) ejectionBound() (allowed, ejected int) {
	active := 0
	for _, s := range d.sortedServers {
		if s.state != StateDraining {
			active++
		}
		if s.state == StateEjected {
			ejected++
		}
	}
	return int(float64(active) * d.settings.MaxEjectRatio), ejected
}

// enforceEjectionBound readmits ejected servers, the earliest ejected first, until
// the number of ejected servers is within the limit.
func (d *Detector) enforceEjectionBound(now time.Duration) {
	for allowed, ejected := d.ejectionBound(); ejected > allowed; ejected-- {
		var earliest *server
		for _, s := range d.sortedServers {
			if s.state == StateEjected && (earliest == nil || s.since < earliest.since) {
				earliest = s
			}
		}
		d.readmit(now, earliest, ReasonEjectionBound)
	}
}

func (d *Detector) readmit(now time.Duration, s *server, reason string) {
	s.window.reset()
	d.setState(now, s, StateSlowStart, reason)
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

// ejectOutliers ejects the servers with the highest scores, as many as the limit
// on ejections allows.
func (d *Detector) ejectOutliers(now time.Duration) {
	d.candidates = d.candidates[:0]
	for _, backend := range d.sortedServers {
		if backend.state != StateHealthy && backend.state != StateSlowStart {
			continue
		}
		minSamples := int32(d.settings.MinRequests)
		d.candidates = append(d.candidates, candidate{
			backend: backend, errors: backend.window.newest(now, minSamples, bucketCount, false), timed: backend.window.newest(now, minSamples, latencyBucketCount, true),
		})
	}
	d.scoreErrors(now)
	d.scoreLatency(now)
	slices.SortStableFunc(d.candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	allowed, ejected := d.ejectionBound()
	for _, c := range d.candidates {
		if c.score <= 1 {
			return
		}
		if ejected < allowed {
			ejected++
			d.setState(now, c.backend, StateEjected, c.reason)
		} else if !c.backend.boundReported {
			c.backend.boundReported = true
			d.queueEvent(eventBoundReached, events.F("address", c.backend.address), events.F("reason", c.reason), events.F("ejected", ejected))
		}
	}
}

// scoreErrors scores servers by error ratio. The scores are above those for
// latency, so that failing servers are ejected before slow ones.
func (d *Detector) scoreErrors(now time.Duration) {
	for i := range d.candidates {
		c := &d.candidates[i]
		ratio := c.errors.errorRatio()
		failing := d.hasRatio(c) && ratio >= d.settings.ErrorRatio &&
			ratio >= 2*d.medianOf(i, d.hasRatio, func(c *candidate) float64 { return c.errors.errorRatio() })
		if c.backend.failing.update(now, failing, minFailingDuration) {
			c.score, c.reason = 1e6+ratio, ReasonErrorRatio
		}
	}
}

// hasRatio reports whether there are enough attempts for an error ratio.
func (d *Detector) hasRatio(c *candidate) bool { return int(c.errors.count) >= d.settings.MinRequests }

// hasLatency reports whether there are enough latencies for a mean.
func (d *Detector) hasLatency(c *candidate) bool { return int(c.timed.timed) >= d.settings.MinRequests }

func (d *Detector) scoreLatency(now time.Duration) {
	median := d.medianOf(-1, d.hasLatency, func(c *candidate) float64 { return float64(c.timed.meanLatency()) })
	threshold := max(median*d.settings.LatencyFactor, median+float64(minLatencyGap))
	enoughServers := len(d.medianValues) >= minServersForMedian
	for i := range d.candidates {
		c := &d.candidates[i]
		meanLatency := float64(c.timed.meanLatency())
		slow := enoughServers && d.hasLatency(c) && meanLatency > threshold
		if c.backend.slow.update(now, slow, minSlowDuration) && c.score == 0 {
			c.score, c.reason = meanLatency/threshold, ReasonLatency
		}
	}
}

// medianOf returns the lower median of value over the candidates for which hasData
// returns true, without the one at index excluded (-1: none), or 0 if there are
// none.
func (d *Detector) medianOf(excluded int, hasData func(*candidate) bool, value func(*candidate) float64) float64 {
	d.medianValues = d.medianValues[:0]
	for i := range d.candidates {
		if i != excluded && hasData(&d.candidates[i]) {
			d.medianValues = append(d.medianValues, value(&d.candidates[i]))
		}
	}
	if len(d.medianValues) == 0 {
		return 0
	}
	slices.Sort(d.medianValues)
	return d.medianValues[(len(d.medianValues)-1)/2]
}
