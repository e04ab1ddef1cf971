package limit

import "time"

const (
	// maxRanks is the number of ranks that a WaitList distinguishes.
	maxRanks = 8
	// agingStep is the wait after which a waiter counts as one rank more urgent. It is
	// about the longest wait that a target latency of half a second leaves, so that a
	// waiter overtakes later arrivals only if its own target permits such a wait.
	agingStep = 200 * time.Millisecond
	// continueMargin is the factor on the expected wait of a waiter after its hold. The
	// expectation is a mean; without a margin half of those that go on waiting are refused
	// late.
	continueMargin = 4
	// maxOvertakingShare bounds the share of starts that are expected to overtake a
	// waiter, so that the expected wait stays finite.
	maxOvertakingShare = 0.9
)

// Ranked says how a request waits among requests of other ranks.
type Ranked struct {
	Rank    int           // 0 is the most urgent
	MaxWait time.Duration // longest wait that is useful to the caller
	// Hold is the wait after which the request is refused unless the rate of recent
	// starts shows that it will start in time.
	Hold time.Duration
	// Retry is the time after which the head tries again without a wake-up, because room
	// may come from work of other instances that has ended; 0: never.
	Retry time.Duration
}

// rankList is the list of the waiters of one rank, sorted by their order.
type rankList struct{ first, last *Waiter }

// insert adds w behind all waiters with the same or a smaller order.
func (l *rankList) insert(w *Waiter) {
	prev := l.last
	for prev != nil && prev.order > w.order {
		prev = prev.prev
	}
	w.prev = prev
	if prev == nil {
		w.next, l.first = l.first, w
	} else {
		w.next, prev.next = prev.next, w
	}
	if w.next == nil {
		l.last = w
	} else {
		w.next.prev = w
	}
}

func (l *rankList) remove(w *Waiter) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		l.first = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		l.last = w.prev
	}
	w.prev, w.next = nil, nil
}

// agedRank returns the rank of a waiter less one for each agingStep that it has waited.
func (l *WaitList) agedRank(w *Waiter) int {
	return w.rank - int((l.lastNow-w.joined)/agingStep)
}

// precedes reports whether a starts before b: by aged rank, then by the latest start.
// Waiters of the same rank do not age against each other.
func (l *WaitList) precedes(a, b *Waiter) bool {
	if a.rank == b.rank {
		return a.order <= b.order
	}
	if ra, rb := l.agedRank(a), l.agedRank(b); ra != rb {
		return ra < rb
	}
	return a.Deadline < b.Deadline
}

// HeadAt is Head at a time, which the ranks of the waiters depend on.
func (l *WaitList) HeadAt(now time.Duration) *Waiter {
	l.lastNow = max(l.lastNow, now)
	return l.Head()
}

// JoinRanked adds w by its rank and its latest start. deadline is the deadline of the
// request (0: none). If the queue is full, w displaces the least urgent waiter with the
// latest start, provided that w is more urgent; the displaced waiter has left the queue.
// The error is ErrQueueFull or ErrWaitTooLong.
func (l *WaitList) JoinRanked(now, deadline time.Duration, r Ranked, w *Waiter) (displaced *Waiter, err error) {
	l.lastNow = max(l.lastNow, now)
	w.rank, w.joined = min(max(0, r.Rank), maxRanks-1), now
	w.Deadline = now + r.MaxWait
	if deadline > 0 {
		w.Deadline = min(w.Deadline, deadline)
	}
	w.order = w.Deadline
	if l.length >= l.maxRequests {
		displaced = l.leastUrgent()
		if displaced == nil || displaced.rank <= w.rank {
			return nil, ErrQueueFull
		}
	}
	ahead := l.countAhead(w)
	// A new head tries at once, whatever the rate of starts is.
	if expected, ok := l.expectedWait(ahead, w.rank); w.Deadline <= now || ok && ahead > 0 && now+expected > w.Deadline {
		return nil, ErrWaitTooLong
	}
	if displaced != nil {
		l.remove(displaced)
	}
	l.insert(now, w)
	return displaced, nil
}

// MayContinue reports whether a waiter may go on waiting: for its first hold in any case,
// afterwards as long as the rate of recent starts shows that it will start in time.
func (l *WaitList) MayContinue(now time.Duration, w *Waiter, hold time.Duration) bool {
	l.lastNow = max(l.lastNow, now)
	switch {
	case !w.queued, now >= w.Deadline:
		return false
	case now < w.joined+hold:
		return true
	}
	expected, ok := l.expectedWait(l.countAhead(w), w.rank)
	// Without a start for longer than usual the rate has fallen.
	expected = max(expected, now-l.intervalStart)
	return ok && now+continueMargin*expected <= w.Deadline
}

// leastUrgent returns the waiter of the least urgent rank with the latest start, or nil.
// Aging does not count here: a waiter that has waited for long would be refused soon.
func (l *WaitList) leastUrgent() *Waiter {
	for i := len(l.ranks) - 1; i >= 0; i-- {
		if w := l.ranks[i].last; w != nil {
			return w
		}
	}
	return nil
}

// MoreUrgent returns the waiter that may start although w, which comes before it by
// aging, has found no room: the first one of the ranks that are more urgent than that of
// w, or nil. There may be room for these, because they need to leave less headroom.
func (l *WaitList) MoreUrgent(now time.Duration, w *Waiter) (out *Waiter) {
	l.lastNow = max(l.lastNow, now)
	for i := range w.rank {
		if first := l.ranks[i].first; first != nil && (out == nil || l.precedes(first, out)) {
			out = first
		}
	}
	return out
}

// countAhead returns the number of waiters that w has to wait for: those of more urgent
// ranks and those of its own with an earlier order.
func (l *WaitList) countAhead(w *Waiter) (n int) {
	for i := range w.rank + 1 {
		for other := l.ranks[i].first; other != nil; other = other.next {
			if other != w && (i < w.rank || other.order <= w.order) {
				n++
			}
		}
	}
	return n
}

// expectedWait returns the expected wait with a number of waiters ahead and with starts
// of more urgent ranks in between, or false if it is unknown.
func (l *WaitList) expectedWait(ahead, rank int) (time.Duration, bool) {
	if l.length == 0 || l.samples < minIntervalSamples {
		return 0, false
	}
	overtaking := 0.0
	for _, share := range l.startShares[:rank] {
		overtaking += share
	}
	return time.Duration(l.interval * float64(ahead+1) / (1 - min(overtaking, maxOvertakingShare))), true
}

// recordStart updates the shares of the starts by rank.
func (l *WaitList) recordStart(rank int) {
	for i := range l.startShares {
		started := 0.0
		if i == rank {
			started = 1
		}
		l.startShares[i] += (started - l.startShares[i]) * intervalSmoothing
	}
}
