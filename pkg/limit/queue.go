package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Queue holds requests of one service until a backend server has a free slot. It is
// safe for concurrent use.
type Queue struct {
	start        time.Time
	waitingCount atomic.Int32

	mu       sync.Mutex
	waitList *WaitList
}

// NewQueue returns a queue of at most maxRequests requests (setting
// queue.maxRequests, default 256) that wait at most maxWait each (setting
// queue.maxWaitMs, default 100 ms).
func NewQueue(maxRequests int, maxWait time.Duration) *Queue {
	return &Queue{start: time.Now(), waitList: NewWaitList(maxRequests, maxWait)}
}

// Configure changes the limits for requests that arrive from now on.
func (q *Queue) Configure(maxRequests int, maxWait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waitList.Configure(maxRequests, maxWait)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return int(q.waitingCount.Load()) }

// Admit calls try until it returns true: at once if the queue is empty, otherwise
// when all earlier requests have left the queue, and then after each Wake. The error
// is ErrQueueFull, ErrWaitTooLong, ErrTimeout or the error of ctx. try is not called
// again after it has returned true or Admit has returned.
func (q *Queue) Admit(ctx context.Context, try func() bool) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if q.waitingCount.Load() == 0 && try() {
		return nil
	}
	return q.wait(ctx, try)
}

// Wake lets the oldest request try again. It must be called when an attempt has
// completed and after any other change that may free a slot: a new backend server, a
// higher limit or weight. It does not block.
func (q *Queue) Wake() {
	if q.waitingCount.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.signal()
}

func (q *Queue) wait(ctx context.Context, try func() bool) error {
	var deadline time.Duration
	if d, ok := ctx.Deadline(); ok {
		deadline = max(1, d.Sub(q.start))
	}
	w := &Waiter{signal: make(chan struct{}, 1)}
	q.mu.Lock()
	now := q.now()
	if err := q.waitList.Join(now, deadline, w); err != nil {
		q.mu.Unlock()
		return err
	}
	q.waitingCount.Add(1)
	if q.waitList.Head() == w {
		q.signal()
	}
	q.mu.Unlock()

	timer := time.NewTimer(w.Deadline - now)
	defer timer.Stop()
	for {
		select {
		case <-w.signal:
			if try() {
				q.leave(w, true)
				return nil
			}
		case <-timer.C:
			q.leave(w, false)
			if err := ctx.Err(); err != nil {
				return err
			}
			return ErrTimeout
		case <-ctx.Done():
			q.leave(w, false)
			return ctx.Err()
		}
	}
}

// leave removes w and wakes the next waiter if w was the oldest. It does so even if
// w did not start, because w may have received a wake-up that it did not use.
func (q *Queue) leave(w *Waiter, started bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waitingCount.Add(-1)
	if q.waitList.Leave(q.now(), w, started) {
		q.signal()
	}
}

// signal wakes the oldest waiter. One pending wake-up is sufficient, because the
// waiter wakes the next one when it leaves.
func (q *Queue) signal() {
	if w := q.waitList.Head(); w != nil {
		select {
		case w.signal <- struct{}{}:
		default:
		}
	}
}

func (q *Queue) now() time.Duration { return time.Since(q.start) }
