package backend

import (
	"context"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a queue that is not served in order of arrival or exceeds its
// bound, and against a slot that leaks when a waiting request is canceled.
func TestSlots(t *testing.T) {
	s := slots{capacity: 1, maxQueue: 3}
	require.NoError(t, s.acquire(context.Background()))
	order := make(chan int, 3)
	canceled := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	waitForQueued := func(queued int) {
		for _, n := s.load(); n != queued; _, n = s.load() {
			runtime.Gosched()
		}
	}
	for i := range 3 {
		go func() {
			if i == 1 {
				canceled <- s.acquire(ctx)
				return
			}
			if err := s.acquire(context.Background()); err != nil {
				panic(err)
			}
			order <- i
			s.release()
		}()
		waitForQueued(i + 1)
	}
	require.ErrorIs(t, s.acquire(context.Background()), errQueueFull)
	cancel()
	require.ErrorIs(t, <-canceled, context.Canceled)
	waitForQueued(2)
	s.release()
	require.Equal(t, 0, <-order)
	require.Equal(t, 2, <-order)
	for inflight, _ := s.load(); inflight != 0; inflight, _ = s.load() {
		runtime.Gosched()
	}
}
