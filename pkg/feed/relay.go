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
	revision    uint64
	lastContact time.Time     // last answer of the store to this entry; zero: none, or the log is invalid
	isFollowing bool          // whether the log contains everything that the store has answered
	changed     chan struct{} // closed and replaced when the content changes or becomes invalid
}

// reset empties the log; it then starts at revision.
func (l *changeLog) reset(revision uint64) {
	l.state, l.changes = map[string]Change{}, nil
	l.compacted, l.revision = revision, revision
	l.changed = make(chan struct{})
}

// replace starts a new log from a snapshot. lastContact is the time of the
// store's answer, zero if the snapshot came from a relay.
func (l *changeLog) replace(state map[string]Change, revision uint64, lastContact time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastContact, l.isFollowing = lastContact, !lastContact.IsZero()
	oldChanged := l.changed
	l.reset(revision)
	for key, c := range state {
		if !c.Deleted {
			l.state[key] = c
		}
	}
	close(oldChanged)
}

// add appends changes up to a revision and drops the oldest ones beyond
// maxLoggedChanges.
func (l *changeLog) add(changes []Change, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = max(l.revision, revision)
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

// changesAfter returns the changes after a revision, or the state of all keys for
// revision 0, with the revision of the log and a channel that is closed at the next
// change. The error is ErrNotReader or ErrHistoryLost.
func (l *changeLog) changesAfter(after uint64, now time.Time) (out []Change, revision uint64, changed chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case after == 0 && len(l.state) > 0:
		// Served regardless of age: for an entry that starts while the store
		// is unreachable, the last known state is better than none.
		for _, c := range l.state {
			out = append(out, c)
		}
		return out, l.revision, l.changed, nil
	case l.lastContact.IsZero() || now.Sub(l.lastContact) > relayMaxAge:
		return nil, 0, nil, ErrNotReader
	case after < l.compacted:
		return nil, 0, nil, ErrHistoryLost
	}
	for _, c := range l.changes {
		if c.Revision > after {
			out = append(out, c)
		}
	}
	return out, l.revision, l.changed, nil
}

// lastRevision returns the revision up to which the log is complete.
func (l *changeLog) lastRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
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
func (r *Reader) Serve(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error) {
	r.lastPeerRequest.Store(time.Now().UnixNano())
	deadline := time.Now().Add(min(wait, storePollWait))
	for {
		now := time.Now()
		changes, revision, changed, err := r.log.changesAfter(after, now)
		if err != nil || len(changes) > 0 {
			return changes, revision, err
		}
		if !now.Before(deadline) {
			return nil, max(after, revision), nil
		}
		// The wait ends as soon as the log becomes too old, so that the peer
		// learns in time that the store was not reached.
		timer := time.NewTimer(min(deadline.Sub(now), r.log.validFor(now)+time.Millisecond))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, 0, ctx.Err()
		}
		timer.Stop()
	}
}

// pingLoop checks regularly, while peers send requests to this entry, whether the
// store is reachable. It pings only if no answer of the store is recent.
func (r *Reader) pingLoop() {
	for wait := pingInterval; clock.Sleep(r.ctx, wait); {
		wait = pingInterval
		contactAge, following := r.log.contactAge(time.Now())
		if !following || !r.isServingPeers(time.Now()) {
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

// pingStore reports whether the store answers within pingTimeout.
func (r *Reader) pingStore() bool {
	ctx, cancel := context.WithTimeout(r.ctx, pingTimeout)
	defer cancel()
	return r.options.Store.Ping(ctx) == nil
}
