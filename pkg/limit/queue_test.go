package limit_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/limit"
)

// Guards against a WaitList that violates FIFO order or its limits, or loses a
// waiter. The model is a slice.
func TestWaitList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 5).Draw(t, "size")
		list := limit.NewWaitList(size, 100*ms)
		var now time.Duration
		var model []*limit.Waiter
		leave := func(t *rapid.T, i int, started bool) {
			w := model[i]
			model = slices.Delete(model, i, i+1)
			if next := list.Leave(now, w, started); next != (i == 0 && len(model) > 0) {
				t.Fatalf("Leave at position %d with %d waiters left returned new head: %v", i, len(model), next)
			}
			if list.Leave(now, w, started) {
				t.Fatal("second Leave has an effect")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				w := &limit.Waiter{}
				deadline := now + rapid.SampledFrom([]time.Duration{-now, 0, 20 * ms, 200 * ms}).Draw(t, "deadline")
				err := list.Join(now, deadline, w)
				late := deadline > 0 && deadline <= now
				switch {
				case len(model) >= size:
					if !errors.Is(err, limit.ErrQueueFull) {
						t.Fatalf("Join of a full queue returned %v", err)
					}
				case err == nil && late, err != nil && !errors.Is(err, limit.ErrWaitTooLong), err != nil && len(model) == 0 && !late:
					t.Fatalf("Join with %d waiters at %s with deadline %s returned %v", len(model), now, deadline, err)
				case err == nil:
					if w.Deadline > now+100*ms || deadline > 0 && w.Deadline > deadline {
						t.Fatalf("deadline %s at %s", w.Deadline, now)
					}
					model = append(model, w)
				}
			},
			"start": func(t *rapid.T) {
				if len(model) > 0 {
					leave(t, 0, true)
				}
			},
			"give up": func(t *rapid.T) {
				if len(model) > 0 {
					leave(t, rapid.IntRange(0, len(model)-1).Draw(t, "place"), false)
				}
			},
			"time": func(t *rapid.T) { now += rapid.SampledFrom([]time.Duration{ms, 10 * ms, 90 * ms}).Draw(t, "step") },
			"": func(t *rapid.T) {
				if list.Len() != len(model) || len(model) > size {
					t.Fatalf("%d waiters, want %d of %d", list.Len(), len(model), size)
				}
				if head := list.Head(); len(model) == 0 && head != nil || len(model) > 0 && head != model[0] {
					t.Fatal("wrong head")
				}
			},
		})
	})
}

// Guards against requests that wait although they cannot start in time: with one
// start per 10 ms and a maximum wait of 100 ms, that is the eleventh request.
func TestWaitListRejectsEarly(t *testing.T) {
	list := limit.NewWaitList(100, 100*ms)
	var now time.Duration
	join := func() error { return list.Join(now, 0, &limit.Waiter{}) }
	for range 20 {
		require.NoError(t, join())
	}
	for range 20 {
		now += 10 * ms
		list.Leave(now, list.Head(), true)
	}
	for range 10 {
		require.NoError(t, join())
	}
	require.ErrorIs(t, join(), limit.ErrWaitTooLong)
	require.ErrorIs(t, join(), limit.ErrTimeout)

	for list.Len() > 0 {
		list.Leave(now, list.Head(), false)
	}
	now += time.Minute
	require.NoError(t, join(), "an empty queue accepts a request regardless of the measured interval")
	now += 10 * ms
	list.Leave(now, list.Head(), true)
	for range 5 {
		require.NoError(t, join(), "idle time is not part of the measured interval")
	}
}

// Guards against a wake-up that is lost between a failed try and joining the queue,
// and against new requests that overtake waiting ones.
func TestQueueWakeups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(10, time.Second)
		ctx := context.Background()
		var tries int
		start := time.Now()
		require.NoError(t, q.Admit(ctx, func() bool { tries++; q.Wake(); return tries > 1 }))
		require.Zero(t, time.Since(start))

		s := &simulation{}
		var order []string
		admit := func(ctx context.Context, name string, tryAdmit func() bool) {
			go func() {
				_ = q.Admit(ctx, func() bool {
					if !tryAdmit() {
						return false
					}
					s.mu.Lock()
					defer s.mu.Unlock()
					order = append(order, name)
					return true
				})
			}()
			synctest.Wait()
		}
		release := func(n int) {
			s.mu.Lock()
			s.free = n
			s.mu.Unlock()
		}
		admit(ctx, "first", s.tryAdmit)
		release(1) // the wake-up for this slot has not been sent yet
		admit(ctx, "newcomer", s.tryAdmit)
		q.Wake()
		synctest.Wait()
		require.Equal(t, []string{"first"}, order)
		admit(ctx, "third", s.tryAdmit)
		release(2)
		q.Wake() // a single wake-up for two free slots
		synctest.Wait()
		require.Equal(t, []string{"first", "newcomer", "third"}, order)

		// A waiter may be woken and canceled at the same time. Which of the two it
		// handles first is random.
		for range 20 {
			cancelableCtx, cancel := context.WithCancel(ctx)
			calls := 0
			admit(cancelableCtx, "impatient", func() bool {
				if calls++; calls == 3 {
					release(1)
					q.Wake()
					cancel()
				}
				return calls > 3 && s.tryAdmit()
			})
			admit(ctx, "patient", s.tryAdmit)
			q.Wake()
			synctest.Wait()
			require.Zero(t, s.free, "the slot is taken by one of the two")
			release(1)
			q.Wake()
			synctest.Wait()
			require.Zero(t, q.Len())
			release(0)
		}
	})
}

type arrival struct{ gap, hold, timeout time.Duration }

// simulation runs arrivals against a fixed number of slots, in virtual time if it is
// called within synctest.Test.
type simulation struct {
	mu         sync.Mutex
	free       int
	tries      int
	startOrder []int // indexes of the arrivals that waited, in the order of their starts
	endCounts  []int // how often Admit returned, per arrival
	results    []error
	elapsed    []time.Duration
}

func (s *simulation) tryAdmit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tries++
	if s.free == 0 {
		return false
	}
	s.free--
	return true
}

func (s *simulation) request(q *limit.Queue, i int, a arrival) {
	ctx := context.Background()
	if a.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.timeout)
		defer cancel()
	}
	arrived := time.Now()
	err := q.Admit(ctx, func() bool {
		if !s.tryAdmit() {
			return false
		}
		// Recorded here, because the next waiter may run before Admit returns.
		s.mu.Lock()
		defer s.mu.Unlock()
		if time.Since(arrived) > 0 {
			s.startOrder = append(s.startOrder, i)
		}
		return true
	})
	s.mu.Lock()
	s.endCounts[i]++
	s.results[i] = err
	s.elapsed[i] = time.Since(arrived)
	s.mu.Unlock()
	if err != nil {
		return
	}
	time.Sleep(a.hold)
	s.mu.Lock()
	s.free++
	s.mu.Unlock()
	q.Wake()
}

// Guards against lost wake-ups, a wrong order, a waiter that ends twice or never or
// waits longer than the maximum, and a wake-up of many waiters for one slot.
func TestQueue(t *testing.T) {
	const maxWait = 50 * ms
	step := rapid.Map(rapid.IntRange(0, 30), func(n int) time.Duration { return time.Duration(n) * ms })
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(rt, "slots")
		size := rapid.IntRange(1, 8).Draw(rt, "size")
		arrivals := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) arrival {
			return arrival{step.Draw(t, "gap") / 4, step.Draw(t, "hold") + ms/2, step.Draw(t, "patience") * 3}
		}), 1, 40).Draw(rt, "arrivals")
		s := &simulation{free: slots, endCounts: make([]int, len(arrivals)), results: make([]error, len(arrivals)), elapsed: make([]time.Duration, len(arrivals))}
		var failure string
		synctest.Test(t, func(*testing.T) {
			q := limit.NewQueue(size, maxWait)
			check := func() {
				synctest.Wait()
				s.mu.Lock()
				defer s.mu.Unlock()
				if q.Len() > size {
					failure = fmt.Sprintf("%d waiters, maximum %d", q.Len(), size)
				}
				if s.free > 0 && q.Len() > 0 {
					failure = fmt.Sprintf("%d slots are free while %d requests wait", s.free, q.Len())
				}
			}
			for i, a := range arrivals {
				time.Sleep(a.gap + time.Microsecond)
				go s.request(q, i, a)
				check()
			}
			for range 200 {
				time.Sleep(ms)
				check()
			}
			if q.Len() > 0 {
				failure = "waiters remain in the queue"
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
		for i := range arrivals {
			if s.endCounts[i] != 1 || s.elapsed[i] > maxWait {
				rt.Fatalf("arrival %d ended %d times after %s: %v", i, s.endCounts[i], s.elapsed[i], s.results[i])
			}
		}
		if !slices.IsSorted(s.startOrder) {
			rt.Fatalf("started in the order %v", s.startOrder)
		}
		// Each request tries on arrival and when it becomes the oldest, and each
		// completed request wakes one waiter.
		if s.tries > 3*len(arrivals) {
			rt.Fatalf("%d tries of %d arrivals", s.tries, len(arrivals))
		}
	})
}

// Guards against a wake-up that is lost because its waiter is canceled at the same
// time. The test uses real goroutines and is meant to run with -race.
func TestQueueStress(t *testing.T) {
	q := limit.NewQueue(1000, time.Minute)
	s := &simulation{free: 2, endCounts: make([]int, 2000), results: make([]error, 2000), elapsed: make([]time.Duration, 2000)}
	var wg sync.WaitGroup
	for i := range 2000 {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%3 == 0 {
				go cancel()
			}
			if q.Admit(ctx, s.tryAdmit) == nil {
				s.mu.Lock()
				s.free++
				s.mu.Unlock()
				q.Wake()
			}
		})
	}
	wg.Wait()
	require.Zero(t, q.Len())
	require.Equal(t, 2, s.free)
}

func BenchmarkQueueAdmitFree(b *testing.B) {
	q := limit.NewQueue(256, 100*ms)
	ctx := context.Background()
	succeed := func() bool { return true }
	b.ReportAllocs()
	for b.Loop() {
		_ = q.Admit(ctx, succeed)
		q.Wake()
	}
}
