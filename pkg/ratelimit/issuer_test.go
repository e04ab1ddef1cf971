package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/clock/clocktest"
	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/ratelimit"
)

const (
	backend = "10.0.0.1:80/i-1/1"
	// settleTime is the time in which an issuer that has started or was paused
	// issues no permits.
	settleTime = 3 * time.Second
	// burstTime is the time whose permits may be usable at once.
	burstTime = 500 * time.Millisecond
)

// directory names the issuer of every backend server. It implements
// ratelimit.Directory.
type directory struct {
	isSelf bool
	share  float64
}

func (d *directory) Responsible(string, string) (string, bool) { return "10.0.0.9:7443", d.isSelf }
func (d *directory) LiveShare() float64                        { return d.share }

// testIssuer is an issuer with the clock and the state that it depends on.
type testIssuer struct {
	*ratelimit.Issuer
	clock     *clocktest.Manual
	directory *directory
	epoch     uint64
}

// newTestIssuer returns an issuer that is past settleTime.
func newTestIssuer() *testIssuer {
	i := &testIssuer{clock: clocktest.NewManual(), directory: &directory{isSelf: true, share: 1}}
	i.Issuer = ratelimit.NewIssuer(ratelimit.IssuerOptions{
		Directory: i.directory, Clock: i.clock, Epoch: func() uint64 { return i.epoch },
	})
	i.clock.Advance(settleTime)
	return i
}

func (i *testIssuer) ask(perSecond float64, age, maxWait time.Duration) *peerpb.PermitResponse {
	return i.Issue(&peerpb.PermitRequest{
		Backend: backend, PerSecond: perSecond, LimitAgeMs: uint32(age.Milliseconds()), MaxWaitMs: uint32(maxWait.Milliseconds()),
	})
}

func isGranted(out *peerpb.PermitResponse) bool {
	return out.State == peerpb.PermitState_PERMIT_STATE_GRANTED
}

// Guards against more permits than the rate limit allows in some span, whatever the
// instances ask for, and against permits that are never issued.
func TestPermitsStayWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := newTestIssuer()
		perSecond := rapid.Float64Range(0.05, 50).Draw(t, "rate")
		i.directory.share = rapid.Float64Range(0.1, 1).Draw(t, "share")
		var usableAt []time.Duration
		start := i.clock.Read().Mono
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			i.clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			maxWait := time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
			out := i.ask(perSecond, 0, maxWait)
			wait := time.Duration(out.WaitMs) * time.Millisecond
			if !isGranted(out) {
				require.Positive(t, wait)
				continue
			}
			require.LessOrEqual(t, wait, maxWait)
			usableAt = append(usableAt, i.clock.Read().Mono+wait)
		}
		rate := perSecond * i.directory.share
		for first := range usableAt {
			for last := first; last < len(usableAt); last++ {
				// Each wait is rounded up by less than a millisecond.
				span := usableAt[last] - usableAt[first] + burstTime + time.Millisecond
				require.LessOrEqual(t, float64(last-first+1), 1+rate*span.Seconds()+1e-6)
			}
		}
		require.NotEmpty(t, usableAt, "no permit in %v", i.clock.Read().Mono-start)
	})
}

// Guards against permits of two issuers while instances disagree about the issuer,
// after a start or a pause, and while instances are known to be missing.
func TestNoPermitsInDoubt(t *testing.T) {
	for _, tt := range []struct {
		desc   string
		change func(*testIssuer)
		want   peerpb.PermitState
	}{
		{"settled", func(*testIssuer) {}, peerpb.PermitState_PERMIT_STATE_GRANTED},
		{"another instance is responsible", func(i *testIssuer) { i.directory.isSelf = false }, peerpb.PermitState_PERMIT_STATE_NOT_ISSUER},
		{"paused", func(i *testIssuer) { i.epoch++ }, peerpb.PermitState_PERMIT_STATE_NOT_ISSUER},
		{"paused some time ago", func(i *testIssuer) {
			i.epoch++
			i.ask(5, 0, 0)
			i.clock.Advance(settleTime - time.Millisecond)
		}, peerpb.PermitState_PERMIT_STATE_NOT_ISSUER},
		{"settled after a pause", func(i *testIssuer) {
			i.epoch++
			i.ask(5, 0, 0)
			i.clock.Advance(settleTime)
		}, peerpb.PermitState_PERMIT_STATE_GRANTED},
		{"started", func(i *testIssuer) {
			i.Issuer = ratelimit.NewIssuer(ratelimit.IssuerOptions{Directory: i.directory, Clock: i.clock, Epoch: func() uint64 { return 0 }})
		}, peerpb.PermitState_PERMIT_STATE_NOT_ISSUER},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			i := newTestIssuer()
			tt.change(i)
			require.Equal(t, tt.want, i.ask(5, 0, 0).State)
		})
	}
}

// Guards against an outdated statement of a rate limit that replaces a newer one,
// and against permits that remain rare after the limit has risen.
func TestNewestRateLimitCounts(t *testing.T) {
	i := newTestIssuer()
	require.True(t, isGranted(i.ask(0.01, 0, time.Minute)))
	require.True(t, isGranted(i.ask(0.01, 0, time.Minute*2)))
	i.clock.Advance(time.Second)
	granted := func(perSecond float64, age time.Duration) (n int) {
		for range 100 {
			if isGranted(i.ask(perSecond, age, 0)) {
				n++
			}
			i.clock.Advance(20 * time.Millisecond)
		}
		return n
	}
	require.InDelta(t, 20, granted(10, 0), 6, "in 2 s at 10 per second")
	require.InDelta(t, 4, granted(2, 0), 1, "in 2 s at 2 per second")
	require.InDelta(t, 4, granted(10, 5*time.Second), 1, "the statement of 10 per second is older")
	require.Zero(t, granted(0, 0))
}

// askCold asks for a permit of a backend server that is cold for another 3 s.
func (i *testIssuer) askCold(perSecond float64, wasWarm bool) *peerpb.PermitResponse {
	return i.Issue(&peerpb.PermitRequest{Backend: backend, PerSecond: perSecond, MaxWaitMs: 1000, WarmupLeftMs: 3000, WasWarm: wasWarm})
}

// Guards against more requests to a cold backend server in one second than are allowed,
// whatever its rate, and against permits in the time in which some instances still use it
// without, because it turned cold while it was in use.
func TestPermitsOfColdBackendServers(t *testing.T) {
	const overshoot, slack = 1.5, 8
	// delays is the longest time from the moment at which a permit becomes usable to the
	// request: its lifetime, the reply of the issuer and the wait for a connection.
	const delays = 600*time.Millisecond + 100*time.Millisecond + 400*time.Millisecond
	for _, perSecond := range []float64{0.4, 6.3, 30, 400} {
		for _, wasWarm := range []bool{false, true} {
			i := newTestIssuer()
			start := i.clock.Read().Mono
			rate := ratelimit.WarmupRate(perSecond, overshoot, slack)
			require.GreaterOrEqual(t, rate, 0.68*perSecond)
			var usableAt []time.Duration
			for range 300 {
				if out := i.askCold(rate, wasWarm); isGranted(out) {
					usableAt = append(usableAt, i.clock.Read().Mono+time.Duration(out.WaitMs)*time.Millisecond)
				}
				i.clock.Advance(10 * time.Millisecond)
			}
			for first, last := 0, 0; last < len(usableAt); last++ {
				for usableAt[last]-usableAt[first] > time.Second+delays {
					first++
				}
				require.LessOrEqual(t, float64(last-first+1), perSecond*overshoot+slack, "at %g per second", perSecond)
			}
			if wasWarm {
				require.GreaterOrEqual(t, usableAt[0]-start, time.Second, "all instances know")
			} else {
				require.Equal(t, start, usableAt[0])
			}
		}
	}
}

// Guards against meters that are kept for backend servers that are gone.
func TestMetersAreForgotten(t *testing.T) {
	i := newTestIssuer()
	for n := range 1000 {
		i.Issue(&peerpb.PermitRequest{Backend: fmt.Sprint(n), PerSecond: 1})
		i.clock.Advance(time.Second)
	}
	require.Less(t, i.Meters(), 200)
}

func BenchmarkIssue(b *testing.B) {
	for _, backends := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(backends), func(b *testing.B) {
			i := newTestIssuer()
			requests := make([]*peerpb.PermitRequest, backends)
			for n := range requests {
				requests[n] = &peerpb.PermitRequest{Backend: fmt.Sprint(n), PerSecond: 5, MaxWaitMs: 10000}
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				i.clock.Advance(time.Millisecond)
				i.Issue(requests[n%backends])
			}
		})
	}
}
