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
	return q.wait(ctx, nil, try)
}

// AdmitRanked is Admit for a request that waits among others by its rank. The error may
// also be ErrDisplaced.
func (q *Queue) AdmitRanked(ctx context.Context, r Ranked, try func() bool) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if q.waitingCount.Load() == 0 && try() {
		return nil
	}
	return q.wait(ctx, &r, try)
}

// ExpectedWait returns the expected wait of a request that joins at the end of the queue
// now, or false if it is unknown.
func (q *Queue) ExpectedWait() (time.Duration, bool) {
	if q.waitingCount.Load() == 0 {
		return 0, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waitList.ExpectedWait()
}

// Wake lets the head of the queue try again. It must be called when an attempt has
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

// wait joins the queue and returns when the request has started or is refused. r is nil
// for a request without a rank.
func (q *Queue) wait(ctx context.Context, r *Ranked, try func() bool) error {
	w := &Waiter{signal: make(chan turn, 1), evicted: make(chan struct{})}
	if err := q.join(ctx, r, w); err != nil {
		return err
	}
	timer := time.NewTimer(q.untilNextCheck(r, w))
	defer timer.Stop()
	for {
		select {
		case turn := <-w.signal:
			if q.mayTry(w, turn) {
				if try() {
					q.leave(w, true)
					return nil
				}
				q.passOn(w)
			}
		case <-w.evicted:
			return ErrDisplaced
		case <-timer.C:
			if r != nil && q.mayContinue(w, r) {
				timer.Reset(q.untilNextCheck(r, w))
				continue
			}
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

// join adds w to the queue and refuses the waiter that it displaces, if any.
func (q *Queue) join(ctx context.Context, r *Ranked, w *Waiter) error {
	var deadline time.Duration
	if d, ok := ctx.Deadline(); ok {
		deadline = max(1, d.Sub(q.start))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if r == nil {
		if err := q.waitList.Join(q.now(), deadline, w); err != nil {
			return err
		}
	} else {
		displaced, err := q.waitList.JoinRanked(q.now(), deadline, *r, w)
		if err != nil {
			return err
		}
		if displaced != nil {
			q.waitingCount.Add(-1)
			close(displaced.evicted)
		}
	}
	q.waitingCount.Add(1)
	if head := q.waitList.HeadAt(q.now()); head == w {
		q.signal()
	} else if q.waitList.MoreUrgent(q.now(), head) == w {
		w.wake(passedOn)
	}
	return nil
}

// untilNextCheck returns the time until a waiter is refused, reviewed or tries again
// without a wake-up, whichever comes first.
func (q *Queue) untilNextCheck(r *Ranked, w *Waiter) time.Duration {
	now := q.now()
	left := w.Deadline - now
	if r != nil && r.Retry > 0 {
		left = min(left, r.Retry)
	}
	if r != nil && now < w.joined+r.Hold {
		left = min(left, w.joined+r.Hold-now)
	}
	return max(0, left)
}

// mayContinue reports whether a ranked waiter may go on waiting. If it is the head, it
// tries again.
func (q *Queue) mayContinue(w *Waiter, r *Ranked) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.waitList.MayContinue(q.now(), w, r.Hold) {
		return false
	}
	if q.waitList.Head() == w {
		w.wake(asHead)
	}
	return true
}

// mayTry reports whether a waiter that was woken may try to start. A waiter that is no
// longer the head wakes the head instead.
func (q *Queue) mayTry(w *Waiter, turn turn) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !w.queued || turn == passedOn || q.waitList.HeadAt(q.now()) == w {
		return w.queued
	}
	q.signal()
	return false
}

// passOn wakes the waiter that may start although w has found no room.
func (q *Queue) passOn(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if next := q.waitList.MoreUrgent(q.now(), w); next != nil {
		next.wake(passedOn)
	}
}

// leave removes w and wakes the next waiter if w was the head. It does so even if
// w did not start, because w may have received a wake-up that it did not use.
func (q *Queue) leave(w *Waiter, started bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !w.queued {
		return // displaced
	}
	q.waitingCount.Add(-1)
	wasHead := q.waitList.Leave(q.now(), w, started)
	select {
	case <-w.signal:
		wasHead = true // a wake-up from when it was the head
	default:
	}
	if wasHead {
		q.signal()
	}
}

// signal wakes the head. One pending wake-up is sufficient, because the waiter wakes the
// next one when it leaves.
func (q *Queue) signal() {
	if w := q.waitList.HeadAt(q.now()); w != nil {
		w.wake(asHead)
	}
}

// turn says why a waiter is woken.
type turn uint8

const (
	asHead   turn = iota
	passedOn      // the head, which is less urgent, has found no room
)

func (w *Waiter) wake(t turn) {
	select {
	case w.signal <- t:
	default:
	}
}

func (q *Queue) now() time.Duration { return time.Since(q.start) }
