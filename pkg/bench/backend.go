package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lentilpin/pkg/routing"
)

const (
	maxQueue     = 10 * slots // a longer queue sheds
	failDelay    = 500 * time.Microsecond
	crashDown    = time.Second // restart after a crash
	coldFactor   = 4.0         // work of a cold backend server
	coldTime     = 2 * time.Second
	recentCount  = 9 // latencies kept for each number of requests in flight
	latencyLoads = maxQueue + slots + 1
)

// backend is the fake of a backend server: slots, a first-in first-out queue,
// cold start, fast failure, crash, and a load report.
type backend struct {
	bench   *bench
	index   int
	domain  int
	running []*attempt
	queue   []*attempt
	cold    time.Duration // start of the cold phase; negative: warm
	downTo  time.Duration
	failing bool
	recent  [latencyLoads]latencies // by requests in flight on arrival
	rand    *rand.Rand
	longest int
}

// slowdown is the factor on the work of an attempt that starts now.
func (b *backend) slowdown() float64 {
	now, f := b.bench.loop.now, 1.0
	if s := b.bench.scenario.Slow; s != nil {
		f = s(now, b.index, b.domain)
	}
	if age := now - b.cold; b.cold >= 0 && age < coldTime {
		f *= coldFactor - (coldFactor-1)*float64(age)/float64(coldTime)
	}
	return f
}

func (b *backend) arrive(a *attempt) {
	now := b.bench.loop.now
	switch {
	case a.canceled:
	case now < b.downTo:
		a.refused = true
		a.reply(routing.Broken)
	case b.failing:
		b.bench.loop.after(failDelay, func() { a.reply(routing.ErrorResponse) })
	case len(b.queue) >= maxQueue:
		a.reply(routing.Shed)
	default:
		a.arrived, a.load = now, len(b.running)+len(b.queue)
		b.queue = append(b.queue, a)
		b.start()
		b.longest = max(b.longest, len(b.queue))
	}
}

func (b *backend) start() {
	for len(b.queue) > 0 && len(b.running) < slots {
		a := b.queue[0]
		b.queue = b.queue[1:]
		b.running = append(b.running, a)
		work := a.request.work * logNormal(b.rand) * b.slowdown()
		b.bench.loop.after(time.Duration(work*float64(meanWork)), func() { b.finish(a) })
	}
}

func (b *backend) finish(a *attempt) {
	if !remove(&b.running, a) {
		return // canceled, or lost in a crash
	}
	if a.request.crash {
		b.crash(a)
		return
	}
	b.recent[a.load].add(b.bench.loop.now - a.arrived)
	b.start()
	a.reply(routing.Success)
}

// crash breaks all attempts and stops the backend server for a while.
func (b *backend) crash(a *attempt) {
	lost := append(append([]*attempt{a}, b.running...), b.queue...)
	b.running, b.queue = nil, nil
	b.downTo = b.bench.loop.now + crashDown
	b.cold = b.downTo
	for _, x := range lost {
		x.reply(routing.Broken)
	}
}

// cancel frees the slot or the place in the queue of a canceled attempt.
func (b *backend) cancel(a *attempt) {
	if remove(&b.running, a) {
		b.start()
		return
	}
	remove(&b.queue, a)
}

// latencies are the last latencies of attempts.
type latencies struct {
	values [recentCount]time.Duration
	count  int
}

func (l *latencies) add(d time.Duration) {
	l.values[l.count%recentCount] = d
	l.count++
}

func (l *latencies) median() time.Duration {
	v := l.values
	n := min(l.count, recentCount)
	slices.Sort(v[:n])
	return v[n/2]
}

// report is the load now. Its latency is the median of recent attempts that met
// about the same number of requests in flight, as Prequal's servers report it.
func (b *backend) report() routing.Report {
	r := routing.Report{Inflight: int32(len(b.running)), Queued: int32(len(b.queue)), Slots: slots}
	load := int(r.Load())
	for d := range latencyLoads {
		for _, i := range [2]int{load - d, load + d} {
			if i >= 0 && i < latencyLoads && b.recent[i].count > 0 {
				r.Latency = b.recent[i].median()
				return r
			}
		}
	}
	return r
}

func remove(list *[]*attempt, a *attempt) bool {
	for i, x := range *list {
		if x == a {
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

// sigma is that of the logarithm of the work, once for the request and once for
// the attempt.
const sigma = 0.4

// logNormal draws a factor with a mean of 1.
func logNormal(r *rand.Rand) float64 { return math.Exp(sigma*r.NormFloat64() - sigma*sigma/2) }
