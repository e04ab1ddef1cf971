package drain

import (
	"net"
	"time"
)

const (
	// unfinishedWait is how long a head must have been unfinished before its connection is
	// closed for another one. Callers mostly send a head within a round trip.
	unfinishedWait = 250 * time.Millisecond
	// roomInterval is how often a connection that waits for room looks for it: an
	// unfinished head grows older without an event.
	roomInterval = 50 * time.Millisecond
)

// LimitConnections bounds the open connections. For each one beyond n, the one that has
// been idle longest is closed, or else the one whose head is unfinished for longest.
// Connections with a request in progress are not closed: a new one then waits. It must be
// called before Serve.
func (s *Server) LimitConnections(n int) { s.listener.maxConns = n }

// ClosedForRoom returns the number of connections that were closed for others.
func (s *Server) ClosedForRoom() uint64 { return s.listener.closedForRoom.Load() }

// waitForRoom returns when a further connection may be opened, or with an error when the
// listener is closed.
func (l *listener) waitForRoom() error {
	for {
		conns := l.open()
		if l.maxConns == 0 || len(conns) < l.maxConns {
			return nil
		}
		if c := longestWaiting(conns, time.Now()); c != nil {
			if c.closeIfWaiting() {
				l.closedForRoom.Add(1)
			}
			continue
		}
		select {
		case <-l.closed:
			return net.ErrClosed
		case <-l.room:
		case <-time.After(roomInterval):
		}
	}
}

// longestWaiting returns the connection that gives way to another one, or nil.
func longestWaiting(conns []*conn, now time.Time) *conn {
	var idle, unfinished *conn
	var idleSince, unfinishedSince time.Time
	for _, c := range conns {
		state, since := c.waiting()
		switch {
		case state == waitsForRequest && (idle == nil || since.Before(idleSince)):
			idle, idleSince = c, since
		case state == waitsForHead && now.Sub(since) >= unfinishedWait && (unfinished == nil || since.Before(unfinishedSince)):
			unfinished, unfinishedSince = c, since
		}
	}
	if idle != nil {
		return idle
	}
	return unfinished
}

// waitState is what a connection waits for.
type waitState uint8

const (
	inRequest waitState = iota
	waitsForRequest
	waitsForHead
)

// waiting returns what the connection waits for, and since when.
func (c *conn) waiting() (waitState, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state()
}

// state must be called with the lock held.
func (c *conn) state() (waitState, time.Time) {
	switch {
	case c.isClosed || c.isActive:
		return inRequest, time.Time{}
	case c.isBusy:
		return waitsForHead, c.busySince
	}
	return waitsForRequest, c.idleSince
}

// closeIfWaiting closes the connection unless a request is in progress.
func (c *conn) closeIfWaiting() bool {
	c.mu.Lock()
	state, _ := c.state()
	isWaiting := state != inRequest
	c.isClosed = c.isClosed || isWaiting
	c.mu.Unlock()
	if isWaiting {
		_ = c.Close()
	}
	return isWaiting
}
