package limit

import (
	"time"

	"github.com/go-faster/errors"
)

// Errors of Line and Queue.
var (
	ErrFull    = errors.New("queue is full")
	ErrTimeout = errors.New("no backend server became free in time")
	// ErrLate is returned on arrival where the pace of recent starts shows that
	// the request would not start in time. errors.Is(ErrLate, ErrTimeout) holds.
	ErrLate = errors.Wrap(ErrTimeout, "shed on arrival")
)

const (
	// paceSmoothing is the weight of one interval in the pace.
	paceSmoothing = 0.125
	// paceMinSamples is the number of intervals below which there is no pace.
	paceMinSamples = 8
)

// Waiter is one request in a Line.
type Waiter struct {
	Deadline time.Duration // latest start
	prev     *Waiter
	next     *Waiter
	queued   bool
	turn     chan struct{} // used by Queue only
}

// Line is a bounded first-in first-out queue in the time of its caller. It is
// not safe for concurrent use.
type Line struct {
	maxRequests int
	maxWait     time.Duration
	head, tail  *Waiter
	length      int
	interval    float64       // smoothed time between starts while somebody waits, nanoseconds
	samples     int           // intervals measured, up to paceMinSamples
	busySince   time.Duration // last start, or when the line became busy
}

// NewLine returns a line for up to maxRequests waiters of up to maxWait each.
func NewLine(maxRequests int, maxWait time.Duration) *Line {
	return &Line{maxRequests: maxRequests, maxWait: maxWait}
}

// Configure changes the bounds. Those who wait already keep their deadlines.
func (l *Line) Configure(maxRequests int, maxWait time.Duration) {
	l.maxRequests, l.maxWait = maxRequests, maxWait
}

// Len returns the number of waiters.
func (l *Line) Len() int { return l.length }

// Head returns the oldest waiter, or nil.
func (l *Line) Head() *Waiter { return l.head }

// Expected returns the time after which a request that joins now is expected to
// start, and false where nothing is known. An empty line is always worth a try,
// or a pace measured in an outage would refuse requests for good.
func (l *Line) Expected() (time.Duration, bool) {
	if l.length == 0 || l.samples < paceMinSamples {
		return 0, false
	}
	return time.Duration(l.interval * float64(l.length+1)), true
}

// Join adds w at the end. deadline is the latest start the request allows, 0 for
// none; the line's own bound applies as well. The error is ErrFull or ErrLate.
func (l *Line) Join(now time.Duration, deadline time.Duration, w *Waiter) error {
	if l.length >= l.maxRequests {
		return ErrFull
	}
	w.Deadline = now + l.maxWait
	if deadline > 0 {
		w.Deadline = min(w.Deadline, deadline)
	}
	if expected, ok := l.Expected(); w.Deadline <= now || ok && now+expected > w.Deadline {
		return ErrLate
	}
	if l.length == 0 {
		l.head, l.busySince = w, now
	} else {
		l.tail.next, w.prev = w, l.tail
	}
	l.tail, w.queued = w, true
	l.length++
	return nil
}

// Leave removes w; started tells whether it got a backend server. It reports
// whether another waiter became the oldest. A second call has no effect.
func (l *Line) Leave(now time.Duration, w *Waiter, started bool) bool {
	if !w.queued {
		return false
	}
	if started || w == l.head && float64(now-l.busySince) > l.interval {
		l.pace(now)
	}
	first := w == l.head
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		l.head = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		l.tail = w.prev
	}
	w.prev, w.next, w.queued = nil, nil, false
	l.length--
	return first && l.head != nil
}

func (l *Line) pace(now time.Duration) {
	interval := float64(now - l.busySince)
	l.busySince = now
	if l.samples == 0 {
		l.interval = interval
	} else {
		l.interval += (interval - l.interval) * paceSmoothing
	}
	l.samples = min(l.samples+1, paceMinSamples)
}
