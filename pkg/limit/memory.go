package limit

import (
	"container/list"
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// ErrNoMemory is returned by Grow if another request that holds memory waits for more.
var ErrNoMemory = errors.New("the memory is held by other requests")

// memoryShares is the number of requests of unknown size that can begin at once.
const memoryShares = 64

// Memory bounds the memory that all requests together hold for their bodies. Of the
// requests that hold some, at most one waits for more: several would wait for each other
// until their deadlines. The others are refused and release what they hold, so that one
// of those that compete is always served. It is safe for concurrent use.
type Memory struct {
	size int64

	mu      sync.Mutex
	free    int64
	growing *memoryWaiter // comes before those in waiters; nil: no request that holds memory waits
	waiters list.List     // of *memoryWaiter, in the order of their calls
}

// memoryWaiter is a request that waits.
type memoryWaiter struct {
	bytes   int64
	granted chan struct{} // closed when the request has the bytes
}

// NewMemory returns a Memory of size bytes, all of them free.
func NewMemory(size int64) *Memory { return &Memory{size: size, free: size} }

// Share returns the number of bytes with which a request of unknown size begins.
func (m *Memory) Share() int64 { return max(1, m.size/memoryShares) }

// Take waits until n bytes are free, in the order of calls, and takes them. A request that
// needs more than there are takes all. It returns the number of bytes that the request
// holds then; the error is that of ctx.
func (m *Memory) Take(ctx context.Context, n int64) (held int64, err error) {
	n = min(n, m.size)
	m.mu.Lock()
	if m.growing == nil && m.waiters.Len() == 0 && m.free >= n {
		m.free -= n
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
	case m.free >= n-held:
		m.free -= n - held
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
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
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

// grant gives the free bytes to those that wait, in their order.
func (m *Memory) grant() {
	if w := m.growing; w != nil {
		if w.bytes > m.free {
			return
		}
		m.growing = nil
		m.give(w)
	}
	for e := m.waiters.Front(); e != nil; e = m.waiters.Front() {
		w, _ := e.Value.(*memoryWaiter)
		if w.bytes > m.free {
			return
		}
		m.waiters.Remove(e)
		m.give(w)
	}
}

func (m *Memory) give(w *memoryWaiter) {
	m.free -= w.bytes
	close(w.granted)
}

// Release frees n bytes.
func (m *Memory) Release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.free += n; m.free > m.size {
		panic("limit: more memory released than taken")
	}
	m.grant()
}
