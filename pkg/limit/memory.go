package limit

import (
	"context"

	"github.com/go-faster/errors"
	"golang.org/x/sync/semaphore"
)

// ErrNoMemory is returned by Grow if the bytes are not free.
var ErrNoMemory = errors.New("the memory is held by other requests")

// memoryShares is the number of requests of unknown size that can begin at once.
const memoryShares = 64

// Memory bounds the memory that all requests together hold for their bodies. A request
// waits only while it holds none: requests that hold some and wait for each other would
// all wait until their deadlines. It is safe for concurrent use.
type Memory struct {
	size int64
	free *semaphore.Weighted
}

// NewMemory returns a Memory of size bytes, all of them free.
func NewMemory(size int64) *Memory { return &Memory{size: size, free: semaphore.NewWeighted(size)} }

// Share returns the number of bytes with which a request of unknown size begins.
func (m *Memory) Share() int64 { return max(1, m.size/memoryShares) }

// Take waits until n bytes are free, in the order of calls, and takes them. A request that
// needs more than there are takes all. It returns the number of bytes that the request
// holds then; the error is that of ctx.
func (m *Memory) Take(ctx context.Context, n int64) (held int64, err error) {
	n = min(n, m.size)
	if err := m.free.Acquire(ctx, n); err != nil {
		return 0, err
	}
	return n, nil
}

// Grow raises what a request holds from held to n bytes, at most all, without waiting. The
// error is ErrNoMemory.
func (m *Memory) Grow(held, n int64) (int64, error) {
	n = min(n, m.size)
	if n <= held {
		return held, nil
	}
	if !m.free.TryAcquire(n - held) {
		return held, ErrNoMemory
	}
	return n, nil
}

// Release frees n bytes.
func (m *Memory) Release(n int64) { m.free.Release(n) }
