package limit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/limit"
)

// Guards against a priority inversion: a less urgent waiter that starts before a more
// urgent one without having aged, and against waiters that are lost or kept after they
// were displaced.
func TestPriorityOrder(t *testing.T) {
	type waiter struct {
		*limit.Waiter
		rank   int
		joined time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		const size = 6
		list := limit.NewWaitList(size, 100*ms)
		var now time.Duration
		var model []waiter
		find := func(w *limit.Waiter) int {
			for i := range model {
				if model[i].Waiter == w {
					return i
				}
			}
			t.Fatal("unknown waiter")
			return -1
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				w := waiter{&limit.Waiter{}, rapid.IntRange(0, 3).Draw(t, "rank"), now}
				wait := rapid.SampledFrom([]time.Duration{20 * ms, 150 * ms, 400 * ms}).Draw(t, "wait")
				displaced, err := list.JoinRanked(now, 0, limit.Ranked{Rank: w.rank, MaxWait: wait, Hold: wait}, w.Waiter)
				if displaced != nil {
					i := find(displaced)
					if err != nil || len(model) < size || model[i].rank <= w.rank {
						t.Fatalf("rank %d displaced rank %d of %d waiters: %v", w.rank, model[i].rank, len(model), err)
					}
					model = append(model[:i:i], model[i+1:]...)
				}
				if err == nil {
					model = append(model, w)
				}
			},
			"start": func(t *rapid.T) {
				head := list.HeadAt(now)
				if head == nil {
					return
				}
				i := find(head)
				for _, other := range model {
					aged := int((now - model[i].joined) / (200 * ms))
					if other.rank < model[i].rank-aged {
						t.Fatalf("rank %d, aged by %d, starts before rank %d", model[i].rank, aged, other.rank)
					}
				}
				model = append(model[:i:i], model[i+1:]...)
				list.Leave(now, head, true)
			},
			"time": func(t *rapid.T) { now += rapid.SampledFrom([]time.Duration{ms, 30 * ms, 210 * ms}).Draw(t, "step") },
			"": func(t *rapid.T) {
				if list.Len() != len(model) || (list.Head() == nil) != (len(model) == 0) {
					t.Fatalf("%d waiters, want %d", list.Len(), len(model))
				}
			},
		})
	})
}

// Guards against waiters of the least urgent rank that never start because more urgent
// ones keep coming (aging), and against equally urgent ones whose time runs out.
func TestPriorityOrderDependsOnTime(t *testing.T) {
	list := limit.NewWaitList(10, 50*ms)
	join := func(now time.Duration, rank int, wait time.Duration) *limit.Waiter {
		w := &limit.Waiter{}
		_, err := list.JoinRanked(now, 0, limit.Ranked{Rank: rank, MaxWait: wait, Hold: wait}, w)
		require.NoError(t, err)
		return w
	}
	low := join(0, 1, time.Second)
	patient := join(0, 0, 900*ms)
	urgent := join(0, 0, 300*ms)
	require.Same(t, urgent, list.HeadAt(0))
	list.Leave(0, urgent, true)
	require.Same(t, patient, list.HeadAt(0))
	list.Leave(0, patient, true)
	for now := time.Duration(0); now < 200*ms; now += 20 * ms {
		next := join(now, 0, time.Second)
		require.Same(t, next, list.HeadAt(now))
		list.Leave(now, next, true)
	}
	join(200*ms, 0, 2*time.Second)
	require.Same(t, low, list.HeadAt(200*ms), "it has waited for as long as one rank counts")
}

// Guards against a displaced waiter that learns late that it is refused, and against a
// refusal of the more urgent request instead.
func TestPriorityDisplacesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(2, 50*ms)
		start := time.Now()
		s := &simulation{}
		type end struct {
			err   error
			after time.Duration
		}
		ends := map[string]end{}
		admit := func(name string, rank int, wait time.Duration) {
			go func() {
				err := q.AdmitRanked(context.Background(), limit.Ranked{Rank: rank, MaxWait: wait, Hold: wait, Retry: 10 * ms}, s.tryAdmit)
				s.mu.Lock()
				defer s.mu.Unlock()
				ends[name] = end{err, time.Since(start)}
			}()
			synctest.Wait()
		}
		admit("low, latest", 1, 400*ms)
		admit("low", 1, 300*ms)
		time.Sleep(5 * ms)
		admit("high", 0, 300*ms)
		s.mu.Lock()
		require.ErrorIs(t, ends["low, latest"].err, limit.ErrDisplaced)
		require.ErrorIs(t, ends["low, latest"].err, limit.ErrQueueFull)
		require.Equal(t, 5*ms, ends["low, latest"].after)
		s.mu.Unlock()
		require.Equal(t, 2, q.Len())
		admit("low again", 1, 400*ms)
		s.mu.Lock()
		require.ErrorIs(t, ends["low again"].err, limit.ErrQueueFull)
		s.free = 1 // without a wake-up: work of another instance has ended
		s.mu.Unlock()
		time.Sleep(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		require.NoError(t, ends["high"].err)
		require.Equal(t, 15*ms, ends["high"].after, "at its first retry")
		require.ErrorIs(t, ends["low"].err, limit.ErrTimeout)
		require.Equal(t, 300*ms, ends["low"].after)
		require.Zero(t, q.Len())
	})
}

// Guards against a priority inversion: a less urgent waiter that has become the head by
// its age and finds no room blocks a more urgent one that would.
func TestPriorityOfWaitersBehindAgedHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(10, 50*ms)
		s := &simulation{}
		started := make(chan string, 2)
		admit := func(name string, rank int, try func() bool) {
			go func() {
				r := limit.Ranked{Rank: rank, MaxWait: time.Second, Hold: time.Second}
				if q.AdmitRanked(context.Background(), r, try) == nil {
					started <- name
				}
			}()
			synctest.Wait()
		}
		admit("low", 1, func() bool { return false })
		time.Sleep(300 * ms)
		admit("high, waits", 0, s.tryAdmit)
		s.mu.Lock()
		s.free = 2
		s.mu.Unlock()
		q.Wake()
		synctest.Wait()
		require.Equal(t, "high, waits", <-started)
		admit("high, starts on arrival", 0, s.tryAdmit)
		require.Equal(t, "high, starts on arrival", <-started)
		time.Sleep(time.Second)
		require.Zero(t, q.Len())
	})
}

// Guards against late refusals: a waiter whose start is unlikely is refused after its hold,
// one that is likely to start is not.
func TestPriorityHold(t *testing.T) {
	for _, tt := range []struct {
		desc     string
		interval time.Duration
		want     bool
	}{
		{"starts are frequent enough", 20 * ms, true},
		{"starts are too rare", 250 * ms, false},
		{"no start was seen", 0, false},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			list := limit.NewWaitList(100, 100*ms)
			var now time.Duration
			ranked := limit.Ranked{MaxWait: 10 * time.Second, Hold: 60 * ms}
			join := func() *limit.Waiter {
				w := &limit.Waiter{}
				_, err := list.JoinRanked(now, 0, ranked, w)
				require.NoError(t, err)
				return w
			}
			for range 12 {
				join()
			}
			for range 11 {
				if tt.interval > 0 {
					now += tt.interval
					list.Leave(now, list.Head(), true)
				}
			}
			list.Leave(now, list.Head(), false)
			ranked.MaxWait = 300 * ms
			w := join()
			require.True(t, list.MayContinue(now+59*ms, w, ranked.Hold))
			require.Equal(t, tt.want, list.MayContinue(now+60*ms, w, ranked.Hold))
			require.False(t, list.MayContinue(now+300*ms, w, ranked.Hold))
		})
	}
}
