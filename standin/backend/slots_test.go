package backend

import (
	"context"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a queue that is not served in order of arrival, a bound that
// is not kept, and a slot that is lost when a waiting request is cancelled.
func TestSlots(t *testing.T) {
	s := slots{total: 1, maxQueue: 3}
	require.NoError(t, s.acquire(context.Background()))
	order := make(chan int, 3)
	failed := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	wait := func(queued int) {
		for _, n := s.load(); n != queued; _, n = s.load() {
			runtime.Gosched()
		}
	}
	for i := range 3 {
		go func() {
			if i == 1 {
				failed <- s.acquire(ctx)
				return
			}
			if err := s.acquire(context.Background()); err != nil {
				panic(err)
			}
			order <- i
			s.release()
		}()
		wait(i + 1)
	}
	require.ErrorIs(t, s.acquire(context.Background()), errQueueFull)
	cancel()
	require.ErrorIs(t, <-failed, context.Canceled)
	wait(2)
	s.release()
	require.Equal(t, 0, <-order)
	require.Equal(t, 2, <-order)
	for inflight, _ := s.load(); inflight != 0; inflight, _ = s.load() {
		runtime.Gosched()
	}
}
