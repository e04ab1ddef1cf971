package drain

import (
	"net"
	"time"

	"lentilpin/pkg/limit"
)

const (
	// unfinishedWait is how long a head must have been unfinished before its connection is
	// closed for another one. Callers mostly send a head within a round trip.
	unfinishedWait = 250 * time.Millisecond
	// unreadWait is the same for a part of a response that the caller does not take.
	unreadWait = time.Second
	// roomInterval is how often a connection that waits for room looks for it: an
	// unfinished head grows older without an event.
	roomInterval = 50 * time.Millisecond
)

// LimitConnections bounds the open connections to n, and by the memory from which each of
// them takes connBytes; memory may be nil. For each connection beyond the bounds, one is
// closed that waits for its caller: the one that was idle longest, or else the one whose
// head is unfinished for longest, whose body has not arrived for longest, or whose response
// is not read for longest. If there is none, a new connection waits. It must be called
// before Serve.
func (s *Server) LimitConnections(n int, memory *limit.Total, connBytes int64) {
	s.listener.maxConns, s.listener.memory, s.listener.connBytes = n, memory, connBytes
}

// ClosedForRoom returns the number of connections that were closed for others.
func (s *Server) ClosedForRoom() uint64 { return s.listener.closedForRoom.Load() }

// waitForRoom returns when a further connection may be opened, or with an error when the
// listener is closed.
func (l *listener) waitForRoom() error {
	for !l.takeRoom() {
		counted := l.countedConns()
		if c := longestWaiting(l.open(), time.Now()); c != nil && c.closeIfWaiting() {
			l.closedForRoom.Add(1)
		}
		if err := l.waitForEnd(counted); err != nil {
			return err
		}
	}
	return nil
}

// takeRoom takes the room of one connection if there is any.
func (l *listener) takeRoom() bool {
	return (l.maxConns == 0 || l.countedConns() < l.maxConns) && l.memory.Take(l.connBytes)
}

// waitForEnd returns when fewer connections than counted are left, after roomInterval, or
// with an error when the listener is closed.
func (l *listener) waitForEnd(counted int) error {
	timeout := time.After(roomInterval)
	for l.countedConns() >= counted {
		select {
		case <-l.closed:
			return net.ErrClosed
		case <-l.room:
		case <-timeout:
			return nil
		}
	}
	return nil
}

// longestWaiting returns the connection that gives way to another one, or nil.
func longestWaiting(conns []*conn, now time.Time) *conn {
	var longest [inRequest]*conn
	var since [inRequest]time.Time
	for _, c := range conns {
		state, start := c.waiting()
		if state == inRequest || now.Sub(start) < patience[state] {
			continue
		}
		if longest[state] == nil || start.Before(since[state]) {
			longest[state], since[state] = c, start
		}
	}
	for _, c := range longest {
		if c != nil {
			return c
		}
	}
	return nil
}

// waitState is what a connection waits for, in the order in which connections give way.
type waitState uint8

const (
	waitsForClose waitState = iota
	waitsForRequest
	waitsForHead
	waitsForBody
	waitsForReader
	inRequest
)

// patience is how long a connection must have waited before it gives way.
var patience = [inRequest]time.Duration{waitsForHead: unfinishedWait, waitsForBody: unfinishedWait, waitsForReader: unreadWait}

// waiting returns what the connection waits for, and since when.
func (c *conn) waiting() (waitState, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state()
}

// state must be called with the lock held.
func (c *conn) state() (waitState, time.Time) {
	switch {
	case c.isClosed:
		return inRequest, time.Time{}
	case c.isHalfClosed:
		return waitsForClose, c.halfClosedAt
	case c.awaitsBody:
		return waitsForBody, c.bodySince
	case !c.writingSince.IsZero():
		return waitsForReader, c.writingSince
	case c.isActive:
		return inRequest, time.Time{}
	case c.isBusy:
		return waitsForHead, c.busySince
	}
	return waitsForRequest, c.idleSince
}

// closeIfWaiting closes the connection unless a request is in progress that does not wait
// for its caller.
func (c *conn) closeIfWaiting() bool {
	c.mu.Lock()
	state, since := c.state()
	isWaiting := state != inRequest && time.Since(since) >= patience[state]
	c.isClosed = c.isClosed || isWaiting
	c.mu.Unlock()
	if isWaiting {
		_ = c.Close()
	}
	return isWaiting
}
