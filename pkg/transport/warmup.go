package transport

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxWarmupLeft bounds Signals.WarmupLeft, so that a nonsensical value does not overflow.
const maxWarmupLeft = 24 * time.Hour

// parseWarmupLeft returns how long the backend server stays cold, as the response states
// it in milliseconds. A field that is repeated, not a number or negative states nothing.
func (n *fieldNames) parseWarmupLeft(h http.Header) (left time.Duration, ok bool) {
	if n.warmup == "" || n.settings.Warmup.PerSecond <= 0 {
		return 0, false
	}
	v := h[n.warmup]
	if len(v) != 1 {
		return 0, false
	}
	ms, err := strconv.ParseFloat(strings.TrimSpace(v[0]), 64)
	if err != nil || !(ms >= 0) {
		return 0, false
	}
	return time.Duration(min(ms, float64(maxWarmupLeft.Milliseconds())) * float64(time.Millisecond)), true
}
