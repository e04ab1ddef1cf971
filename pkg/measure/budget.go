package measure

import (
	"math"
	"sync"
	"time"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/routing"
)

const (
	// Window is the time over which the sum of all instances is bounded.
	Window = 10 * time.Second
	// MaxMessageBytes is charged for each message whatever its size; a larger
	// message is refused. A probe with its reply takes about 300 bytes.
	MaxMessageBytes = 512
)

// Budget is the share of one instance in a budget for all instances. It is
// safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	ordinal  int
	interval time.Duration // least time between two messages; 0: none allowed
	last     time.Duration // time of the last message or of the start
	sent     uint64
	refused  uint64
}

// NewBudget returns the share of the instance with this ordinal: budget /
// ceiling, and nothing where the ordinal is at or above the ceiling. The
// bucket starts empty.
func NewBudget(now time.Duration, messagesPerSecond, bytesPerSecond float64, ceiling, ordinal int) *Budget {
	b := &Budget{last: now, ordinal: ordinal}
	b.Configure(messagesPerSecond, bytesPerSecond, ceiling)
	return b
}

// Configure puts a new budget in force. The time since the last message counts
// towards the new interval, so a raise grants no message at once that the new
// rate would not grant.
func (b *Budget) Configure(messagesPerSecond, bytesPerSecond float64, ceiling int) {
	perWindow := 0.0
	if b.ordinal >= 0 && b.ordinal < ceiling {
		share := Window.Seconds() / float64(ceiling)
		perWindow = math.Floor(min(messagesPerSecond*share, bytesPerSecond*share/MaxMessageBytes))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interval = 0
	if perWindow >= 1 {
		b.interval = time.Duration(math.Ceil(float64(Window) / perWindow))
	}
}

// Take takes one message of the given size; false: not now.
func (b *Budget) Take(now time.Duration, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ready(now) || bytes > MaxMessageBytes {
		b.refused++
		return false
	}
	b.last = now
	b.sent++
	return true
}

// Ready reports whether Take would grant a message now.
func (b *Budget) Ready(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready(now)
}

func (b *Budget) ready(now time.Duration) bool {
	return b.interval > 0 && now-b.last >= b.interval
}

// Usage is the use of a budget by this instance since its start.
type Usage struct {
	Interval time.Duration // least time between two messages; 0: none allowed
	Sent     uint64
	Refused  uint64 // requests for a message that came too early or were too large
}

// Usage returns the use so far.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Interval: b.interval, Sent: b.sent, Refused: b.refused}
}

// Budgets are the budgets of one service at one instance: one for all probes
// and a smaller one for probes that leave the failure domain.
type Budgets struct {
	All, CrossDomain *Budget
	mu               sync.Mutex
	suspended        bool
	refused          uint64 // probes that were wanted and not granted
	exhaustion       events.Exhaustion
	judged           time.Duration
}

// NewBudgets returns the shares of an instance.
func NewBudgets(now time.Duration, s *dynamic.Service, ordinal int) *Budgets {
	b := &Budgets{
		All:         NewBudget(now, 0, 0, 1, ordinal),
		CrossDomain: NewBudget(now, 0, 0, 1, ordinal),
	}
	b.Configure(s)
	return b
}

// Configure puts new settings in force.
func (b *Budgets) Configure(s *dynamic.Service) {
	m := s.Measuring
	b.All.Configure(m.MessagesPerSecond, m.BytesPerSecond, s.InstanceCeiling)
	b.CrossDomain.Configure(m.CrossDomainMessagesPerSecond, m.CrossDomainBytesPerSecond, s.InstanceCeiling)
}

// Suspend stops or allows all probes. The gateway suspends while another
// instance shows the same ordinal, because both would use one share.
func (b *Budgets) Suspend(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspended = on
}

// Take takes one probe to a backend server; false: not now.
func (b *Budgets) Take(now time.Duration, s *routing.Server, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspended || !b.take(now, s.Local(), bytes) {
		b.refused++
		return false
	}
	return true
}

// take takes from the cross-domain budget only where the other one is ready, so
// that no message of it is lost.
func (b *Budgets) take(now time.Duration, local bool, bytes int) bool {
	if !local && b.All.Ready(now) && !b.CrossDomain.Take(now, bytes) {
		return false
	}
	return b.All.Take(now, bytes)
}

// Report records an event when the budget has begun or ceased to refuse probes.
// It judges once in a Window, because between two messages of the share a wanted
// probe waits in any case; the gateway calls it about once a second.
func (b *Budgets) Report(now time.Duration, rec events.Recorder, service string) {
	b.mu.Lock()
	if now-b.judged < Window {
		b.mu.Unlock()
		return
	}
	b.judged = now
	count, changed := b.exhaustion.Update(b.refused)
	b.mu.Unlock()
	if changed {
		events.RecordExhaustion(rec, eventExhausted, eventRecovered, service, count)
	}
}

// Refused returns the probes that were wanted and not granted since the start.
func (b *Budgets) Refused() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}
