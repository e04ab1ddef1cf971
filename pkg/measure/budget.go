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
	// BudgetWindow is the time window over which the sum of all instances is limited.
	BudgetWindow = 10 * time.Second
	// MaxMessageBytes is the charge for each message, whatever its size; a
	// larger message is refused. A probe with its reply takes about 300 bytes.
	MaxMessageBytes = 512
)

// Budget is one instance's share of a budget for all instances. It is safe for
// concurrent use.
type Budget struct {
	mu       sync.Mutex
	ordinal  int
	interval time.Duration // minimum time between two messages; 0: no message is allowed
	lastSent time.Duration // time of the last message, or of NewBudget if there was none
	sent     uint64
	refused  uint64
}

// NewBudget returns the share of the instance with the given ordinal: budget /
// ceiling, or nothing if the ordinal is at or above the ceiling. The token
// bucket starts empty.
func NewBudget(now time.Duration, messagesPerSecond, bytesPerSecond float64, ceiling, ordinal int) *Budget {
	b := &Budget{lastSent: now, ordinal: ordinal}
	b.Configure(messagesPerSecond, bytesPerSecond, ceiling)
	return b
}

// Configure applies a new budget. The time since the last message counts towards
// the new interval, so that an increase grants no message earlier than the new
// rate would.
func (b *Budget) Configure(messagesPerSecond, bytesPerSecond float64, ceiling int) {
	perWindow := 0.0
	if b.ordinal >= 0 && b.ordinal < ceiling {
		share := BudgetWindow.Seconds() / float64(ceiling)
		perWindow = math.Floor(min(messagesPerSecond*share, bytesPerSecond*share/MaxMessageBytes))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interval = 0
	if perWindow >= 1 {
		b.interval = time.Duration(math.Ceil(float64(BudgetWindow) / perWindow))
	}
}

// Take takes one message of the given size in bytes. It returns false if the
// message must not be sent now.
func (b *Budget) Take(now time.Duration, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.readyLocked(now) || bytes > MaxMessageBytes {
		b.refused++
		return false
	}
	b.lastSent = now
	b.sent++
	return true
}

// Ready reports whether Take would grant a message now.
func (b *Budget) Ready(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readyLocked(now)
}

func (b *Budget) readyLocked(now time.Duration) bool {
	return b.interval > 0 && now-b.lastSent >= b.interval
}

// Usage counts the messages of one Budget since its creation.
type Usage struct {
	Interval time.Duration // minimum time between two messages; 0: no message is allowed
	Sent     uint64
	Refused  uint64 // calls of Take that came too early or with too large a message
}

// Usage returns the message counts since the creation of b.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Interval: b.interval, Sent: b.sent, Refused: b.refused}
}

// Budgets holds the budgets of one service at one instance: All for every probe,
// and the smaller CrossDomain for probes to another failure domain.
type Budgets struct {
	All, CrossDomain *Budget
	mu               sync.Mutex
	suspended        bool
	refused          uint64 // calls of Take that returned false
	exhaustion       events.ExhaustionDetector
	lastReport       time.Duration
}

// NewBudgets returns the shares of the instance with the given ordinal.
func NewBudgets(now time.Duration, s *dynamic.Service, ordinal int) *Budgets {
	b := &Budgets{
		All:         NewBudget(now, 0, 0, 1, ordinal),
		CrossDomain: NewBudget(now, 0, 0, 1, ordinal),
	}
	b.Configure(s)
	return b
}

// Configure applies new settings.
func (b *Budgets) Configure(s *dynamic.Service) {
	m := s.Measuring
	b.All.Configure(m.MessagesPerSecond, m.BytesPerSecond, s.InstanceCeiling)
	b.CrossDomain.Configure(m.CrossDomainMessagesPerSecond, m.CrossDomainBytesPerSecond, s.InstanceCeiling)
}

// Suspend stops all probes, or allows them again. The gateway suspends probes
// while another instance has the same ordinal, because both would use the same
// share.
func (b *Budgets) Suspend(suspend bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspended = suspend
}

// Take takes one probe of the given size in bytes to s. It returns false if the
// probe must not be sent now.
func (b *Budgets) Take(now time.Duration, s *routing.Server, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspended || !b.takeLocked(now, s.Local(), bytes) {
		b.refused++
		return false
	}
	return true
}

// takeLocked charges the cross-domain budget only if the other budget is ready,
// so that no message is charged to it in vain. b.mu must be held.
func (b *Budgets) takeLocked(now time.Duration, local bool, bytes int) bool {
	if !local && b.All.Ready(now) && !b.CrossDomain.Take(now, bytes) {
		return false
	}
	return b.All.Take(now, bytes)
}

// Report records an event when the budgets have begun or ceased to refuse
// probes. It takes effect at most once per BudgetWindow, because a probe
// requested between two messages of the share is refused in any case. The gateway
// calls it about once a second.
func (b *Budgets) Report(now time.Duration, recorder events.Recorder, service string) {
	b.mu.Lock()
	if now-b.lastReport < BudgetWindow {
		b.mu.Unlock()
		return
	}
	b.lastReport = now
	count, changed := b.exhaustion.Update(b.refused)
	b.mu.Unlock()
	if changed {
		events.RecordExhaustion(recorder, eventBudgetExhausted, eventBudgetRecovered, service, count)
	}
}

// Refused returns the number of probes that Take has refused.
func (b *Budgets) Refused() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}
