package framing

import (
	"sync"
	"time"

	"lentilpin/pkg/limit"
)

const (
	// smallHeadBytes is the size up to which an unfinished head, or the line of an earlier
	// one, is part of the cost of its connection and takes nothing from the memory for heads.
	smallHeadBytes = 4 << 10
	// smallKeptBytes is the same for a complete head: one of 3 KiB with 40 fields.
	smallKeptBytes = 16 << 10
)

// headMemory is what the heads of one connection take from the memory for heads: the
// unfinished head, the complete one until its request has ended, and the request line, a
// part of which net/http keeps until the next request.
type headMemory struct {
	listener listener
	giveWay  func()

	mu         sync.Mutex
	holder     *limit.Holder // nil: nothing was ever taken
	unfinished int64
	kept       int64
	line       int64
	isReleased bool
}

// above returns bytes if they are above those of a small head, and 0 otherwise.
func above(bytes, small int) int64 {
	if bytes <= small {
		return 0
	}
	return int64(bytes)
}

// hold implements memory.
func (m *headMemory) hold(bytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := above(bytes, smallHeadBytes)
	return n == m.unfinished || m.set(n, m.kept, m.line)
}

// keep implements memory.
func (m *headMemory) keep(bytes, line int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set(0, above(bytes, smallKeptBytes), above(line, smallHeadBytes))
}

func (m *headMemory) requestEnded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(m.unfinished, 0, m.line)
}

// dropUnfinished states that the unfinished head was given up.
func (m *headMemory) dropUnfinished() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unfinished = 0
	if m.holder != nil {
		m.holder.Reduce(m.kept + m.line)
	}
}

func (m *headMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isReleased = true
	if m.holder != nil {
		m.holder.Release()
	}
}

// set must be called with the lock held. While others give up what the head needs, it waits
// for them.
func (m *headMemory) set(unfinished, kept, line int64) bool {
	sum := unfinished + kept + line
	if m.isReleased || m.holder == nil && sum == 0 {
		return true
	}
	if m.holder == nil {
		m.holder = m.listener.limits.Heads.NewHolder(m.giveWay)
	}
	if kept > 0 || sum == 0 || m.unfinished == 0 && unfinished > 0 {
		m.holder.Go()
	}
	if kept == 0 && sum > 0 {
		m.holder.Wait(m.now())
	}
	if !m.holder.Await(m.now, sum) {
		return false
	}
	m.unfinished, m.kept, m.line = unfinished, kept, line
	return true
}

func (m *headMemory) now() time.Duration { return time.Since(m.listener.start) }
