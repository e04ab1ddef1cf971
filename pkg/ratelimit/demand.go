package ratelimit

import "time"

const (
	// initialPermits is the number of permits of cold backend servers that an instance
	// reserves before it knows its demand.
	initialPermits = 4
	// usedGain and unusedLoss change that number with each permit. It is steady when 4 of
	// 5 permits are used: with fewer, permits that others need would expire.
	usedGain   = 0.25
	unusedLoss = 1.0
	minPermits = 1.0
	maxPermits = 64.0
	// minDenialBackoff and maxDenialBackoff bound the pause after a denied permit of a
	// cold backend server, which doubles with each further denial. All instances that are
	// denied expect the next permit at the same moment.
	minDenialBackoff = 100 * time.Millisecond
	maxDenialBackoff = 800 * time.Millisecond
	// demandLifetime is the time without permits after which the demand counts as unknown:
	// the next backend servers that turn cold may be more, or all.
	demandLifetime = 5 * time.Second
)

// demand is the number of permits of cold backend servers that an instance can use. Such
// permits are scarce: all backend servers of a failure domain may be cold at once, and
// each permit serves one request.
type demand struct {
	permits float64
	endedAt time.Duration // of the last permit
}

func newDemand() demand { return demand{permits: initialPermits} }

// allows reports whether another permit may be requested beside those that are usable,
// reserved or requested.
func (d *demand) allows(now time.Duration, permits int) bool {
	if permits == 0 && now-d.endedAt > demandLifetime {
		d.permits = max(d.permits, initialPermits)
	}
	return float64(permits+1) <= d.permits
}

// ended records that a permit was used or has expired.
func (d *demand) ended(now time.Duration, wasUsed bool) {
	d.endedAt = now
	if wasUsed {
		d.permits = min(maxPermits, d.permits+usedGain)
	} else {
		d.permits = max(minPermits, d.permits-unusedLoss)
	}
}

// denialBackoff returns the pause after a number of denials in sequence.
func denialBackoff(denials int) time.Duration {
	return min(maxDenialBackoff, minDenialBackoff<<min(denials, 8))
}
