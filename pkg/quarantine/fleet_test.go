package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/events"
	"lentilpin/pkg/quarantine"
)

// fleet is a number of lists that exchange what they know: at once with three random
// peers, at most each 50 ms, and every 500 ms with one.
type fleet struct {
	random   *rand.Rand
	lists    []*quarantine.List
	notifyAt []time.Duration // earliest next notification
	pending  []bool
	trialAt  map[uint64]time.Duration // earliest next trial
}

func newFleet(size int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(1, uint64(size))), lists: make([]*quarantine.List, size),
		notifyAt: make([]time.Duration, size), pending: make([]bool, size), trialAt: map[uint64]time.Duration{},
	}
	for i := range f.lists {
		f.lists[i] = quarantine.New(settings, events.Discard{})
	}
	return f
}

// step exchanges the state of all lists at a point in time, 10 ms after the last one.
func (f *fleet) step(now time.Duration) {
	for i, l := range f.lists {
		f.pending[i] = l.TakeNews() || f.pending[i]
		if f.pending[i] && now >= f.notifyAt[i] {
			f.pending[i], f.notifyAt[i] = false, now+50*ms
			for range 3 {
				f.exchange(now, l)
			}
		}
		if (now/(10*ms))%50 == time.Duration(i%50) {
			f.exchange(now, l)
		}
	}
}

// exchange sends the state of a list to a random one, which responds with its own.
func (f *fleet) exchange(now time.Duration, l *quarantine.List) {
	other := f.lists[f.random.IntN(len(f.lists))]
	send(now, l, other)
	send(now, other, l)
}

func send(now time.Duration, from, to *quarantine.List) {
	for _, q := range from.ActiveQuarantines(now) {
		to.Merge(now, q.Fingerprint, q.Remaining)
	}
	for _, e := range from.Evidence(now) {
		to.MergeEvidence(now, e)
	}
}

// admits reports whether instance i passes a request on, by the permit of one trial in an
// interval over the fleet.
func (f *fleet) admits(now time.Duration, i int, fp uint64) bool {
	if interval, isDue := f.lists[i].TrialInterval(now, fp); isDue {
		if now < f.trialAt[fp] {
			return false
		}
		f.trialAt[fp] = now + interval
	}
	return !f.lists[i].CheckBlocked(now, fp)
}

// Guards against a crashing request whose cost in backend servers grows with the number of
// instances, and against attempts long after the third crash. The request arrives at a
// random instance every 50 ms; each crash is confirmed at once.
func TestCostOfDeadlyRequestIsTheSameInEachFleet(t *testing.T) {
	const maxCrashes, maxLate, contact = 12, 3, 3 * time.Second
	for _, size := range []int{20, 100, 500} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(size)
			crashes, late, thirdAt := 0, 0, time.Duration(0)
			for now := time.Minute; now < 2*time.Minute; now += 10 * ms {
				if now%(50*ms) == 0 {
					if i := f.random.IntN(size); f.admits(now, i, crashing) {
						if crashes++; crashes == 3 {
							thirdAt = now
						}
						if thirdAt > 0 && now > thirdAt+contact {
							late++
						}
						f.lists[i].Broken(now, crashing, fmt.Sprint("server-", crashes))
						f.lists[i].Failed(now, fmt.Sprint("server-", crashes))
					}
				}
				f.step(now)
			}
			t.Logf("%d instances: %d crashes, %d of them later than %v after the third", size, crashes, late, contact)
			require.LessOrEqual(t, crashes, maxCrashes)
			require.LessOrEqual(t, late, maxLate)
		})
	}
}

// Guards against an innocent request that all instances refuse until their quarantines and
// probations end, although it has run at one of them.
func TestResponseClearsRequestInWholeFleet(t *testing.T) {
	f := newFleet(100)
	now := time.Minute
	for i, address := range []string{"a", "b"} {
		f.lists[i].Broken(now, innocent, address)
		f.lists[i].Failed(now, address)
	}
	run := func(d time.Duration) {
		for end := now + d; now < end; now += 10 * ms {
			f.step(now)
		}
	}
	blocked := func() (n int) {
		for _, l := range f.lists {
			if l.IsInForce(now, innocent) {
				n++
			}
		}
		return n
	}
	run(time.Second)
	require.Equal(t, len(f.lists), blocked(), "the evidence of two instances has reached all")
	f.lists[7].Ran(now, innocent)
	run(time.Second)
	require.Zero(t, blocked())
	require.True(t, f.admits(now, 42, innocent), "no longer on probation")
}

// Guards against evidence that outlives its crash because each hop restarts its age, and
// against one crash that counts twice.
func TestEvidenceAges(t *testing.T) {
	l := newList()
	e := quarantine.Evidence{Fingerprint: crashing, Address: "a", At: time.Minute}
	l.MergeEvidence(time.Minute, e)
	e.At += 100 * ms
	l.MergeEvidence(time.Minute+time.Second, e)
	require.Equal(t, []quarantine.Evidence{{Fingerprint: crashing, Address: "a", At: time.Minute}}, l.Evidence(time.Minute+time.Second))
	require.False(t, l.IsSuspect(time.Minute+time.Second, crashing))
	require.Empty(t, l.Evidence(time.Minute+11*time.Second))
	l.MergeEvidence(time.Minute+11*time.Second, e)
	require.Empty(t, l.Evidence(time.Minute+11*time.Second), "older than what is sent")
}
