package feed

import (
	"context"
	"sync"
	"time"
)

// logLength is the number of changes that a relay keeps.
const logLength = 2000

// relayLog is what an entry hands out to peers: the newest state of each key and
// the changes that led to it.
type relayLog struct {
	mu       sync.Mutex
	state    map[string]Change
	changes  []Change
	oldest   uint64 // changes up to this revision are not in the log
	revision uint64
	contact  time.Time // last answer of the store; zero: none of its own yet
	follows  bool      // what the store answers is in the log
	changed  chan struct{}
}

func (l *relayLog) reset(revision uint64) {
	l.state, l.changes = map[string]Change{}, nil
	l.oldest, l.revision = revision, revision
	l.changed = make(chan struct{})
}

// replace begins a new log at a snapshot that the store gave at contact, if ever.
func (l *relayLog) replace(state map[string]Change, revision uint64, contact time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact, l.follows = contact, !contact.IsZero()
	old := l.changed
	l.reset(revision)
	for key, c := range state {
		if !c.Deleted {
			l.state[key] = c
		}
	}
	close(old)
}

// add appends changes.
func (l *relayLog) add(changes []Change, revision uint64) {
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
	if n := len(l.changes) - logLength; n > 0 {
		l.oldest = l.changes[n-1].Revision
		l.changes = append([]Change(nil), l.changes[n:]...)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// touch notes an answer of the store.
func (l *relayLog) touch(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact, l.follows = now, true
}

// refresh notes that the store was reached while the log follows it.
func (l *relayLog) refresh(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.follows {
		l.contact = now
	}
}

// pause notes that the log does not follow the store until it is replaced. What
// it has may be handed out for as long as after any other answer.
func (l *relayLog) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follows = false
}

// lose notes that the log no longer follows the store.
func (l *relayLog) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact, l.follows = time.Time{}, false
}

// since returns the changes after a revision, or everything after revision 0.
func (l *relayLog) since(after uint64, now time.Time) (out []Change, revision uint64, changed chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case after == 0 && len(l.state) > 0:
		// An entry that starts without the store is better off with what was
		// last known than with nothing.
		for _, c := range l.state {
			out = append(out, c)
		}
		return out, l.revision, l.changed, nil
	case l.contact.IsZero() || now.Sub(l.contact) > relayAge:
		return nil, 0, nil, ErrNotReader
	case after < l.oldest:
		return nil, 0, nil, ErrHistoryLost
	}
	for _, c := range l.changes {
		if c.Revision > after {
			out = append(out, c)
		}
	}
	return out, l.revision, l.changed, nil
}

// at returns the revision that the log has reached.
func (l *relayLog) at() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// age returns how old the last answer of the store is; false: the log does not
// follow the store.
func (l *relayLog) age(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.contact), l.follows
}

// remaining returns how much longer the log may be handed out.
func (l *relayLog) remaining(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contact.Add(relayAge).Sub(now)
}

// Serve answers a peer as the store would. The error is ErrNotReader,
// ErrHistoryLost or that of the context.
func (r *Reader) Serve(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error) {
	r.served.Store(time.Now().UnixNano())
	end := time.Now().Add(min(wait, storeWait))
	for {
		now := time.Now()
		changes, revision, changed, err := r.log.since(after, now)
		if err != nil || len(changes) > 0 {
			return changes, revision, err
		}
		if !now.Before(end) {
			return nil, max(after, revision), nil
		}
		// Where the store is not reached meanwhile, the peer is told in time.
		timer := time.NewTimer(min(end.Sub(now), r.log.remaining(now)+time.Millisecond))
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

// keepReach shows, while peers ask this entry, whether the store can be reached.
func (r *Reader) keepReach() {
	for wait := reachEvery; sleep(r.ctx, wait); {
		wait = reachEvery
		age, follows := r.log.age(time.Now())
		if !follows || !r.isAsked(time.Now()) {
			continue
		}
		if age < reachEvery {
			wait = reachEvery - age
			continue
		}
		if r.reach() {
			r.log.refresh(time.Now())
		} else {
			wait = reachAgain
		}
	}
}

// isAsked reports whether a peer has asked for changes lately.
func (r *Reader) isAsked(now time.Time) bool {
	return now.Sub(time.Unix(0, r.served.Load())) <= servedFor
}

func (r *Reader) reach() bool {
	ctx, cancel := context.WithTimeout(r.ctx, reachTimeout)
	defer cancel()
	return r.o.Store.Reach(ctx) == nil
}
