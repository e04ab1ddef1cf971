package limit

import (
	"container/list"
	"sync"
	"time"
)

// Budget bounds the bytes that all holders keep together. If a holder needs more than are
// free, those that give way are told to, the one that waits for its caller longest first.
// What they keep counts until they have freed it. The code that calls Budget passes the
// time in; only Await waits. It is safe for concurrent use.
type Budget struct {
	size     int64
	patience time.Duration

	mu      sync.Mutex
	held    int64
	leaving int64     // the part of held that was told to give way
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

	bytes     int64
	since     time.Duration
	element   *list.Element // in budget.waiting; nil: the holder does not wait
	isLeaving bool          // it was told to give way, and gets no more bytes
	isGone    bool          // it was released, and holds nothing any more
}

// Grant is the result of Holder.Hold.
type Grant uint8

// Results of Holder.Hold.
const (
	Refused Grant = iota
	Granted
	Pending // others give way to the holder, which must ask again
)

// NewHolder returns a holder of no bytes. giveWay is called at most once, without locks. The
// holder must free what it keeps then and state that by Reduce or Release, at once or later.
func (b *Budget) NewHolder(giveWay func()) *Holder { return &Holder{budget: b, giveWay: giveWay} }

// Hold sets the bytes of the holder to n. Unless the result is Granted, the holder keeps
// what it had: the bytes do not fit beside what others keep that do not give way, or those
// that do have not freed theirs yet. A single holder always fits: what it needs above the
// size is not counted.
func (h *Holder) Hold(now time.Duration, n int64) Grant {
	b := h.budget
	n = min(n, b.size)
	b.mu.Lock()
	grant, leaving := h.tryHold(now, n)
	b.mu.Unlock()
	for _, other := range leaving {
		other.giveWay()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(leaving) > 0 {
		grant, _ = h.tryHold(now, n)
	}
	if grant == Refused && !h.isLeaving && !h.isGone {
		b.refused++
	}
	return grant
}

const (
	// pendingInterval is how often Await asks again, and maxPending how often at most: those
	// that give way need to be scheduled once.
	pendingInterval = time.Millisecond
	maxPending      = 1000
)

// Await is Hold that waits while others give way to the holder, at most a second of the
// clock now. It reports whether the holder keeps n bytes.
func (h *Holder) Await(now func() time.Duration, n int64) bool {
	grant := h.Hold(now(), n)
	for i := 0; grant == Pending && i < maxPending; i++ {
		time.Sleep(pendingInterval)
		grant = h.Hold(now(), n)
	}
	return grant == Granted
}

// tryHold must be called with the lock held. It returns the holders that the caller must
// tell to give way.
func (h *Holder) tryHold(now time.Duration, n int64) (Grant, []*Holder) {
	b := h.budget
	excess := b.held - h.bytes + n - b.size
	switch {
	case h.isLeaving || h.isGone:
		return Refused, nil
	case n <= h.bytes || excess <= 0:
		b.held += n - h.bytes
		h.bytes = n
		return Granted, nil
	}
	var leaving []*Holder
	for e := b.waiting.Front(); e != nil && b.leaving < excess; {
		other, _ := e.Value.(*Holder)
		e = e.Next()
		if now-other.since < b.patience {
			break
		}
		if other != h && other.bytes > 0 {
			other.leave()
			leaving = append(leaving, other)
		}
	}
	if b.leaving >= excess {
		return Pending, leaving
	}
	return Refused, leaving
}

// leave must be called with the lock held.
func (h *Holder) leave() {
	h.stop()
	h.isLeaving = true
	h.budget.leaving += h.bytes
	h.budget.gaveWay++
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
	if h.element == nil && !h.isLeaving && !h.isGone {
		h.since, h.element = now, h.budget.waiting.PushBack(h)
	}
}

// Go states that the holder no longer waits and does not give way.
func (h *Holder) Go() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.stop()
}

// Reduce states that the holder keeps n bytes, which are no more than before. It is also
// for one that gives way.
func (h *Holder) Reduce(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.reduce(min(n, h.bytes))
}

func (h *Holder) reduce(n int64) {
	freed := h.bytes - n
	h.budget.held -= freed
	if h.isLeaving {
		h.budget.leaving -= freed
	}
	h.bytes = n
}

// Release frees what the holder keeps. The holder can't be used again.
func (h *Holder) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.stop()
	h.reduce(0)
	h.isGone = true
}
