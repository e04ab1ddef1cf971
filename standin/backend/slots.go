package backend

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

var errQueueFull = errors.New("queue full")

// slots admits a fixed number of requests at once and queues a bounded number
// of others in order of arrival.
type slots struct {
	mu       sync.Mutex
	total    int
	maxQueue int
	inflight int
	queue    []chan struct{}
}

// acquire waits for a slot. An error means that none was taken.
func (s *slots) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.inflight < s.total {
		s.inflight++
		s.mu.Unlock()
		return nil
	}
	if len(s.queue) >= s.maxQueue {
		s.mu.Unlock()
		return errQueueFull
	}
	w := make(chan struct{})
	s.queue = append(s.queue, w)
	s.mu.Unlock()
	select {
	case <-w:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.queue, w); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		return ctx.Err()
	}
	s.free() // the slot was granted at the same moment
	return ctx.Err()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free()
}

func (s *slots) free() {
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = slices.Delete(s.queue, 0, 1)
		return
	}
	s.inflight--
}

func (s *slots) load() (inflight, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inflight, len(s.queue)
}
