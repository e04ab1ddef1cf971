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

// State is what a backend server may get.
type State uint8

// States of a backend server.
const (
	Healthy   State = iota // full weight
	SlowStart              // weight rises to 1
	Ejected                // weight 0
	Draining               // weight 0
)

// String returns the name of the state.
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

// Reasons of a change.
const (
	ReasonErrors      = "error_ratio"
	ReasonLatency     = "latency"
	ReasonDrain       = "drain_signal"
	ReasonDrainEnded  = "drain_hold_over"
	ReasonEjectEnded  = "ejection_over"
	ReasonEjectBound  = "ejection_bound"
	ReasonNew         = "new_in_list"
	ReasonSlowStart   = "slow_start"
	ReasonSlowStarted = "slow_start_over"
)

const (
	slowStartWeight = 0.1                   // weight at the beginning of slow start
	minLatencyGap   = 10 * time.Millisecond // jitter of short requests below this ejects nobody
	// failingFor and slowFor are how long a backend server must be the failing or
	// slow one without a break. The newest attempts of servers are of different
	// age. When all become slow at once, those that get work only since then look
	// slow for up to 2 s; when all work again, those with little work look as if
	// they still failed. Errors get less time, as each one costs a retry.
	failingFor = time.Second
	slowFor    = 2 * time.Second
	minJudged  = 3    // servers with data below which there is no meaningful median
	maxKept    = 1024 // servers outside the list that are remembered
)

// Change is a new state or weight of a backend server. From equals To where only
// the weight has changed.
type Change struct {
	Address  string
	From, To State
	Weight   float64
	Reason   string
}

// Mark is a drain mark. Seen is the time of the first-hand signal; it lies before
// the start of the process where a peer saw it earlier.
type Mark struct {
	Address string
	Seen    time.Duration
	Source  string
}

// Info describes a backend server to operators.
type Info struct {
	Address    string
	State      State
	Weight     float64
	Reason     string        // of the state
	Remaining  time.Duration // of draining, ejection or slow start
	Attempts   int           // in the last 10 s
	ErrorRatio float64
	Latency    time.Duration // mean
	Ejections  int           // that count for the length of the next one
}

type server struct {
	address string
	window  window

	// The rest is guarded by the detector's mutex.
	state     State
	reason    string
	until     time.Duration // end of ejection or slow start
	since     time.Duration // start of the state
	ejections int
	forgiven  time.Duration // when an ejection was last added or forgotten
	drain     Mark
	drained   bool // drain is set
	// What the last Sweep returned.
	sentState  State
	sentWeight float64
	blocked    bool // the bound on ejections was reported
	failing    condition
	slow       condition
}

// Detector judges the backend servers of one service.
type Detector struct {
	rec     events.Recorder
	servers atomic.Pointer[map[string]*server] // the list; replaced as a whole

	mu       sync.Mutex
	settings dynamic.Outlier
	order    []*server          // the list in the order of addresses
	kept     map[string]*server // outside the list
	scratch  []judged
	values   []float64
	pending  []pendingEvent
}

// pendingEvent waits for the mutex to be free: a log stream that blocks must not
// hold up Drain, which responses call.
type pendingEvent struct {
	event  *events.Event
	fields []events.Field
}

// condition is something that must last without a break.
type condition struct {
	holds bool
	since time.Duration
}

// lasts takes the state at now and reports whether it has held for d.
func (c *condition) lasts(now time.Duration, holds bool, d time.Duration) bool {
	if holds && !c.holds {
		c.since = now
	}
	c.holds = holds
	return holds && now-c.since >= d
}

type judged struct {
	s      *server
	errors tally   // the newest attempts
	timed  tally   // the newest latencies
	score  float64 // above 1: to be ejected
	why    string
}

// New returns a detector without backend servers.
func New(settings *dynamic.Service, rec events.Recorder) *Detector {
	d := &Detector{rec: rec, settings: settings.Outlier, kept: map[string]*server{}}
	d.servers.Store(&map[string]*server{})
	return d
}

// Configure puts new settings in force. Times that run already keep their ends.
func (d *Detector) Configure(settings *dynamic.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings = settings.Outlier
}

// Record counts one ended attempt. Unknown addresses are ignored.
func (d *Detector) Record(now time.Duration, address string, latency time.Duration, o routing.Outcome) {
	if s := (*d.servers.Load())[address]; s != nil {
		s.window.record(now, latency, o)
	}
}

// Update takes the list of backend servers. Sweep returns the resulting changes.
func (d *Detector) Update(now time.Duration, addresses []string) {
	d.mu.Lock()
	defer d.unlock()
	old := *d.servers.Load()
	list := make(map[string]*server, len(addresses))
	var added []*server
	for _, a := range addresses {
		s := old[a]
		if s == nil {
			if s = d.kept[a]; s == nil {
				s = &server{address: a}
			}
			s.sentState, s.sentWeight = Healthy, 1 // what routing gives a new server
			if s.state == SlowStart {
				s.state = Healthy
			}
			added = append(added, s)
			delete(d.kept, a)
		}
		list[a] = s
	}
	for a, s := range old {
		if list[a] == nil {
			d.keep(now, s)
		}
	}
	d.order = slices.SortedFunc(maps.Values(list), func(a, b *server) int { return cmp.Compare(a.address, b.address) })
	d.servers.Store(&list)
	d.forget(now)
	d.begin(now, added)
}

// keep remembers a server outside the list while its drain mark or ejections
// matter. Above the bound the ones that matter for the shortest time go.
func (d *Detector) keep(now time.Duration, s *server) {
	if d.relevantUntil(s) <= now {
		return
	}
	d.kept[s.address] = s
	if len(d.kept) <= maxKept {
		return
	}
	d.forget(now)
	if len(d.kept) <= maxKept {
		return
	}
	first := s
	for _, k := range d.kept {
		if until := d.relevantUntil(k); until < d.relevantUntil(first) || until == d.relevantUntil(first) && k.address < first.address {
			first = k
		}
	}
	delete(d.kept, first.address)
}

// forget drops what no longer matters outside the list.
func (d *Detector) forget(now time.Duration) {
	maps.DeleteFunc(d.kept, func(_ string, s *server) bool { return d.relevantUntil(s) <= now })
}

func (d *Detector) relevantUntil(s *server) time.Duration {
	var until time.Duration
	if s.drained {
		until = s.drain.Seen + dynamic.MS(d.settings.DrainHoldMS)
	}
	if s.ejections > 0 {
		until = max(until, s.until, s.forgiven+time.Duration(s.ejections)*dynamic.MS(d.settings.MaxEjectMS))
	}
	return until
}

// begin starts servers that are new in the list. The ones that still drain or
// are still ejected stay so.
func (d *Detector) begin(now time.Duration, added []*server) {
	starting := 0
	for _, s := range d.order {
		if s.state == SlowStart {
			starting++
		}
	}
	fresh := added[:0]
	for _, s := range added {
		if d.isDraining(now, s) {
			d.enter(now, s, Draining, ReasonDrain)
		} else if s.state != Ejected || s.until <= now {
			fresh = append(fresh, s)
		}
	}
	slow := 2*(starting+len(fresh)) <= len(d.order)
	for _, s := range fresh {
		s.window.reset()
		if !slow || d.settings.SlowStartMS == 0 {
			s.state, s.reason, s.since = Healthy, "", now
			continue
		}
		d.enter(now, s, SlowStart, ReasonNew)
	}
}

// Drain marks a backend server as draining from now on. source is one of the
// Source constants. It takes effect at once; Sweep returns the change.
func (d *Detector) Drain(now time.Duration, address, source string) {
	d.Merge(now, now, address, source)
}

// Merge takes a drain mark whose first-hand signal was at seen, usually from a
// peer. A time in the future, from a peer whose wall clock is ahead, counts as
// now.
func (d *Detector) Merge(now, seen time.Duration, address, source string) {
	d.mu.Lock()
	defer d.unlock()
	seen = min(seen, now)
	if seen+dynamic.MS(d.settings.DrainHoldMS) <= now {
		return
	}
	s := (*d.servers.Load())[address]
	listed := s != nil
	if s == nil {
		s = d.kept[address]
	}
	if s == nil {
		s = &server{address: address}
	}
	if s.drained && s.drain.Seen >= seen {
		return
	}
	s.drain, s.drained = Mark{Address: address, Seen: seen, Source: source}, true
	if !listed {
		d.keep(now, s)
		return
	}
	if s.state != Draining {
		d.enter(now, s, Draining, ReasonDrain)
	}
}

// Health takes the result of a health check of an ejected backend server.
func (d *Detector) Health(now time.Duration, address string, ok bool) {
	d.mu.Lock()
	defer d.unlock()
	s := (*d.servers.Load())[address]
	if s == nil || s.state != Ejected || ok {
		return
	}
	latest := s.since + dynamic.MS(d.settings.MaxEjectMS)
	s.until = max(s.until, min(latest, now+dynamic.MS(d.settings.HealthPeriodMS)))
}

// Drains returns the addresses that are marked as draining, in order.
func (d *Detector) Drains(now time.Duration) []string {
	var out []string
	for _, m := range d.Marks(now) {
		out = append(out, m.Address)
	}
	return out
}

// Marks returns the drain marks in force in the order of addresses, also those
// of servers outside the list.
func (d *Detector) Marks(now time.Duration) []Mark {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Mark
	for _, s := range d.order {
		if d.isDraining(now, s) {
			out = append(out, s.drain)
		}
	}
	for _, s := range d.kept {
		if d.isDraining(now, s) {
			out = append(out, s.drain)
		}
	}
	slices.SortFunc(out, func(a, b Mark) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Info describes a backend server of the list.
func (d *Detector) Info(now time.Duration, address string) (Info, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := (*d.servers.Load())[address]
	if s == nil {
		return Info{}, false
	}
	sum := s.window.sum(now)
	info := Info{
		Address: address, State: s.state, Weight: d.weight(now, s), Reason: s.reason,
		Attempts: int(sum.attempts), ErrorRatio: sum.errorRatio(), Latency: sum.mean(), Ejections: s.ejections,
	}
	switch s.state {
	case Draining:
		info.Remaining = max(0, s.drain.Seen+dynamic.MS(d.settings.DrainHoldMS)-now)
	case Ejected, SlowStart:
		info.Remaining = max(0, s.until-now)
	case Healthy:
	}
	return info, true
}

// Counts returns how many backend servers of the list are ejected and how many
// are draining.
func (d *Detector) Counts() (ejected, draining int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.order {
		switch s.state {
		case Ejected:
			ejected++
		case Draining:
			draining++
		case Healthy, SlowStart:
		}
	}
	return ejected, draining
}

// note records an event once the mutex is free.
func (d *Detector) note(e *events.Event, fields ...events.Field) {
	d.pending = append(d.pending, pendingEvent{e, fields})
}

// unlock frees the mutex and records what note has gathered.
func (d *Detector) unlock() {
	pending := d.pending
	d.pending = nil
	d.mu.Unlock()
	for _, p := range pending {
		d.rec.Record(p.event, p.fields...)
	}
}

func (d *Detector) isDraining(now time.Duration, s *server) bool {
	return s.drained && now < s.drain.Seen+dynamic.MS(d.settings.DrainHoldMS)
}

// bound returns how many servers may be ejected and how many are.
func (d *Detector) bound() (allowed, ejected int) {
	active := 0
	for _, s := range d.order {
		if s.state != Draining {
			active++
		}
		if s.state == Ejected {
			ejected++
		}
	}
	return int(float64(active) * d.settings.MaxEjectRatio), ejected
}

// enforce readmits the servers ejected first until the bound holds.
func (d *Detector) enforce(now time.Duration) {
	for allowed, ejected := d.bound(); ejected > allowed; ejected-- {
		var first *server
		for _, s := range d.order {
			if s.state == Ejected && (first == nil || s.since < first.since) {
				first = s
			}
		}
		d.readmit(now, first, ReasonEjectBound)
	}
}

func (d *Detector) readmit(now time.Duration, s *server, reason string) {
	s.window.reset()
	d.enter(now, s, SlowStart, reason)
}

// enter changes the state of a server and records the event.
func (d *Detector) enter(now time.Duration, s *server, to State, reason string) {
	from := s.state
	s.state, s.reason, s.since, s.blocked = to, reason, now, false
	s.failing, s.slow = condition{}, condition{}
	address, why := events.F("address", s.address), events.F("reason", reason)
	switch to {
	case Draining:
		d.note(eventDraining, address, events.F("source", s.drain.Source))
	case Ejected:
		length := min(dynamic.MS(d.settings.EjectMS)<<min(s.ejections, 16), dynamic.MS(d.settings.MaxEjectMS))
		s.until, s.forgiven = now+length, now
		s.ejections++
		sum := s.window.sum(now)
		d.note(eventEjected, address, why, events.F("for_ms", length.Milliseconds()),
			events.F("attempts", sum.attempts), events.F("errors", sum.errors), events.F("latency_ms", sum.mean().Milliseconds()))
	case SlowStart:
		s.until = now + dynamic.MS(d.settings.SlowStartMS)
		switch from {
		case Draining:
			d.note(eventDrained, address, why)
		case Ejected:
			d.note(eventReadmitted, address, why)
		case Healthy, SlowStart:
			d.note(eventNew, address, why)
		}
	case Healthy:
		d.note(eventHealthy, address, why)
	}
}

func (d *Detector) weight(now time.Duration, s *server) float64 {
	switch s.state {
	case Healthy:
		return 1
	case SlowStart:
		length := dynamic.MS(d.settings.SlowStartMS)
		if length <= 0 || now >= s.until {
			return 1
		}
		done := max(0, 1-float64(s.until-now)/float64(length))
		return slowStartWeight + (1-slowStartWeight)*done
	case Ejected, Draining:
	}
	return 0
}

// Sweep advances the states and returns what has changed since the last Sweep,
// in the order of addresses. It is called every 100 ms and after Drain, Merge
// and Update; the caller applies the weights.
func (d *Detector) Sweep(now time.Duration) []Change {
	d.mu.Lock()
	defer d.unlock()
	for _, s := range d.order {
		d.advance(now, s)
	}
	d.enforce(now)
	d.judge(now)
	var out []Change
	for _, s := range d.order {
		w := d.weight(now, s)
		if s.state == s.sentState && w == s.sentWeight {
			continue
		}
		out = append(out, Change{Address: s.address, From: s.sentState, To: s.state, Weight: w, Reason: s.reason})
		s.sentState, s.sentWeight = s.state, w
	}
	return out
}

// advance ends what has lasted long enough.
func (d *Detector) advance(now time.Duration, s *server) {
	if s.drained && !d.isDraining(now, s) {
		s.drained = false
	}
	switch {
	case s.state == Draining && !s.drained:
		d.readmit(now, s, ReasonDrainEnded)
	case s.state == Ejected && now >= s.until:
		d.readmit(now, s, ReasonEjectEnded)
	case s.state == SlowStart && now >= s.until:
		d.enter(now, s, Healthy, ReasonSlowStarted)
	}
	if forget := dynamic.MS(d.settings.MaxEjectMS); s.state != Ejected && s.ejections > 0 && now-s.forgiven >= forget {
		s.ejections--
		s.forgiven = now
	}
}

// judge ejects the worst servers as far as the bound allows.
func (d *Detector) judge(now time.Duration) {
	d.scratch = d.scratch[:0]
	for _, s := range d.order {
		if s.state != Healthy && s.state != SlowStart {
			continue
		}
		n := int32(d.settings.MinRequests)
		d.scratch = append(d.scratch, judged{
			s: s, errors: s.window.recent(now, n, buckets, false), timed: s.window.recent(now, n, latencyBuckets, true),
		})
	}
	d.scoreErrors(now)
	d.scoreLatency(now)
	slices.SortStableFunc(d.scratch, func(a, b judged) int { return cmp.Compare(b.score, a.score) })
	allowed, ejected := d.bound()
	for _, j := range d.scratch {
		if j.score <= 1 {
			return
		}
		if ejected < allowed {
			ejected++
			d.enter(now, j.s, Ejected, j.why)
		} else if !j.s.blocked {
			j.s.blocked = true
			d.note(eventNotEjected, events.F("address", j.s.address), events.F("reason", j.why), events.F("ejected", ejected))
		}
	}
}

// scoreErrors scores by the share of errors. Errors weigh more than latency, so
// that failing servers are ejected before slow ones.
func (d *Detector) scoreErrors(now time.Duration) {
	for i := range d.scratch {
		j := &d.scratch[i]
		ratio := j.errors.errorRatio()
		failing := d.hasErrors(j) && ratio >= d.settings.ErrorRatio &&
			ratio >= 2*d.medianOf(i, d.hasErrors, func(j *judged) float64 { return j.errors.errorRatio() })
		if j.s.failing.lasts(now, failing, failingFor) {
			j.score, j.why = 1e6+ratio, ReasonErrors
		}
	}
}

// hasErrors reports whether there are enough attempts for a share of errors.
func (d *Detector) hasErrors(j *judged) bool { return int(j.errors.attempts) >= d.settings.MinRequests }

// hasLatency reports whether there are enough latencies for a mean.
func (d *Detector) hasLatency(j *judged) bool { return int(j.timed.timed) >= d.settings.MinRequests }

func (d *Detector) scoreLatency(now time.Duration) {
	median := d.medianOf(-1, d.hasLatency, func(j *judged) float64 { return float64(j.timed.mean()) })
	limit := max(median*d.settings.LatencyFactor, median+float64(minLatencyGap))
	enough := len(d.values) >= minJudged
	for i := range d.scratch {
		j := &d.scratch[i]
		mean := float64(j.timed.mean())
		slow := enough && d.hasLatency(j) && mean > limit
		if j.s.slow.lasts(now, slow, slowFor) && j.score == 0 {
			j.score, j.why = mean/limit, ReasonLatency
		}
	}
}

// medianOf returns the lower median of a value over the servers that has admits,
// but for one.
func (d *Detector) medianOf(except int, has func(*judged) bool, value func(*judged) float64) float64 {
	d.values = d.values[:0]
	for i := range d.scratch {
		if i != except && has(&d.scratch[i]) {
			d.values = append(d.values, value(&d.scratch[i]))
		}
	}
	if len(d.values) == 0 {
		return 0
	}
	slices.Sort(d.values)
	return d.values[(len(d.values)-1)/2]
}
