package bench

import (
	"math/rand/v2"
	"time"

	"lentilpin/pkg/admission"
	"lentilpin/pkg/limit"
	"lentilpin/pkg/measure"
	"lentilpin/pkg/routing"
)

// randSources are the random sources of a run.
type randSources struct {
	entries, draws *rand.Rand
	slowOffset     uint64
}

func newRandSources(seed uint64) *randSources {
	return &randSources{entries: newRand(seed, 11), draws: newRand(seed, 12), slowOffset: seed}
}

// rankServer is a backend server with slots and a bounded first-in first-out queue.
type rankServer struct {
	run           *rankRun
	index, domain int
	running       int
	queue         []*rankAttempt
}

// slowdown returns the factor on the time that work takes at a moment. Which backend
// servers are slow changes once a period.
func (s *rankServer) slowdown(at time.Duration) float64 {
	period := uint64(at / rankSlowPeriod)
	if newRand(s.run.random.slowOffset+period, uint64(s.index)).Float64() < s.run.scenario.SlowShare {
		return rankSlowFactor
	}
	return 1
}

// serviceTime returns how long work takes that starts now.
func (s *rankServer) serviceTime(work time.Duration) time.Duration {
	at := s.run.loop.now
	for {
		factor := s.slowdown(at)
		left := rankSlowPeriod - at%rankSlowPeriod
		if needed := time.Duration(float64(work) * factor); needed <= left {
			return at + needed - s.run.loop.now
		}
		work -= time.Duration(float64(left) / factor)
		at += left
	}
}

func (s *rankServer) report() routing.Report {
	return routing.Report{Inflight: int32(s.running), Queued: int32(len(s.queue)), Slots: slotsPerBackend, Slowdown: s.slowdown(s.run.loop.now)}
}

func (s *rankServer) arrive(a *rankAttempt) {
	if len(s.queue) >= rankQueueLimit {
		s.run.result.ShedByFull++
		s.run.loop.after(a.delay, func() { a.request.attemptEnded(a, routing.Shed) })
		return
	}
	s.queue = append(s.queue, a)
	s.startQueued()
}

func (s *rankServer) startQueued() {
	for s.running < slotsPerBackend && len(s.queue) > 0 {
		a := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		s.run.loop.after(s.serviceTime(a.request.work), func() {
			s.running--
			report := s.report()
			s.startQueued()
			s.run.loop.after(a.delay, func() {
				a.server.RecordReport(s.run.loop.now, report, 0)
				a.request.attemptEnded(a, routing.Success)
			})
		})
	}
}

// rankRequest is a request of a caller, which sends it again if it is refused.
type rankRequest struct {
	run     *rankRun
	kind    int
	start   time.Duration // at the caller
	work    time.Duration
	counted bool
	sends   int
	rankEntryState
}

// rankEntryState is the state of a request at one entry.
type rankEntryState struct {
	entry       *rankEntry
	accepted    time.Duration
	tried       []*routing.Server
	waiter      *limit.Waiter
	isWaiting   bool
	joined      time.Duration
	hold        time.Duration
	refreshes   int
	lastRefresh time.Duration
}

type rankAttempt struct {
	request *rankRequest
	server  *routing.Server
	sentAt  time.Duration
	delay   time.Duration // one way
}

func (q *rankRequest) kindSettings() *RankedKind { return &q.run.scenario.Kinds[q.kind] }

// send sends the request to a random entry.
func (q *rankRequest) send() {
	q.sends++
	e := q.run.entries[q.run.random.entries.IntN(len(q.run.entries))]
	q.rankEntryState = rankEntryState{entry: e}
	q.run.loop.after(rankCallerDelay, func() { e.accept(q) })
}

// refused is called when the caller gets a refusal with a time to come back. It comes back
// if that is at most a third of its remaining time.
func (q *rankRequest) refused(retryAfter time.Duration) {
	now, k := q.run.loop.now, q.kindSettings()
	if q.counted {
		out := &q.run.result.Kinds[q.kind]
		out.Refusals++
		if now-q.accepted > k.Target/8 {
			out.LateRefusals++
		}
	}
	left := q.start + k.Deadline - now
	if q.sends < rankMaxSends && 3*retryAfter <= left {
		q.run.loop.after(retryAfter+rankCallerDelay, q.send)
	}
}

func (q *rankRequest) attemptEnded(a *rankAttempt, o routing.Outcome) {
	now := q.run.loop.now
	a.server.EndAttempt(now, now-a.sentAt, o)
	a.request.entry.wake()
	if o == routing.Shed {
		if q.tried = append(q.tried, a.server); len(q.tried) >= rankMaxAttempts {
			q.entry.refuse(q)
			return
		}
		q.entry.admit(q)
		return
	}
	if latency := now + rankCallerDelay - q.start; q.counted && latency <= q.kindSettings().Deadline {
		out := &q.run.result.Kinds[q.kind]
		out.Served++
		if latency <= q.kindSettings().Target {
			out.InTarget++
		}
	}
}

// rankEntry simulates the part of the gateway between the queue of a service and its
// backend servers.
type rankEntry struct {
	run        *rankRun
	domain     int
	set        *routing.Set
	controller *admission.Controller
	waitList   *limit.WaitList
	byWaiter   map[*limit.Waiter]*rankRequest
	decisions  int
	queries    int
}

func newRankEntry(run *rankRun, domain int, seed uint64, ranks admission.Ranks) (*rankEntry, error) {
	set, err := routing.NewSet(routing.Options{Service: "s", FailureDomain: domainName(domain), Seed: seed, Settings: run.settings})
	if err != nil {
		return nil, err
	}
	e := &rankEntry{
		run: run, domain: domain, set: set, controller: admission.NewController(),
		waitList: limit.NewWaitList(rankQueueLength, rankQueueMaxWait), byWaiter: map[*limit.Waiter]*rankRequest{},
	}
	if run.ranked {
		e.controller.Configure(ranks, run.settings.Admission.HeadroomRatio)
	}
	return e, nil
}

func (e *rankEntry) now() time.Duration { return e.run.loop.now }

// delay returns the one-way delay to a backend server.
func (e *rankEntry) delay(s *routing.Server) time.Duration {
	if s.Local() {
		return rankLocalDelay
	}
	return e.run.scenario.CrossDelay
}

// accept queries loads as the gateway does before it decides.
func (e *rankEntry) accept(q *rankRequest) {
	q.accepted, q.lastRefresh = e.now(), e.now()
	if e.run.random.draws.Float64() < e.queryShare() {
		e.decisions++
		e.query(q, routing.LocalRound, func() { e.firstDecision(q) })
		return
	}
	e.firstDecision(q)
}

func (e *rankEntry) queryShare() float64 {
	perDecision := float64(e.queries) / float64(max(1, e.decisions)) * e.controller.ArrivalsPerAdmission(e.now())
	return measure.LoadQueryShare(e.run.settings.Measuring.LoadQueriesPerBackend, perDecision, e.set.MeanLoad(), e.set.MeanLatency())
}

// query sends the load queries of a round and of those after it, and then calls done.
func (e *rankEntry) query(q *rankRequest, round routing.LoadQueryRound, done func()) {
	if round >= routing.RoundCount {
		done()
		return
	}
	var wait time.Duration
	for _, s := range e.set.LoadQueryTargets(e.now(), round, q.tried, nil) {
		e.queries++
		e.run.queries++
		wait = max(wait, 2*e.delay(s))
		e.run.loop.after(e.delay(s), func() {
			report := e.run.servers[s.Address()].report()
			e.run.loop.after(e.delay(s), func() { s.RecordReport(e.now(), report, 0) })
		})
	}
	e.run.loop.after(wait, func() { e.query(q, round+1, done) })
}

func (e *rankEntry) firstDecision(q *rankRequest) {
	if rank, ok := e.rank(q); ok {
		e.controller.Arrived(e.now(), rank)
	}
	e.admit(q)
}

func (e *rankEntry) rank(q *rankRequest) (int, bool) {
	return e.controller.Rank(q.kindSettings().Priority)
}

// admit starts the request, lets it wait or refuses it.
func (e *rankEntry) admit(q *rankRequest) {
	if e.waitList.Len() == 0 && e.try(q) {
		return
	}
	now := e.now()
	deadline := q.start + q.kindSettings().Deadline
	q.waiter = &limit.Waiter{}
	var displaced *limit.Waiter
	var err error
	if rank, ok := e.rank(q); ok {
		wait := admission.NewWait(e.timing(q))
		q.hold = wait.Hold
		displaced, err = e.waitList.JoinRanked(now, deadline, limit.Ranked{Rank: e.controller.QueueRank(now, rank), MaxWait: wait.Max, Hold: wait.Hold}, q.waiter)
	} else {
		err = e.waitList.Join(now, deadline, q.waiter)
	}
	if err != nil {
		e.refuse(q)
		return
	}
	e.byWaiter[q.waiter], q.isWaiting, q.joined = q, true, now
	if displaced != nil {
		e.refuse(e.byWaiter[displaced])
	}
	e.scheduleCheck(q)
	e.wake()
}

func (e *rankEntry) timing(q *rankRequest) admission.Timing {
	k := q.kindSettings()
	return admission.Timing{
		Target: k.Target, Elapsed: e.now() - q.accepted, Left: q.start + k.Deadline - e.now(), Service: e.set.MeanLatency(),
		MinWait: rankQueueMaxWait, MaxShare: e.run.settings.Admission.MaxWaitRatio,
	}
}

// scheduleCheck reviews the wait of a request at the times at which limit.Queue does.
func (e *rankEntry) scheduleCheck(q *rankRequest) {
	w := q.waiter
	next := w.Deadline - e.now()
	if e.run.ranked {
		next = min(next, rankRetryPeriod)
		if left := q.joined + q.hold - e.now(); left > 0 {
			next = min(next, left)
		}
	}
	e.run.loop.after(next, func() {
		if !q.isWaiting || q.waiter != w {
			return
		}
		if e.now() >= w.Deadline || e.run.ranked && !e.waitList.MayContinue(e.now(), w, q.hold) {
			e.waitList.Leave(e.now(), w, false)
			e.refuse(q)
			e.wake()
			return
		}
		if e.waitList.HeadAt(e.now()) == w {
			e.wake()
		}
		if q.isWaiting {
			e.scheduleCheck(q)
		}
	})
}

// wake lets waiters start as long as the head of the queue finds room.
func (e *rankEntry) wake() {
	w := e.waitList.HeadAt(e.now())
	for w != nil {
		q := e.byWaiter[w]
		e.refresh(q)
		if !e.try(q) {
			w = e.waitList.MoreUrgent(e.now(), w)
			continue
		}
		q.isWaiting = false
		delete(e.byWaiter, w)
		e.waitList.Leave(e.now(), w, true)
		w = e.waitList.HeadAt(e.now())
	}
}

// refresh queries loads again for a waiter, twice at most.
func (e *rankEntry) refresh(q *rankRequest) {
	if !e.run.ranked || q.refreshes >= 2 || e.now()-q.lastRefresh < 2*rankRetryPeriod || e.queryShare() < 1 {
		return
	}
	q.refreshes++
	q.lastRefresh = e.now()
	for _, s := range e.set.LoadQueryTargets(e.now(), routing.LocalRound, q.tried, nil) {
		e.queries++
		e.run.queries++
		s.RecordReport(e.now(), e.run.servers[s.Address()].report(), 0)
	}
}

// try assigns a backend server that leaves the headroom of the request's rank.
func (e *rankEntry) try(q *rankRequest) bool {
	now := e.now()
	headroom := 0.0
	rank, ok := e.rank(q)
	if ok {
		headroom = e.controller.Headroom(now, rank, e.set.MeanOccupancy())
	}
	s := e.set.PickWithHeadroom(now, q.tried, headroom)
	if s == nil {
		return false
	}
	if ok && len(q.tried) == 0 {
		e.controller.Admitted(now, rank)
	}
	a := &rankAttempt{q, s, now, e.delay(s)}
	e.run.loop.after(a.delay, func() { e.run.servers[s.Address()].arrive(a) })
	return true
}

func (e *rankEntry) refuse(q *rankRequest) {
	if q.isWaiting {
		q.isWaiting = false
		delete(e.byWaiter, q.waiter)
	}
	retryAfter := rankTodaysRetry
	if _, ok := e.rank(q); ok {
		timing := e.timing(q)
		expected, known := e.waitList.ExpectedWait()
		if !known {
			expected = timing.Service / 2
		}
		retryAfter = admission.RetryAfter(timing, expected, timing.Left, e.run.random.draws.Float64())
	}
	e.run.loop.after(rankCallerDelay, func() { q.refused(retryAfter) })
}
