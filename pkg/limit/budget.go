package limit

import (
	"container/list"
	"sync"
	"time"
)

// Budget bounds the bytes that all holders keep together. If a holder needs more than are
// free, those that give way do so, the one that waits for its caller longest first. It does
// no I/O; the code that calls it passes the time in. It is safe for concurrent use.
type Budget struct {
	size     int64
	patience time.Duration

	mu      sync.Mutex
	held    int64
	waiting list.List // of *Holder, in the order in which they began to wait
	gaveWay uint64
	refused uint64
}

// NewBudget returns a Budget of size bytes. A holder gives way only if it has waited for
// patience.
func NewBudget(size int64, patience time.Duration) *Budget {
	return &Budget{size: size, patience: patience}
}

// BudgetStats is the state of a Budget and its counters since the start.
type BudgetStats struct {
	Held             int64
	GaveWay, Refused uint64
}

// Stats returns the state of the budget.
func (b *Budget) Stats() BudgetStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetStats{b.held, b.gaveWay, b.refused}
}

// Holder is what one connection or request keeps. The zero value is not usable.
type Holder struct {
	budget  *Budget
	giveWay func()

	bytes   int64
	since   time.Duration
	element *list.Element // in budget.waiting; nil: the holder does not wait
	isGone  bool          // it gave way or was released, and holds nothing any more
}

// NewHolder returns a holder of no bytes. giveWay makes it release them; it is called at
// most once, without locks.
func (b *Budget) NewHolder(giveWay func()) *Holder { return &Holder{budget: b, giveWay: giveWay} }

// Hold sets the bytes of the holder to n. It returns false if they do not fit beside what
// others keep that do not give way; the holder then keeps what it had. A single holder
// always fits: what it needs above the size is not counted.
func (h *Holder) Hold(now time.Duration, n int64) bool {
	b := h.budget
	n = min(n, b.size)
	b.mu.Lock()
	var leaving []*Holder
	for e := b.waiting.Front(); e != nil && !h.isGone && b.held-h.bytes+n > b.size; {
		other, _ := e.Value.(*Holder)
		e = e.Next()
		if now-other.since < b.patience {
			break
		}
		if other != h && other.bytes > 0 {
			other.leave()
			b.gaveWay++
			leaving = append(leaving, other)
		}
	}
	fits := !h.isGone && (n <= h.bytes || b.held-h.bytes+n <= b.size)
	if fits {
		b.held += n - h.bytes
		h.bytes = n
	} else if !h.isGone {
		b.refused++
	}
	b.mu.Unlock()
	for _, other := range leaving {
		other.giveWay()
	}
	return fits
}

// leave takes the holder out of the budget.
func (h *Holder) leave() {
	h.stop()
	h.budget.held -= h.bytes
	h.bytes, h.isGone = 0, true
}

func (h *Holder) stop() {
	if h.element != nil {
		h.budget.waiting.Remove(h.element)
		h.element = nil
	}
}

// Wait states that the holder waits for its caller from now on and may give way. It has no
// effect on a holder that waits already.
func (h *Holder) Wait(now time.Duration) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.element == nil && !h.isGone {
		h.since, h.element = now, h.budget.waiting.PushBack(h)
	}
}

// Go states that the holder no longer waits and does not give way.
func (h *Holder) Go() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.stop()
}

// Release frees what the holder keeps. The holder can't be used again.
func (h *Holder) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.leave()
}
