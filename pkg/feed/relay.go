package feed

import (
	"context"
	"maps"
	"sync"
	"time"

	"lentilpin/pkg/clock"
)

// maxLoggedChanges is the maximum number of changes that the log keeps.
const maxLoggedChanges = 2000

// changeLog holds what an entry serves to its peers: the newest state of each key, the
// most recent changes and the newest settings tree.
type changeLog struct {
	mu        sync.Mutex
	state     map[string]Change
	changes   []Change
	compacted uint64   // changes up to this revision have been dropped from the log
	position  Position // up to which the log is complete, but for settings trees
	treesAt   Position // up to which the settings trees are known, decoded or not
	// ahead holds evacuations that were learned before the changes that precede them, by key.
	ahead       map[string]Change
	pendingTree uint64        // revision of the tree that is being decoded; 0: none
	tree        Change        // without its value if that is large
	treeVersion uint64        // 0: no tree
	lastContact time.Time     // last answer of the store to this entry; zero: none, or the log is invalid
	isFollowing bool          // whether the log contains everything that the store has answered
	changed     chan struct{} // closed and replaced when the content changes or becomes invalid
}

// reset empties the log; it then starts at a position.
func (l *changeLog) reset(at Position) {
	l.state, l.changes, l.ahead = map[string]Change{}, nil, map[string]Change{}
	l.compacted, l.position = at.Revision, at
	l.changed = make(chan struct{})
}

// replace starts a new log from a snapshot. lastContact is the time of the
// store's answer, zero if the snapshot came from a relay.
func (l *changeLog) replace(state map[string]Change, at, treesAt Position, lastContact time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastContact, l.isFollowing = lastContact, !lastContact.IsZero()
	oldChanged := l.changed
	l.reset(at)
	l.treesAt, l.pendingTree = treesAt, 0
	for key, c := range state {
		if !c.Deleted {
			l.state[key] = c
		}
	}
	close(oldChanged)
}

// add appends changes up to a position of the same era and drops the oldest ones
// beyond maxLoggedChanges. The settings trees are known up to treesAt.
func (l *changeLog) add(changes []Change, to, treesAt Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.position, l.treesAt = latest(l.position, to), treesAt
	maps.DeleteFunc(l.ahead, func(_ string, c Change) bool { return c.Revision <= l.position.Revision })
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

// addAhead adds evacuations of an era that were learned before the changes that precede
// them.
func (l *changeLog) addAhead(changes []Change, era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew := false
	for _, c := range changes {
		if era == l.position.Era && c.Revision > max(l.position.Revision, l.ahead[c.Key].Revision) {
			l.ahead[c.Key] = c
			isNew = true
		}
	}
	if isNew {
		l.wakeWaiters()
	}
}

// isTreeLarge reports whether the settings tree is so large that relays do not send it.
func (l *changeLog) isTreeLarge() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tree.TreeVersion > 0
}

// beginDecoding records that the settings tree of a revision is being decoded.
func (l *changeLog) beginDecoding(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingTree = revision
}

// endDecoding records that the settings tree of a revision has been decoded.
func (l *changeLog) endDecoding(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingTree == revision {
		l.pendingTree = 0
	}
}

// decodedTreesAt returns the position up to which the settings trees are known and
// decoded. l.mu must be held.
func (l *changeLog) decodedTreesAt() Position {
	if l.pendingTree == 0 {
		return l.treesAt
	}
	return earliest(l.treesAt, Position{l.treesAt.Era, l.pendingTree - 1})
}

// setTree sets the settings tree if its version is above that of the current one.
func (l *changeLog) setTree(tree Change, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.treeVersion {
		return
	}
	l.tree, l.treeVersion = tree, version
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

// changesAfter returns the changes after the position of a request, or the state of all keys
// for the zero Position, together with the settings tree unless its version is below
// UnknownTree, and evacuations ahead of the log from revision UnknownEvacuation on.
// If UnknownTree is 0, the peer is of a build that doesn't state it, and expects the tree
// among the changes: it gets only the changes up to the position up to which trees are
// decoded. changed is closed at the next change. The error is ErrNotReader, also if the
// log is of an earlier era, or ErrHistoryLost.
func (l *changeLog) changesAfter(request PeerRequest, now time.Time) (out PeerReply, changed chan struct{}, err error) {
	after, unknownTree := request.After, request.UnknownTree
	l.mu.Lock()
	defer l.mu.Unlock()
	out.At, out.TreesAt = l.position, l.decodedTreesAt()
	expectsTreeAmongChanges := unknownTree == 0
	if expectsTreeAmongChanges {
		out.At = earliest(out.At, out.TreesAt)
	}
	if l.treeVersion > 0 && (expectsTreeAmongChanges && l.tree.Revision > after.Revision || !expectsTreeAmongChanges && l.treeVersion >= unknownTree) {
		out.Changes = append(out.Changes, l.tree)
	}
	switch {
	case after == Position{} && len(l.state) > 0:
		// Served regardless of age: for an entry that starts while the store
		// is unreachable, the last known state is better than none.
		for _, c := range l.state {
			out.Changes = append(out.Changes, c)
		}
		return out, l.changed, nil
	case l.lastContact.IsZero() || now.Sub(l.lastContact) > relayMaxAge || after.Era > l.position.Era:
		return PeerReply{}, nil, ErrNotReader
	case after.Era < l.position.Era && after.Era > 0, after.Revision < l.compacted:
		return PeerReply{}, nil, ErrHistoryLost
	}
	for _, c := range l.changes {
		if c.Revision > after.Revision && (!expectsTreeAmongChanges || c.Revision <= out.At.Revision) {
			out.Changes = append(out.Changes, c)
		}
	}
	for _, c := range l.ahead {
		if request.UnknownEvacuation > 0 && c.Revision >= request.UnknownEvacuation {
			out.Changes = append(out.Changes, c)
		}
	}
	return out, l.changed, nil
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

// Serve answers a peer's request for changes; see PeerRequest. It waits no longer than
// storePollWait. The error is ErrNotReader, ErrHistoryLost or that of the context.
func (r *Reader) Serve(ctx context.Context, request PeerRequest) (PeerReply, error) {
	r.lastPeerRequest.Store(time.Now().UnixNano())
	deadline := time.Now().Add(min(request.Wait, storePollWait))
	for {
		now := time.Now()
		reply, changed, err := r.log.changesAfter(request, now)
		if err != nil || len(reply.Changes) > 0 {
			return reply, err
		}
		if !now.Before(deadline) {
			reply.At = latest(request.After, reply.At)
			return reply, nil
		}
		// The wait ends as soon as the log becomes too old, so that the peer
		// learns in time that the store was not reached.
		timer := time.NewTimer(min(deadline.Sub(now), r.log.validFor(now)+time.Millisecond))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return PeerReply{}, ctx.Err()
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
	r.countCall(CallPing)
	era, err := r.options.Store.Ping(ctx)
	if err == nil && era > r.log.lastPosition().Era {
		r.log.stopFollowing()
		r.cancelPoll()
	}
	return err == nil
}
