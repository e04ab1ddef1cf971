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
	// ErrDisplaced is returned to a waiter whose place in a full queue a more urgent
	// request has taken. errors.Is(ErrDisplaced, ErrQueueFull) is true.
	ErrDisplaced = errors.Wrap(ErrQueueFull, "displaced by a more urgent request")
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
	rank     int
	order    time.Duration // within the rank: the time of arrival or, if ranked, the latest start
	joined   time.Duration
	prev     *Waiter
	next     *Waiter
	queued   bool
	signal   chan turn     // used by Queue only
	evicted  chan struct{} // used by Queue only
}

// WaitList is a bounded queue of waiters, ordered by rank (see ranked.go). Waiters that
// call Join have the same rank, so that a queue of these is FIFO. Times are durations on
// the clock of the calling code. It is not safe for concurrent use.
type WaitList struct {
	maxRequests   int
	maxWait       time.Duration
	ranks         [maxRanks]rankList
	startShares   [maxRanks]float64 // smoothed share of the starts that are of each rank
	lastNow       time.Duration     // latest time that was passed in
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

// Head returns the waiter that starts next, or nil: without ranks the oldest.
func (l *WaitList) Head() *Waiter {
	var head *Waiter
	for i := range l.ranks {
		if w := l.ranks[i].first; w != nil && (head == nil || l.precedes(w, head)) {
			head = w
		}
	}
	return head
}

// ExpectedWait returns the expected wait of a request that joins at the end now, or false
// if it is unknown. It is always unknown for an empty queue; otherwise an interval
// measured in an outage would cause rejections forever.
func (l *WaitList) ExpectedWait() (time.Duration, bool) {
	return l.expectedWait(l.length, 0)
}

// Join adds w at the end of the most urgent rank. deadline is the latest start that the
// request permits (0: none); the maximum wait applies as well. The error is ErrQueueFull
// or ErrWaitTooLong.
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
	w.rank, w.order = 0, now
	l.insert(now, w)
	return nil
}

// insert adds w to the waiters of its rank.
func (l *WaitList) insert(now time.Duration, w *Waiter) {
	l.lastNow = max(l.lastNow, now)
	if l.length == 0 {
		l.intervalStart = now
	}
	w.joined, w.queued = now, true
	l.ranks[w.rank].insert(w)
	l.length++
}

// Leave removes w. started tells whether the request was assigned a backend server.
// Leave reports whether w was the head and another waiter has become the head. A second
// call for the same waiter has no effect.
func (l *WaitList) Leave(now time.Duration, w *Waiter, started bool) bool {
	l.lastNow = max(l.lastNow, now)
	if !w.queued {
		return false
	}
	wasHead := w == l.Head()
	if started || wasHead && float64(now-l.intervalStart) > l.interval {
		l.recordInterval(now)
	}
	if started {
		l.recordStart(w.rank)
	}
	l.remove(w)
	return wasHead && l.length > 0
}

func (l *WaitList) remove(w *Waiter) {
	l.ranks[w.rank].remove(w)
	w.queued = false
	l.length--
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
