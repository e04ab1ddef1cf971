package backend

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

var errQueueFull = errors.New("queue full")

// slots is a semaphore with a bounded FIFO queue of waiting requests.
type slots struct {
	mu       sync.Mutex
	capacity int
	maxQueue int
	inflight int
	queue    []chan struct{}
}

// acquire waits for a slot. If it returns an error, the caller holds no slot:
// errQueueFull, or the error of ctx if it ended first.
func (s *slots) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.inflight < s.capacity {
		s.inflight++
		s.mu.Unlock()
		return nil
	}
	if len(s.queue) >= s.maxQueue {
		s.mu.Unlock()
		return errQueueFull
	}
	granted := make(chan struct{})
	s.queue = append(s.queue, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.queue, granted); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		return ctx.Err()
	}
	s.releaseLocked() // the slot was granted when ctx ended
	return ctx.Err()
}

// release returns a slot that acquire has granted.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked hands the slot to the first waiting request, if any. The caller
// holds s.mu.
func (s *slots) releaseLocked() {
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = slices.Delete(s.queue, 0, 1)
		return
	}
	s.inflight--
}

// load returns the number of slots in use and of waiting requests.
func (s *slots) load() (inflight, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inflight, len(s.queue)
}
