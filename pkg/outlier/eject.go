package outlier

import (
	"cmp"
	"slices"
	"time"

	"lentilpin/pkg/events"
)

type candidate struct {
	backend *server
	errors  attemptStats // for the error ratio
	timed   attemptStats // for the mean latency
	score   float64      // above 1: eligible for ejection, highest first
	reason  string
}

// ejectionBound returns how many servers may be ejected and how many are ejected.
func (d *Detector) ejectionBound() (allowed, ejected int) {
	active := 0
	for _, s := range d.sortedServers {
		if s.state != StateDraining {
			active++
		}
		if s.state == StateEjected {
			ejected++
		}
	}
	return int(float64(active) * d.settings.MaxEjectRatio), ejected
}

// enforceEjectionBound readmits ejected servers, the earliest ejected first, until
// the number of ejected servers is within the limit.
func (d *Detector) enforceEjectionBound(now time.Duration) {
	for allowed, ejected := d.ejectionBound(); ejected > allowed; ejected-- {
		var earliest *server
		for _, s := range d.sortedServers {
			if s.state == StateEjected && (earliest == nil || s.since < earliest.since) {
				earliest = s
			}
		}
		d.readmit(now, earliest, ReasonEjectionBound)
	}
}

func (d *Detector) readmit(now time.Duration, s *server, reason string) {
	s.window.reset()
	d.setState(now, s, StateSlowStart, reason)
}

// ejectOutliers ejects the servers with the highest scores, as many as the limit
// on ejections allows.
func (d *Detector) ejectOutliers(now time.Duration) {
	d.candidates = d.candidates[:0]
	for _, backend := range d.sortedServers {
		if backend.state != StateHealthy && backend.state != StateSlowStart {
			continue
		}
		minSamples := int32(d.settings.MinRequests)
		d.candidates = append(d.candidates, candidate{
			backend: backend, errors: backend.window.newest(now, minSamples, bucketCount, false), timed: backend.window.newest(now, minSamples, latencyBucketCount, true),
		})
	}
	d.scoreErrors(now)
	d.scoreLatency(now)
	slices.SortStableFunc(d.candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	allowed, ejected := d.ejectionBound()
	for _, c := range d.candidates {
		if c.score <= 1 {
			return
		}
		if ejected < allowed {
			ejected++
			d.setState(now, c.backend, StateEjected, c.reason)
		} else if !c.backend.boundReported {
			c.backend.boundReported = true
			d.queueEvent(eventBoundReached, events.F("address", c.backend.address), events.F("reason", c.reason), events.F("ejected", ejected))
		}
	}
}

// scoreErrors scores servers by error ratio. The scores are above those for
// latency, so that failing servers are ejected before slow ones.
func (d *Detector) scoreErrors(now time.Duration) {
	for i := range d.candidates {
		c := &d.candidates[i]
		ratio := c.errors.errorRatio()
		failing := d.hasRatio(c) && ratio >= d.settings.ErrorRatio &&
			ratio >= 2*d.medianOf(i, d.hasRatio, func(c *candidate) float64 { return c.errors.errorRatio() })
		if c.backend.failing.update(now, failing, minFailingDuration) {
			c.score, c.reason = 1e6+ratio, ReasonErrorRatio
		}
	}
}

// hasRatio reports whether there are enough attempts for an error ratio.
func (d *Detector) hasRatio(c *candidate) bool { return int(c.errors.count) >= d.settings.MinRequests }

// hasLatency reports whether there are enough latencies for a mean.
func (d *Detector) hasLatency(c *candidate) bool { return int(c.timed.timed) >= d.settings.MinRequests }

func (d *Detector) scoreLatency(now time.Duration) {
	median := d.medianOf(-1, d.hasLatency, func(c *candidate) float64 { return float64(c.timed.meanLatency()) })
	threshold := max(median*d.settings.LatencyFactor, median+float64(minLatencyGap))
	enoughServers := len(d.medianValues) >= minServersForMedian
	for i := range d.candidates {
		c := &d.candidates[i]
		meanLatency := float64(c.timed.meanLatency())
		slow := enoughServers && d.hasLatency(c) && meanLatency > threshold
		if c.backend.slow.update(now, slow, minSlowDuration) && c.score == 0 {
			c.score, c.reason = meanLatency/threshold, ReasonLatency
		}
	}
}

// medianOf returns the lower median of value over the candidates for which hasData
// returns true, without the one at index excluded (-1: none), or 0 if there are
// none.
func (d *Detector) medianOf(excluded int, hasData func(*candidate) bool, value func(*candidate) float64) float64 {
	d.medianValues = d.medianValues[:0]
	for i := range d.candidates {
		if i != excluded && hasData(&d.candidates[i]) {
			d.medianValues = append(d.medianValues, value(&d.candidates[i]))
		}
	}
	if len(d.medianValues) == 0 {
		return 0
	}
	slices.Sort(d.medianValues)
	return d.medianValues[(len(d.medianValues)-1)/2]
}
