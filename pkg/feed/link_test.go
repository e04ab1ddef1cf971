package feed

import (
	"context"
	"sync"
	"time"

	"lentilpin/pkg/clock"
)

// packetBytes is the unit in which transfers share a link.
const packetBytes = 16 << 10

// link is one direction of an entry's network link; transfers in progress share
// its bandwidth. A nil link has unlimited bandwidth.
type link struct {
	mu             sync.Mutex
	bytesPerSecond float64
	freeAt         time.Time
}

// transfer waits until n bytes have passed the link.
func (l *link) transfer(ctx context.Context, n int) error {
	for l != nil && n > 0 {
		packet := min(n, packetBytes)
		n -= packet
		if !clock.Sleep(ctx, l.reserve(packet)) {
			return ctx.Err()
		}
	}
	return nil
}

// reserve queues n bytes and returns the time until they have passed.
func (l *link) reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return time.Until(l.freeAt)
}

// links are both directions of an entry's network link.
type links struct{ up, down *link }

func newLinks(bytesPerSecond float64) links {
	return links{&link{bytesPerSecond: bytesPerSecond}, &link{bytesPerSecond: bytesPerSecond}}
}
