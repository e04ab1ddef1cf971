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

// Raise raises what a request holds from held to n bytes, and waits until they are free. A
// request that needs more than there are holds all. It returns the number of bytes that
// the request holds then; the error is that of ctx.
func (m *Memory) Raise(ctx context.Context, held, n int64) (int64, error) {
	n = min(n, m.size)
	if n <= held {
		return held, nil
	}
	if err := m.free.Acquire(ctx, n-held); err != nil {
		return held, err
	}
	return n, nil
}

// Release frees n bytes.
func (m *Memory) Release(n int64) { m.free.Release(n) }
