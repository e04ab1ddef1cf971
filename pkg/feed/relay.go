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
	changed  chan struct{}
}

func (l *relayLog) reset(revision uint64) {
	l.state, l.changes = map[string]Change{}, nil
	l.oldest, l.revision = revision, revision
	l.changed = make(chan struct{})
}

// replace begins a new log at a snapshot.
func (l *relayLog) replace(state map[string]Change, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
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
	l.contact = now
}

// since returns the changes after a revision, or everything after revision 0.
func (l *relayLog) since(after uint64, now time.Time) (out []Change, revision uint64, changed chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.contact.IsZero() || now.Sub(l.contact) > relayAge:
		return nil, 0, nil, ErrNotReader
	case after == 0:
		for _, c := range l.state {
			out = append(out, c)
		}
		return out, l.revision, l.changed, nil
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

// Serve answers a peer as the store would. The error is ErrNotReader,
// ErrHistoryLost or that of the context.
func (r *Reader) Serve(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error) {
	timer := time.NewTimer(min(wait, storeWait))
	defer timer.Stop()
	for {
		changes, revision, changed, err := r.log.since(after, time.Now())
		if err != nil || len(changes) > 0 {
			return changes, revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, max(after, revision), nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}
