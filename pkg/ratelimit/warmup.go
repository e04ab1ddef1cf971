package ratelimit

import "time"

const (
	// warmupBurstTime replaces burstTime while a backend server is cold: the bound on its
	// requests applies to one second.
	warmupBurstTime = 100 * time.Millisecond
	// maxWarmupWait is how far ahead a permit of a cold backend server is reserved. A new
	// issuer does not know the reservations of its predecessor.
	maxWarmupWait = time.Second
	// maxWarmupBackoff bounds the pause after permits of a cold backend server that were
	// not used. A warm-up lasts a few seconds.
	maxWarmupBackoff = time.Second
	// noticeTime is the time in which every instance learns through the instance list
	// that a backend server has turned cold. Until then, some use it without a permit.
	noticeTime = time.Second
	// maxReplyTime and maxConnectTime bound the times from the issue of a permit to the
	// reply of the issuer, and from the use of a permit to the request.
	maxReplyTime   = 100 * time.Millisecond
	maxConnectTime = 400 * time.Millisecond
)

// warmupPeriod is the latest time in which a backend server was cold.
type warmupPeriod struct {
	since, until time.Duration
	perSecond    float64
}

// observeWarmup records that an instance considers the backend server as cold for the
// time left. If it was used before, the permits begin after noticeTime.
func (m *meter) observeWarmup(now, left time.Duration, perSecond float64, wasWarm bool) {
	p := &m.warmup
	if now >= p.until {
		p.since = now
	}
	p.until, p.perSecond = max(p.until, now+left), perSecond
	if wasWarm && now-p.since < noticeTime {
		m.nextAt = max(m.nextAt, p.since+noticeTime+warmupBurstTime)
	}
}

// WarmupRate returns the rate of permits at which a cold backend server that tolerates
// perSecond requests gets at most perSecond * overshoot + slack requests in any second:
// those of 1 + (1 s + the times for which a permit may be delayed) * rate permits.
func WarmupRate(perSecond, overshoot, slack float64) float64 {
	const span = time.Second + warmupBurstTime + permitLifetime + maxReplyTime + maxConnectTime
	return max(0, min(perSecond, (perSecond*overshoot+slack-1)/span.Seconds()))
}
