package ratelimit

import "time"

const (
	// burstTime is the time whose requests may be sent at once after a quiet time.
	burstTime = 500 * time.Millisecond
	// maxDenial is the longest time for which a denial tells an instance not to ask
	// again. The rate limit may have changed by then.
	maxDenial = time.Second
)

// meter meters the permits of one backend server by the generic cell rate
// algorithm. In any span d it grants at most 1 + (d + burstTime) * perSecond permits
// while the rate does not change, with warmupBurstTime in place of burstTime while the
// backend server is cold.
type meter struct {
	perSecond float64
	statedAt  time.Duration // when the backend server stated perSecond
	nextAt    time.Duration // theoretical arrival time of the next permit
	warmup    warmupPeriod
}

// setRate sets the rate that the backend server stated at a point in time, unless a
// later statement is known.
func (m *meter) setRate(now, statedAt time.Duration, perSecond float64) {
	if statedAt < m.statedAt {
		return
	}
	m.statedAt = statedAt
	if perSecond == m.perSecond {
		return
	}
	m.perSecond = perSecond
	// A low earlier rate must not delay the permits of a higher one.
	m.nextAt = min(m.nextAt, now+burstTime+interval(perSecond))
}

// rate returns the rate in force and the time whose requests may be sent at once.
func (m *meter) rate(now time.Duration) (perSecond float64, burst time.Duration) {
	if now < m.warmup.until {
		return min(m.perSecond, m.warmup.perSecond), warmupBurstTime
	}
	return m.perSecond, burstTime
}

// interval returns the time between two permits at a rate. It is limited, so that sums
// with it don't overflow.
func interval(rate float64) time.Duration {
	const longest = 24 * time.Hour
	if rate*longest.Seconds() <= 1 {
		return longest
	}
	return time.Duration(float64(time.Second) / rate)
}

// take grants a permit at a share of the rate if one is available within maxWait,
// and returns the time until it may be used. Otherwise wait is the time until a
// permit may be available, at most maxDenial.
func (m *meter) take(now, maxWait time.Duration, share float64) (wait time.Duration, granted bool) {
	perSecond, burst := m.rate(now)
	usableAt := max(now, m.nextAt-burst)
	wait = usableAt - now
	if perSecond*share <= 0 || wait > maxWait {
		return min(maxDenial, max(wait-maxWait, time.Millisecond)), false
	}
	m.nextAt = max(m.nextAt, usableAt) + interval(perSecond*share)
	return wait, true
}
