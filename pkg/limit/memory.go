package limit

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// Memory bounds the memory that all requests together hold for their bodies. Requests that
// find none wait in the order of their arrival. It is safe for concurrent use.
type Memory struct {
	size int64
	free *semaphore.Weighted
}

// NewMemory returns a Memory of size bytes, all of them free.
func NewMemory(size int64) *Memory { return &Memory{size: size, free: semaphore.NewWeighted(size)} }

// Take waits until n bytes are free and takes them. A request that needs more than there
// are takes all. It returns the number of bytes to pass to Release; the error is that of
// ctx.
func (m *Memory) Take(ctx context.Context, n int64) (taken int64, err error) {
	n = min(n, m.size)
	if err := m.free.Acquire(ctx, n); err != nil {
		return 0, err
	}
	return n, nil
}

// Release frees n bytes.
func (m *Memory) Release(n int64) { m.free.Release(n) }
