package limit

import (
	"time"

	"github.com/go-faster/errors"
)

// Errors returned by WaitList and Queue. The gateway includes their texts in
// responses.
var (
	ErrQueueFull = errors.New("queue is full")
	ErrTimeout   = errors.New("no backend server became free in time")
	// ErrWaitTooLong is returned on arrival if the deadline has passed or the rate of
	// recent starts shows that the request would not start before it.
	// errors.Is(ErrWaitTooLong, ErrTimeout) is true.
	ErrWaitTooLong = errors.Wrap(ErrTimeout, "shed on arrival")
)

const (
	// intervalSmoothing is the weight of one sample in the smoothed interval.
	intervalSmoothing = 0.125
	// minIntervalSamples is the number of samples needed to estimate the wait.
	minIntervalSamples = 8
)

// Waiter is one request in a WaitList. The zero value is ready for Join.
type Waiter struct {
	Deadline time.Duration // latest start; set by Join
	prev     *Waiter
	next     *Waiter
	queued   bool
	signal   chan struct{} // used by Queue only
}

// WaitList is a bounded FIFO queue of waiters. Times are durations on the clock of
// the calling code. It is not safe for concurrent use.
type WaitList struct {
	maxRequests   int
	maxWait       time.Duration
	head, tail    *Waiter
	length        int
	interval      float64       // smoothed time between starts while the queue is not empty, in nanoseconds
	samples       int           // number of samples in interval, up to minIntervalSamples
	intervalStart time.Duration // time of the last sample, or when the queue became non-empty
}

// NewWaitList returns a queue of at most maxRequests waiters that wait at most
// maxWait each.
func NewWaitList(maxRequests int, maxWait time.Duration) *WaitList {
	return &WaitList{maxRequests: maxRequests, maxWait: maxWait}
}

// Configure changes the limits. Requests that are already waiting keep their
// deadlines.
func (l *WaitList) Configure(maxRequests int, maxWait time.Duration) {
	l.maxRequests, l.maxWait = maxRequests, maxWait
}

// Len returns the number of waiters.
func (l *WaitList) Len() int { return l.length }

// Head returns the oldest waiter, or nil.
func (l *WaitList) Head() *Waiter { return l.head }

// ExpectedWait returns the expected wait of a request that joins now, or false if it
// is unknown. It is always unknown for an empty queue; otherwise an interval measured
// in an outage would cause rejections forever.
func (l *WaitList) ExpectedWait() (time.Duration, bool) {
	if l.length == 0 || l.samples < minIntervalSamples {
		return 0, false
	}
	return time.Duration(l.interval * float64(l.length+1)), true
}

// Join adds w at the end. deadline is the latest start that the request permits (0:
// none); the maximum wait applies as well. The error is ErrQueueFull or
// ErrWaitTooLong.
func (l *WaitList) Join(now time.Duration, deadline time.Duration, w *Waiter) error {
	if l.length >= l.maxRequests {
		return ErrQueueFull
	}
	w.Deadline = now + l.maxWait
	if deadline > 0 {
		w.Deadline = min(w.Deadline, deadline)
	}
	if expected, ok := l.ExpectedWait(); w.Deadline <= now || ok && now+expected > w.Deadline {
		return ErrWaitTooLong
	}
	if l.length == 0 {
		l.head, l.intervalStart = w, now
	} else {
		l.tail.next, w.prev = w, l.tail
	}
	l.tail, w.queued = w, true
	l.length++
	return nil
}

// Leave removes w. started tells whether the request was assigned a backend server.
// Leave reports whether another waiter became the oldest. A second call for the same
// waiter has no effect.
func (l *WaitList) Leave(now time.Duration, w *Waiter, started bool) bool {
	if !w.queued {
		return false
	}
	if started || w == l.head && float64(now-l.intervalStart) > l.interval {
		l.recordInterval(now)
	}
	wasHead := w == l.head
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
	return wasHead && l.head != nil
}

func (l *WaitList) recordInterval(now time.Duration) {
	interval := float64(now - l.intervalStart)
	l.intervalStart = now
	if l.samples == 0 {
		l.interval = interval
	} else {
		l.interval += (interval - l.interval) * intervalSmoothing
	}
	l.samples = min(l.samples+1, minIntervalSamples)
}
