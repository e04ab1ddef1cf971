package feed

import (
	"context"
	"sync"
	"time"

	"lentilpin/pkg/clock"
)

// maxLoggedChanges is the maximum number of changes that the log keeps.
const maxLoggedChanges = 2000

// changeLog holds what an entry serves to its peers: the newest state of each key
// and the most recent changes.
type changeLog struct {
	mu          sync.Mutex
	state       map[string]Change
	changes     []Change
	compacted   uint64 // changes up to this revision have been dropped from the log
	position    Position
	lastContact time.Time     // last answer of the store to this entry; zero: none, or the log is invalid
	isFollowing bool          // whether the log contains everything that the store has answered
	changed     chan struct{} // closed and replaced when the content changes or becomes invalid
}

// reset empties the log; it then starts at a position.
func (l *changeLog) reset(at Position) {
	l.state, l.changes = map[string]Change{}, nil
	l.compacted, l.position = at.Revision, at
	l.changed = make(chan struct{})
}

// replace starts a new log from a snapshot. lastContact is the time of the
// store's answer, zero if the snapshot came from a relay.
func (l *changeLog) replace(state map[string]Change, at Position, lastContact time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastContact, l.isFollowing = lastContact, !lastContact.IsZero()
	oldChanged := l.changed
	l.reset(at)
	for key, c := range state {
		if !c.Deleted {
			l.state[key] = c
		}
	}
	close(oldChanged)
}

// add appends changes up to a position of the same era and drops the oldest ones
// beyond maxLoggedChanges.
func (l *changeLog) add(changes []Change, to Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.position = latest(l.position, to)
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.Deleted {
			delete(l.state, c.Key)
		} else {
			l.state[c.Key] = c
		}
	}
	l.changes = append(l.changes, changes...)
	if n := len(l.changes) - maxLoggedChanges; n > 0 {
		l.compacted = l.changes[n-1].Revision
		l.changes = append([]Change(nil), l.changes[n:]...)
	}
	l.wakeWaiters()
}

// recordAnswer records an answer of the store to a request for changes.
func (l *changeLog) recordAnswer(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastContact, l.isFollowing = now, true
}

// recordPing records that the store answered a ping. It has no effect while the
// log does not follow the store.
func (l *changeLog) recordPing(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFollowing {
		l.lastContact = now
	}
}

// stopFollowing marks the log as not following the store until it is replaced. Its
// content may still be served until relayMaxAge after the last answer.
func (l *changeLog) stopFollowing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isFollowing = false
}

// invalidate marks the log as not following the store, so that changes are no
// longer served from it, and ends the waits of peers.
func (l *changeLog) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastContact, l.isFollowing = time.Time{}, false
	l.wakeWaiters()
}

// wakeWaiters ends the waits for a change. l.mu must be held.
func (l *changeLog) wakeWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// changesAfter returns the changes after a position, or the state of all keys for the
// zero Position, with the position of the log and a channel that is closed at the next
// change. The error is ErrNotReader, also if the log is of an earlier era, or
// ErrHistoryLost.
func (l *changeLog) changesAfter(after Position, now time.Time) (out []Change, at Position, changed chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case after == Position{} && len(l.state) > 0:
		// Served regardless of age: for an entry that starts while the store
		// is unreachable, the last known state is better than none.
		for _, c := range l.state {
			out = append(out, c)
		}
		return out, l.position, l.changed, nil
	case l.lastContact.IsZero() || now.Sub(l.lastContact) > relayMaxAge || after.Era > l.position.Era:
		return nil, Position{}, nil, ErrNotReader
	case after.Era < l.position.Era && after.Era > 0, after.Revision < l.compacted:
		return nil, Position{}, nil, ErrHistoryLost
	}
	for _, c := range l.changes {
		if c.Revision > after.Revision {
			out = append(out, c)
		}
	}
	return out, l.position, l.changed, nil
}

// lastPosition returns the position up to which the log is complete.
func (l *changeLog) lastPosition() Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position
}

// contactAge returns the age of the store's last answer; false means that the log
// does not follow the store.
func (l *changeLog) contactAge(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastContact), l.isFollowing
}

// validFor returns how much longer changes may be served from the log.
func (l *changeLog) validFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastContact.Add(relayMaxAge).Sub(now)
}

// Serve answers a peer's request for changes; see PeerClient.Changes. It waits no
// longer than storePollWait. The error is ErrNotReader, ErrHistoryLost or that of
// the context.
func (r *Reader) Serve(ctx context.Context, after Position, wait time.Duration) ([]Change, Position, error) {
	r.lastPeerRequest.Store(time.Now().UnixNano())
	deadline := time.Now().Add(min(wait, storePollWait))
	for {
		now := time.Now()
		changes, at, changed, err := r.log.changesAfter(after, now)
		if err != nil || len(changes) > 0 {
			return changes, at, err
		}
		if !now.Before(deadline) {
			return nil, latest(after, at), nil
		}
		// The wait ends as soon as the log becomes too old, so that the peer
		// learns in time that the store was not reached.
		timer := time.NewTimer(min(deadline.Sub(now), r.log.validFor(now)+time.Millisecond))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, Position{}, ctx.Err()
		}
		timer.Stop()
	}
}

// pingLoop checks regularly, while this entry polls the store or peers send requests
// to it, whether the store is reachable and still in the same era. It pings only if no
// answer of the store is recent.
func (r *Reader) pingLoop() {
	for wait := pingInterval; clock.Sleep(r.ctx, wait); {
		wait = pingInterval
		contactAge, following := r.log.contactAge(time.Now())
		if !following || !r.isServingPeers(time.Now()) && !r.pollsStore.Load() {
			continue
		}
		if contactAge < pingInterval {
			wait = pingInterval - contactAge
			continue
		}
		if r.pingStore() {
			r.log.recordPing(time.Now())
		} else {
			wait = pingRetryDelay
		}
	}
}

// isServingPeers reports whether a peer has requested changes within
// peerRequestWindow.
func (r *Reader) isServingPeers(now time.Time) bool {
	return now.Sub(time.Unix(0, r.lastPeerRequest.Load())) <= peerRequestWindow
}

// pingStore reports whether the store answers within pingTimeout. If the store was
// restored since the log's last change, the poll in progress is ended: it would wait
// for changes after a revision that means nothing in the new era. The ping is a stale
// read, which may be of an earlier era.
func (r *Reader) pingStore() bool {
	ctx, cancel := context.WithTimeout(r.ctx, pingTimeout)
	defer cancel()
	era, err := r.options.Store.Ping(ctx)
	if err == nil && era > r.log.lastPosition().Era {
		r.log.stopFollowing()
		r.cancelPoll()
	}
	return err == nil
}
