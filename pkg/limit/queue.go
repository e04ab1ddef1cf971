package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Queue holds requests of one service until a backend server is free.
type Queue struct {
	start   time.Time
	waiting atomic.Int32

	mu   sync.Mutex
	line *Line
}

// NewQueue returns a queue for up to maxRequests requests (setting
// queue.maxRequests, default 256) of up to maxWait each (queue.maxWaitMs,
// default 100 ms).
func NewQueue(maxRequests int, maxWait time.Duration) *Queue {
	return &Queue{start: time.Now(), line: NewLine(maxRequests, maxWait)}
}

// Configure changes the bounds for requests that arrive from now on.
func (q *Queue) Configure(maxRequests int, maxWait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.line.Configure(maxRequests, maxWait)
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return int(q.waiting.Load()) }

// Admit calls try until it returns true: at once if nobody waits, otherwise
// when all earlier requests have left, and then after each Wake. The error is
// ErrFull, ErrLate, ErrTimeout or the context's error. try is never called
// again once it returned true, and never after Admit returned.
func (q *Queue) Admit(ctx context.Context, try func() bool) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if q.waiting.Load() == 0 && try() {
		return nil
	}
	return q.wait(ctx, try)
}

// Wake lets the oldest request try again. It is called after an attempt ended
// and after anything else that may have made a slot free: a new backend server,
// a higher limit or weight. It does not block.
func (q *Queue) Wake() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.turn()
}

func (q *Queue) wait(ctx context.Context, try func() bool) error {
	var deadline time.Duration
	if d, ok := ctx.Deadline(); ok {
		deadline = max(1, d.Sub(q.start))
	}
	w := &Waiter{turn: make(chan struct{}, 1)}
	q.mu.Lock()
	now := q.now()
	if err := q.line.Join(now, deadline, w); err != nil {
		q.mu.Unlock()
		return err
	}
	q.waiting.Add(1)
	if q.line.Head() == w {
		q.turn()
	}
	q.mu.Unlock()

	timer := time.NewTimer(w.Deadline - now)
	defer timer.Stop()
	for {
		select {
		case <-w.turn:
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

// leave removes w and passes the turn on. The next waiter is woken even where w
// did not start: w may have taken a turn that it did not use.
func (q *Queue) leave(w *Waiter, started bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting.Add(-1)
	if q.line.Leave(q.now(), w, started) {
		q.turn()
	}
}

// turn wakes the oldest waiter. One pending turn is enough, because the waiter
// passes it on when it leaves.
func (q *Queue) turn() {
	if w := q.line.Head(); w != nil {
		select {
		case w.turn <- struct{}{}:
		default:
		}
	}
}

func (q *Queue) now() time.Duration { return time.Since(q.start) }
