package retry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	hedgeWindow            = 1000 // attempts per histogram; the percentile covers one to two histograms
	hedgeMinSamples        = 100  // minimum number of attempts; with fewer, a high percentile is close to the maximum
	hedgeRecomputeInterval = 64   // attempts between computations of the percentile

	// Range and precision of the histograms: 10 us to 60 s with one significant
	// digit (error up to 6%), about 3 KB each.
	hedgeResolution        = 10 * time.Microsecond
	maxHedgeLatency        = time.Minute
	hedgeSignificantDigits = 1
)

// HedgeDelay computes the delay after which a request of a service is hedged. It is
// safe for concurrent use.
type HedgeDelay struct {
	delay atomic.Int64 // nanoseconds; 0: too few samples

	mu          sync.Mutex
	percentile  float64
	recent      *hdrhistogram.Histogram
	older       *hdrhistogram.Histogram
	merged      *hdrhistogram.Histogram
	recentCount int
}

// NewHedgeDelay returns a HedgeDelay for a percentile of the latency, 0 to 100
// (setting retry.hedgePercentile, default 95).
func NewHedgeDelay(percentile float64) *HedgeDelay {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, int64(maxHedgeLatency/hedgeResolution), hedgeSignificantDigits)
	}
	return &HedgeDelay{percentile: percentile, recent: newHistogram(), older: newHistogram(), merged: newHistogram()}
}

// Configure changes the percentile.
func (h *HedgeDelay) Configure(percentile float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.percentile != percentile {
		h.percentile = percentile
		h.recompute()
	}
}

// Record records the latency of one attempt. Latencies outside 10 us to 60 s count
// as the nearest of these two.
func (h *HedgeDelay) Record(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := int64(min(max(latency, hedgeResolution), maxHedgeLatency) / hedgeResolution)
	// RecordValue cannot fail: the value is within the range of the histogram.
	_ = h.recent.RecordValue(value)
	h.recentCount++
	if h.recentCount%hedgeRecomputeInterval == 0 || h.recentCount == hedgeMinSamples {
		h.recompute()
	}
	if h.recentCount == hedgeWindow {
		h.recent, h.older = h.older, h.recent
		h.recent.Reset()
		h.recentCount = 0
	}
}

// Delay returns the delay, or false until 100 attempts have been recorded.
func (h *HedgeDelay) Delay() (time.Duration, bool) {
	d := time.Duration(h.delay.Load())
	return d, d > 0
}

func (h *HedgeDelay) recompute() {
	h.merged.Reset()
	h.merged.Merge(h.older)
	h.merged.Merge(h.recent)
	if h.merged.TotalCount() >= hedgeMinSamples {
		h.delay.Store(h.merged.ValueAtPercentile(h.percentile) * int64(hedgeResolution))
	}
}
