package outlier

import (
	"sync"
	"time"

	"lentilpin/pkg/routing"
)

const (
	bucketLength = time.Second
	buckets      = 10 // attempts older than 10 s say nothing
	// latencyBuckets is shorter, because a backend server that gets little work
	// would otherwise be judged by how slow it was in an overload that is over.
	latencyBuckets = 3
)

// tally is the sum of attempts of a span of time.
type tally struct {
	attempts int32
	errors   int32
	timed    int32 // attempts whose latency counts
	latency  time.Duration
}

func (t *tally) add(o tally) {
	t.attempts += o.attempts
	t.errors += o.errors
	t.timed += o.timed
	t.latency += o.latency
}

func (t tally) errorRatio() float64 {
	if t.attempts == 0 {
		return 0
	}
	return float64(t.errors) / float64(t.attempts)
}

func (t tally) mean() time.Duration {
	if t.timed == 0 {
		return 0
	}
	return t.latency / time.Duration(t.timed)
}

// window counts the attempts of one backend server in the last seconds.
type window struct {
	mu     sync.Mutex
	epochs [buckets]int64
	tallys [buckets]tally
}

func (w *window) record(now, latency time.Duration, o routing.Outcome) {
	epoch := int64(now / bucketLength)
	i := epoch % buckets
	w.mu.Lock()
	defer w.mu.Unlock()
	t := &w.tallys[i]
	if w.epochs[i] != epoch {
		w.epochs[i], *t = epoch, tally{}
	}
	switch o {
	case routing.Success:
		t.attempts++
		t.timed++
		t.latency += latency
	case routing.ErrorResponse, routing.Broken:
		// The latency of a failure says nothing about the server's speed.
		t.attempts++
		t.errors++
	case routing.Timeout:
		t.attempts++
		t.errors++
		t.timed++
		t.latency += latency
	case routing.Canceled:
		// A lower bound: the losers of hedges are the slow attempts, so leaving
		// them out would hide a slow server.
		if latency >= t.mean() {
			t.timed++
			t.latency += latency
		}
	case routing.Shed:
	}
}

func (w *window) sum(now time.Duration) tally {
	oldest := int64(now/bucketLength) - buckets + 1
	var out tally
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, t := range w.tallys {
		if w.epochs[i] < oldest {
			continue
		}
		out.add(t)
	}
	return out
}

// recent sums the newest seconds that hold at least n attempts, or n latencies if
// timed is set, going back span seconds at most. Older attempts would hide that
// a busy backend server has just begun to fail, or to work again.
func (w *window) recent(now time.Duration, n int32, span int64, timed bool) tally {
	newest := int64(now / bucketLength)
	var out tally
	w.mu.Lock()
	defer w.mu.Unlock()
	for epoch := newest; epoch > newest-span && epoch >= 0; epoch-- {
		i := epoch % buckets
		if w.epochs[i] != epoch {
			continue
		}
		out.add(w.tallys[i])
		if timed && out.timed >= n || !timed && out.attempts >= n {
			return out
		}
	}
	return out
}

func (w *window) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tallys = [buckets]tally{}
}
