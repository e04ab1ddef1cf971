package limit

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrNoMemory is returned by Grow if another request that holds memory waits for more.
var ErrNoMemory = errors.New("the memory is held by other requests")

// memoryShares is the number of requests of unknown size that can begin at once.
const memoryShares = 64

const (
	// receivePatience is how long a body must not have arrived before its request gives way
	// to one that waits for memory.
	receivePatience = time.Second
	// receiveProgressBytes is how much of a body must arrive to count as progress.
	receiveProgressBytes = 4 << 10
	// waitInterval is how often a request that waits looks for bodies that do not arrive,
	// and for memory that other holders have freed.
	waitInterval = 20 * time.Millisecond
)

// Memory bounds the memory that all requests together hold for their bodies. Of the
// requests that hold some, at most one waits for more: several would wait for each other
// until their deadlines. The others are refused and release what they hold, so that one
// of those that compete is always served. It is safe for concurrent use.
type Memory struct {
	size  int64
	total *Total // that bounds the memory with others; nil: no other bound

	mu        sync.Mutex
	free      int64
	growing   *memoryWaiter // comes before those in waiters; nil: no request that holds memory waits
	waiters   list.List     // of *memoryWaiter, in the order of their calls
	receivers list.List     // of *Receiver, in the order of their progress
	gaveWay   uint64
}

// memoryWaiter is a request that waits.
type memoryWaiter struct {
	bytes   int64
	granted chan struct{} // closed when the request has the bytes
}

// NewMemory returns a Memory of size bytes, all of them free. total bounds them together
// with what others hold; nil: nothing else does.
func NewMemory(size int64, total *Total) *Memory {
	return &Memory{size: size, total: total, free: size}
}

// Size returns the size in bytes.
func (m *Memory) Size() int64 { return m.size }

// GaveWay returns the number of requests that were told to give way.
func (m *Memory) GaveWay() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gaveWay
}

// take takes n bytes if they are free. It must be called with the lock held.
func (m *Memory) take(n int64) bool {
	if m.free < n || !m.total.Take(n) {
		return false
	}
	m.free -= n
	return true
}

// Receiver is a request whose body arrives. It gives way if the body does not.
type Receiver struct {
	memory  *Memory
	giveWay func()

	bytes   int // since the last progress
	since   time.Time
	element *list.Element // in memory.receivers; nil: the body has arrived or the request gives way
	isTold  bool          // to give way
}

// Receive states that a body is about to arrive, for which memory is or will be held.
// giveWay is called at most once, without locks; the request must release its memory then.
func (m *Memory) Receive(giveWay func()) *Receiver {
	r := &Receiver{memory: m, giveWay: giveWay, since: time.Now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.element = m.receivers.PushBack(r)
	return r
}

// Arrived states that n bytes of the body have arrived.
func (r *Receiver) Arrived(n int) {
	if r.bytes += n; r.bytes < receiveProgressBytes {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.bytes, r.since = 0, time.Now()
	if r.element != nil {
		r.memory.receivers.MoveToBack(r.element)
	}
}

// Done states that no more of the body will arrive. It reports whether the request was told
// to give way.
func (r *Receiver) Done() (isTold bool) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.remove()
	return r.isTold
}

func (r *Receiver) remove() {
	if r.element != nil {
		r.memory.receivers.Remove(r.element)
		r.element = nil
	}
}

// tellOldest tells the request whose body has not arrived for longest to give way.
func (m *Memory) tellOldest() {
	m.mu.Lock()
	var oldest *Receiver
	if e := m.receivers.Front(); e != nil {
		oldest, _ = e.Value.(*Receiver)
	}
	if oldest == nil || time.Since(oldest.since) < receivePatience {
		m.mu.Unlock()
		return
	}
	oldest.remove()
	oldest.isTold = true
	m.gaveWay++
	m.mu.Unlock()
	oldest.giveWay()
}

// Share returns the number of bytes with which a request of unknown size begins.
func (m *Memory) Share() int64 { return max(1, m.size/memoryShares) }

// Take waits until n bytes are free, in the order of calls, and takes them. A request that
// needs more than there are takes all. It returns the number of bytes that the request
// holds then; the error is that of ctx.
func (m *Memory) Take(ctx context.Context, n int64) (held int64, err error) {
	n = min(n, m.size)
	m.mu.Lock()
	if m.growing == nil && m.waiters.Len() == 0 && m.take(n) {
		m.mu.Unlock()
		return n, nil
	}
	w := &memoryWaiter{n, make(chan struct{})}
	element := m.waiters.PushBack(w)
	m.mu.Unlock()
	return n, m.wait(ctx, w, func() { m.waiters.Remove(element) })
}

// Grow raises what a request holds from held to n bytes, at most all. It waits until they
// are free, before the requests that hold none. The error is ErrNoMemory if another
// request that holds memory waits, or that of ctx; the request then still holds held.
func (m *Memory) Grow(ctx context.Context, held, n int64) (int64, error) {
	n = min(n, m.size)
	if n <= held {
		return held, nil
	}
	m.mu.Lock()
	switch {
	case m.growing != nil:
		m.mu.Unlock()
		return held, ErrNoMemory
	case m.take(n - held):
		m.mu.Unlock()
		return n, nil
	}
	w := &memoryWaiter{n - held, make(chan struct{})}
	m.growing = w
	m.mu.Unlock()
	if err := m.wait(ctx, w, func() { m.growing = nil }); err != nil {
		return held, err
	}
	return n, nil
}

// wait waits until w is granted or ctx ends; then remove takes w out of its place.
func (m *Memory) wait(ctx context.Context, w *memoryWaiter, remove func()) error {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-w.granted:
			return nil
		case <-ctx.Done():
		case <-ticker.C:
			if m.isNext(w) {
				m.tellOldest()
			}
			m.mu.Lock()
			m.grant()
			m.mu.Unlock()
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-w.granted:
		return nil // the grant came before the lock
	default:
	}
	remove()
	m.grant() // those behind w may need less
	return ctx.Err()
}

// isNext reports whether w gets the next bytes that are free.
func (m *Memory) isNext(w *memoryWaiter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.growing != nil {
		return m.growing == w
	}
	front := m.waiters.Front()
	return front != nil && front.Value == w
}

// grant gives the free bytes to those that wait, in their order.
func (m *Memory) grant() {
	if w := m.growing; w != nil {
		if !m.take(w.bytes) {
			return
		}
		m.growing = nil
		close(w.granted)
	}
	for e := m.waiters.Front(); e != nil; e = m.waiters.Front() {
		w, _ := e.Value.(*memoryWaiter)
		if !m.take(w.bytes) {
			return
		}
		m.waiters.Remove(e)
		close(w.granted)
	}
}

// Release frees n bytes.
func (m *Memory) Release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.free += n; m.free > m.size {
		panic("limit: more memory released than taken")
	}
	m.total.Release(n)
	m.grant()
}
