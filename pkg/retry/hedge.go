package retry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	hedgeWindow     = 1000 // attempts per histogram; the percentile covers one to two windows
	hedgeMinSamples = 100  // below this a high percentile is little more than the maximum
	hedgeRecompute  = 64   // attempts between two computations of the percentile

	// Range and precision of the histograms: 10 us to 60 s with one significant
	// digit (error up to 6%) take about 3 KB each.
	hedgeUnit   = 10 * time.Microsecond
	hedgeMax    = time.Minute
	hedgeDigits = 1
)

// HedgeDelay is the delay after which a hedge of a service is due.
type HedgeDelay struct {
	delay atomic.Int64 // nanoseconds; 0: too few samples

	mu         sync.Mutex
	percentile float64
	recent     *hdrhistogram.Histogram
	older      *hdrhistogram.Histogram
	sum        *hdrhistogram.Histogram
	inRecent   int
}

// NewHedgeDelay returns a delay at the given percentile of the latency (setting
// retry.hedgePercentile, default 95).
func NewHedgeDelay(percentile float64) *HedgeDelay {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, int64(hedgeMax/hedgeUnit), hedgeDigits)
	}
	return &HedgeDelay{percentile: percentile, recent: histogram(), older: histogram(), sum: histogram()}
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

// Record counts the latency of one attempt.
func (h *HedgeDelay) Record(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := int64(min(max(latency, hedgeUnit), hedgeMax) / hedgeUnit)
	// The value is inside the range of the histogram, so there is no error.
	_ = h.recent.RecordValue(value)
	h.inRecent++
	if h.inRecent%hedgeRecompute == 0 || h.inRecent == hedgeMinSamples {
		h.recompute()
	}
	if h.inRecent == hedgeWindow {
		h.recent, h.older = h.older, h.recent
		h.recent.Reset()
		h.inRecent = 0
	}
}

// Delay returns the delay, and false while there are too few samples.
func (h *HedgeDelay) Delay() (time.Duration, bool) {
	d := time.Duration(h.delay.Load())
	return d, d > 0
}

func (h *HedgeDelay) recompute() {
	h.sum.Reset()
	h.sum.Merge(h.older)
	h.sum.Merge(h.recent)
	if h.sum.TotalCount() >= hedgeMinSamples {
		h.delay.Store(h.sum.ValueAtPercentile(h.percentile) * int64(hedgeUnit))
	}
}
