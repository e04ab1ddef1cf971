package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lentilpin/pkg/routing"
)

const (
	queueCapacity       = 10 * slotsPerBackend                // requests waiting at a backend server; further ones are shed
	failFastServiceTime = 500 * time.Microsecond              // service time of an error response
	crashDowntime       = time.Second                         // time from a crash to the restart
	coldWorkFactor      = 4.0                                 // initial factor on the work at a cold backend server
	coldDuration        = 2 * time.Second                     // the factor falls linearly to 1 in this time
	latencyWindowSize   = 9                                   // latencies retained for each number of requests in flight
	inflightLevels      = queueCapacity + slotsPerBackend + 1 // possible numbers of requests in flight
)

// backend simulates a backend server with slots, a first-in first-out queue, cold
// start, fast failure, crashes and load reports.
type backend struct {
	simulation          *simulation
	index               int
	domain              int
	running             []*attempt                    // at most slotsPerBackend
	queue               []*attempt                    // at most queueCapacity
	coldSince           time.Duration                 // start of the cold phase; negative if warm
	downUntil           time.Duration                 // connections are refused until then
	failsFast           bool                          // answers every request with an error
	latenciesByInflight [inflightLevels]latencyWindow // indexed by the number of requests in flight on arrival
	rand                *rand.Rand
	longestQueue        int // longest queue so far
}

// workFactor returns the factor on the work of an attempt that starts now, from
// the scenario and the cold phase.
func (b *backend) workFactor() float64 {
	now, factor := b.simulation.loop.now, 1.0
	if s := b.simulation.scenario.WorkFactor; s != nil {
		factor = s(now, b.index, b.domain)
	}
	if age := now - b.coldSince; b.coldSince >= 0 && age < coldDuration {
		factor *= coldWorkFactor - (coldWorkFactor-1)*float64(age)/float64(coldDuration)
	}
	return factor
}

// arrive processes an attempt that has reached the backend server: it refuses,
// fails, sheds or queues the attempt.
func (b *backend) arrive(a *attempt) {
	now := b.simulation.loop.now
	switch {
	case a.canceled:
	case now < b.downUntil:
		a.connectionRefused = true
		a.sendReply(routing.Broken)
	case b.failsFast:
		b.simulation.loop.after(failFastServiceTime, func() { a.sendReply(routing.ErrorResponse) })
	case len(b.queue) >= b.simulation.deployment.queueCapacity():
		a.sendReply(routing.Shed)
	default:
		a.arrivedAt, a.inflightOnArrival = now, len(b.running)+len(b.queue)
		b.queue = append(b.queue, a)
		b.startQueued()
		b.longestQueue = max(b.longestQueue, len(b.queue))
	}
}

// startQueued starts queued attempts while slots are free.
func (b *backend) startQueued() {
	for len(b.queue) > 0 && len(b.running) < slotsPerBackend {
		a := b.queue[0]
		b.queue = b.queue[1:]
		b.running = append(b.running, a)
		a.startedAt = b.simulation.loop.now
		work := a.request.work * logNormal(b.rand, b.simulation.deployment.sigma()) * b.workFactor()
		b.simulation.loop.after(b.duration(time.Duration(work*float64(meanServiceTime))), func() { b.finish(a) })
	}
}

// finish ends a running attempt and replies to it.
func (b *backend) finish(a *attempt) {
	if !removeAttempt(&b.running, a) {
		return // canceled, or lost in a crash
	}
	if a.request.crash {
		b.crash(a)
		return
	}
	b.simulation.usefulTime += b.simulation.loop.now - a.startedAt
	b.latenciesByInflight[a.inflightOnArrival].add(b.simulation.loop.now - a.arrivedAt)
	b.startQueued()
	a.sendReply(routing.Success)
}

// crash breaks the connections of all running and queued attempts and stops the
// backend server for crashDowntime. It is cold after the restart.
func (b *backend) crash(a *attempt) {
	lost := append(append([]*attempt{a}, b.running...), b.queue...)
	b.running, b.queue = nil, nil
	b.downUntil = b.simulation.loop.now + crashDowntime
	b.coldSince = b.downUntil
	for _, x := range lost {
		x.sendReply(routing.Broken)
	}
}

// cancel removes a canceled attempt from its slot or from the queue.
func (b *backend) cancel(a *attempt) {
	if removeAttempt(&b.running, a) {
		b.simulation.wastedTime += b.simulation.loop.now - a.startedAt
		b.startQueued()
		return
	}
	removeAttempt(&b.queue, a)
}

// latencyWindow is a ring buffer of the latest attempt latencies.
type latencyWindow struct {
	values [latencyWindowSize]time.Duration
	count  int // latencies added so far
}

func (l *latencyWindow) add(d time.Duration) {
	l.values[l.count%latencyWindowSize] = d
	l.count++
}

func (l *latencyWindow) median() time.Duration {
	v := l.values
	n := min(l.count, latencyWindowSize)
	slices.Sort(v[:n])
	return v[n/2]
}

// report returns the current load report. Its latency is the median of recent
// attempts that found the same or the closest known number of requests in flight,
// as servers report it in Prequal (Wydrowski et al., "Load is not what you should
// balance: Introducing Prequal", NSDI 2024).
func (b *backend) report() routing.Report {
	r := routing.Report{Inflight: int32(len(b.running)), Queued: int32(len(b.queue)), Slots: slotsPerBackend}
	if b.simulation.deployment.Workload != nil {
		r.Slowdown = b.slowFactor(b.simulation.loop.now) // policy fresh uses it instead of the latency
		return r
	}
	inflight := int(r.Load())
	for distance := range inflightLevels {
		for _, i := range [2]int{inflight - distance, inflight + distance} {
			if i >= 0 && i < inflightLevels && b.latenciesByInflight[i].count > 0 {
				r.Latency = b.latenciesByInflight[i].median()
				return r
			}
		}
	}
	return r
}

// removeAttempt removes an attempt from a list and reports whether it was found.
func removeAttempt(list *[]*attempt, a *attempt) bool {
	for i, x := range *list {
		if x == a {
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

// sigma is the standard deviation of the logarithm of the work. It applies once to
// the request and once to the attempt.
const sigma = 0.4

// logNormal returns a log-normally distributed factor with a mean of 1.
func logNormal(r *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
}

func (d *Deployment) sigma() float64 {
	if d.Workload == nil {
		return sigma
	}
	return workloadSigma
}
