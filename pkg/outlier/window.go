package outlier

import (
	"sync"
	"time"

	"lentilpin/pkg/routing"
)

const (
	bucketDuration = time.Second
	bucketCount    = 10 // attempts older than 10 s are not representative
	// latencyBucketCount covers a shorter time, because a backend server that
	// receives few requests would otherwise be ejected for its latency in a past
	// overload.
	latencyBucketCount = 3
)

// attemptStats holds the counts and the total latency of attempts in some period.
type attemptStats struct {
	count   int32
	errors  int32
	timed   int32         // attempts that are included in latency
	latency time.Duration // total
}

func (s *attemptStats) add(other attemptStats) {
	s.count += other.count
	s.errors += other.errors
	s.timed += other.timed
	s.latency += other.latency
}

func (s attemptStats) errorRatio() float64 {
	if s.count == 0 {
		return 0
	}
	return float64(s.errors) / float64(s.count)
}

func (s attemptStats) meanLatency() time.Duration {
	if s.timed == 0 {
		return 0
	}
	return s.latency / time.Duration(s.timed)
}

// window is a ring of buckets with the recent attempts of one backend server.
type window struct {
	mu      sync.Mutex
	epochs  [bucketCount]int64
	buckets [bucketCount]attemptStats
}

func (w *window) record(now, latency time.Duration, o routing.Outcome) {
	epoch := int64(now / bucketDuration)
	i := epoch % bucketCount
	w.mu.Lock()
	defer w.mu.Unlock()
	t := &w.buckets[i]
	if w.epochs[i] != epoch {
		w.epochs[i], *t = epoch, attemptStats{}
	}
	switch o {
	case routing.Success:
		t.count++
		t.timed++
		t.latency += latency
	case routing.ErrorResponse, routing.Broken:
		// The latency of a failed attempt does not represent the server's speed.
		t.count++
		t.errors++
	case routing.Timeout:
		t.count++
		t.errors++
		t.timed++
		t.latency += latency
	case routing.Canceled:
		// The latency of a canceled attempt is a lower bound. The slower attempt of
		// a hedged pair is canceled, so ignoring it would hide a slow server.
		if latency >= t.meanLatency() {
			t.timed++
			t.latency += latency
		}
	case routing.Shed:
	}
}

func (w *window) total(now time.Duration) attemptStats {
	oldestEpoch := int64(now/bucketDuration) - bucketCount + 1
	var out attemptStats
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, t := range w.buckets {
		if w.epochs[i] < oldestEpoch {
			continue
		}
		out.add(t)
	}
	return out
}

// newest returns the sum over the newest buckets that contain at least minSamples
// attempts, or minSamples latencies if timed is set, going back at most
// maxBuckets buckets. Older attempts would hide that a busy backend server has just
// started to fail, or has just recovered.
func (w *window) newest(now time.Duration, minSamples int32, maxBuckets int64, timed bool) attemptStats {
	newestEpoch := int64(now / bucketDuration)
	var out attemptStats
	w.mu.Lock()
	defer w.mu.Unlock()
	for epoch := newestEpoch; epoch > newestEpoch-maxBuckets && epoch >= 0; epoch-- {
		i := epoch % bucketCount
		if w.epochs[i] != epoch {
			continue
		}
		out.add(w.buckets[i])
		if timed && out.timed >= minSamples || !timed && out.count >= minSamples {
			return out
		}
	}
	return out
}

func (w *window) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buckets = [bucketCount]attemptStats{}
}
